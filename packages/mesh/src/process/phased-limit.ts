/**
 * A limit that decreases linearly over a given time instead of at once.
 *
 * Handles callers that were within a limit until it was lowered: refusals increase gradually while the lower limit
 * takes effect, so that callers can slow down meanwhile. A higher limit takes effect at once.
 */
import type { Clock } from "@radishrouter/core";

/** One limit, such as a rate. */
export class PhasedLimit {
    private from: number;
    private changedAtMs = -Infinity;

    private constructor(
        private readonly clock: Clock,
        private readonly rampDownMs: number,
        private to: number,
    ) {
        this.from = to;
    }

    /** Creates a limit that takes `rampDownMs` to decrease to a lower value. */
    static create(clock: Clock, rampDownMs: number, limit: number): PhasedLimit {
        return new PhasedLimit(clock, rampDownMs, limit);
    }

    /** Limit that applies when the current change is complete. */
    get targetLimit(): number {
        return this.to;
    }

    /** Sets a new limit; a lower one takes effect gradually. */
    change(limit: number): void {
        if (limit === this.to) {
            return;
        }
        this.from = Math.max(limit, this.current());
        this.to = limit;
        this.changedAtMs = this.clock.nowMs();
    }

    /** Limit that applies now. */
    current(): number {
        const elapsedMs = this.clock.nowMs() - this.changedAtMs;
        if (elapsedMs >= this.rampDownMs) {
            return this.to;
        }
        const elapsedFraction = elapsedMs / this.rampDownMs;
        return this.from + (this.to - this.from) * elapsedFraction;
    }
}
