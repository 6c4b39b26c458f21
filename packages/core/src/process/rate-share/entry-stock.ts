/**
 * Tokens of one organisation that an entry node was granted, and requests that wait for them.
 */
import type { RateDecision } from "../rate-limiter.js";

interface Batch {
    readonly collector: string;
    endsMs: number;
    tokens: number;
}

/** A request that waits for a grant. */
export interface GrantWaiter {
    readonly sinceMs: number;
    readonly decide: (decision: RateDecision) => void;
}

/** What the collector said last. */
export interface CollectorWord {
    readonly heardMs: number;
    /** Whether it granted less than was asked for. */
    readonly short: boolean;
    /** Whether it collects for the organisation at all. */
    readonly collecting: boolean;
    readonly retryAfterMs: number;
    /** Requests per second over the fleet that the collector knows of. */
    readonly demandPerSecond: number;
}

/** Granted tokens by when they expire. */
export class EntryStock {
    private batches: Batch[] = [];
    readonly waiters: GrantWaiter[] = [];
    word: CollectorWord | undefined;
    /** Time of the last request. */
    usedMs = -Infinity;
    /** Time since which the collector has not answered; undefined while it answers. */
    unansweredSinceMs: number | undefined;

    private constructor() {}

    static create(): EntryStock {
        return new EntryStock();
    }

    /** Adds granted tokens. */
    add(collector: string, tokens: number, endsMs: number): void {
        if (tokens > 0) {
            this.batches.push({ collector, endsMs, tokens });
        }
    }

    /** Takes one token, the one that expires first. */
    tryTake(nowMs: number): boolean {
        this.batches = this.batches.filter(batch => batch.endsMs > nowMs && batch.tokens > 0);
        const first = this.batches[0];
        if (!first) {
            return false;
        }
        first.tokens--;
        return true;
    }

    /** Tokens from one collector that have not expired and are not spent. */
    heldFrom(collector: string, nowMs: number): number {
        return this.batches
            .filter(batch => batch.collector === collector && batch.endsMs > nowMs)
            .reduce((sum, batch) => sum + batch.tokens, 0);
    }

    /** Lets the tokens from a collector live on if the collector agreed for at least as many. */
    extend(collector: string, extended: number, endsMs: number, nowMs: number): void {
        if (this.heldFrom(collector, nowMs) > extended) {
            return;
        }
        const held = this.batches.filter(batch => batch.collector === collector && batch.endsMs > nowMs);
        for (const batch of held) {
            batch.endsMs = Math.max(batch.endsMs, endsMs);
        }
    }

    /** Tokens that will still be good at a time. */
    goodAt(timeMs: number): number {
        return this.batches.filter(batch => batch.endsMs > timeMs).reduce((sum, batch) => sum + batch.tokens, 0);
    }

    /** Drops all tokens, after a pause. */
    clear(): void {
        this.batches = [];
    }
}
