/**
 * Bounds what is written to a cold backend server in any second.
 *
 * Counts requests where they are written, not where they are admitted, because requests that were admitted earlier can
 * be written together, and because a restart of the server can fall between the two. A period begins without tokens:
 * what this process, or the one before it on this host, wrote in a period just before can then not add to a full burst.
 */
import type { Clock } from "@radishrouter/core";

/** What may reach a cold server in any second: `factor` x its rate + `requests`. */
export interface ColdTolerance {
    readonly factor: number;
    readonly requests: number;
}

/** Part of the tolerated excess that is used; the rest is for health checks and for delays on the way to the server. */
const USED_EXCESS_FRACTION = 0.5;
/** Health checks that may be written without a token, because no request can follow before one is answered. */
const MAXIMUM_DEBT = 1;
/** Rounding may leave a token incomplete at the time that was computed for it. */
const ROUNDING_ERROR = 1e-9;
const SECOND_MS = 1_000;

/** Token bucket of the writes of cold periods; it is not refilled between them. */
export class ColdWriteLimit {
    private tokens = 0;
    private ratePerSecond = 0;
    private refilledAtMs = 0;

    private constructor(private readonly clock: Clock, private readonly tolerance: ColdTolerance) {}

    static create(clock: Clock, tolerance: ColdTolerance): ColdWriteLimit {
        return new ColdWriteLimit(clock, tolerance);
    }

    /** Begins a period, without tokens but with the debt that is left of the one before. */
    begin(ratePerSecond: number): void {
        this.refill();
        this.ratePerSecond = ratePerSecond;
        this.tokens = Math.min(0, this.tokens);
    }

    /** Changes the rate within a period. */
    setRate(ratePerSecond: number): void {
        this.refill();
        this.ratePerSecond = ratePerSecond;
        this.tokens = Math.min(this.tokens, this.burst);
    }

    /** Takes the token of a request that is about to be written, if there is one. */
    tryTake(): boolean {
        this.refill();
        if (this.tokens < 1 - ROUNDING_ERROR) {
            return false;
        }
        this.tokens--;
        return true;
    }

    /** Takes the token of a health check, in advance if there is none. */
    tryTakeForCheck(): boolean {
        this.refill();
        if (this.tokens < 1 - MAXIMUM_DEBT) {
            return false;
        }
        this.tokens--;
        return true;
    }

    /** Returns the token of a request that does not count. */
    refund(): void {
        this.tokens = Math.min(this.burst, this.tokens + 1);
    }

    /** Milliseconds until the next request may be written. */
    timeUntilAvailableMs(): number {
        this.refill();
        return Math.max(0, (1 - this.tokens) / this.ratePerSecond * SECOND_MS);
    }

    private get burst(): number {
        const excess = (this.tolerance.factor - 1) * this.ratePerSecond + this.tolerance.requests;
        return Math.max(1, excess * USED_EXCESS_FRACTION);
    }

    private refill(): void {
        const nowMs = this.clock.nowMs();
        const refilled = (nowMs - this.refilledAtMs) * this.ratePerSecond / SECOND_MS;
        this.tokens = Math.min(this.burst, this.tokens + refilled);
        this.refilledAtMs = nowMs;
    }
}
