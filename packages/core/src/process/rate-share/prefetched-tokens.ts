/**
 * Tokens of one organisation that were granted to an entry node, and the requests that wait for them.
 */
import type { RateDecision } from "../rate-limiter.js";

interface TokenBatch {
    readonly collector: string;
    expiresAtMs: number;
    tokens: number;
}

/** A request that waits for a granted token. */
export interface WaitingRequest {
    readonly waitingSinceMs: number;
    readonly decide: (decision: RateDecision) => void;
}

/** Status that the collector sent with its last grant. */
export interface CollectorStatus {
    readonly receivedAtMs: number;
    /** Whether it granted fewer tokens than requested. */
    readonly short: boolean;
    /** Whether it is the collector for the organisation. */
    readonly collecting: boolean;
    readonly retryAfterMs: number;
    /** Fleet-wide requests per second that the collector knows of. */
    readonly demandPerSecond: number;
}

/** Granted tokens in batches that expire separately. */
export class PrefetchedTokens {
    private batches: TokenBatch[] = [];
    readonly waitingRequests: WaitingRequest[] = [];
    collectorStatus: CollectorStatus | undefined;
    /** Time of the organisation's last request at this node. */
    lastRequestMs = -Infinity;
    /** Time of the first request that the collector has not answered; undefined if it answered the last one. */
    unansweredSinceMs: number | undefined;

    private constructor() {}

    static create(): PrefetchedTokens {
        return new PrefetchedTokens();
    }

    /** Adds granted tokens. */
    add(collector: string, tokens: number, expiresAtMs: number): void {
        if (tokens > 0) {
            this.batches.push({ collector, expiresAtMs, tokens });
        }
    }

    /** Takes one token from the oldest unexpired batch, usually the one that expires first. */
    tryTake(nowMs: number): boolean {
        this.batches = this.batches.filter(batch => batch.expiresAtMs > nowMs && batch.tokens > 0);
        const first = this.batches[0];
        if (!first) {
            return false;
        }
        first.tokens--;
        return true;
    }

    /** Number of unspent, unexpired tokens from one collector. */
    unspentFrom(collector: string, nowMs: number): number {
        return this.batches
            .filter(batch => batch.collector === collector && batch.expiresAtMs > nowMs)
            .reduce((sum, batch) => sum + batch.tokens, 0);
    }

    /** Postpones the expiry of the tokens from a collector if it extended at least as many as are held. */
    extend(collector: string, extended: number, expiresAtMs: number, nowMs: number): void {
        if (this.unspentFrom(collector, nowMs) > extended) {
            return;
        }
        const held = this.batches.filter(batch => batch.collector === collector && batch.expiresAtMs > nowMs);
        for (const batch of held) {
            batch.expiresAtMs = Math.max(batch.expiresAtMs, expiresAtMs);
        }
    }

    /** Number of tokens that have not expired at a given time. */
    unexpiredAt(timeMs: number): number {
        return this.batches.filter(batch => batch.expiresAtMs > timeMs).reduce((sum, batch) => sum + batch.tokens, 0);
    }

    /** Drops all tokens; used after a pause. */
    clear(): void {
        this.batches = [];
    }
}
