/**
 * A limit that goes down in a given time instead of at once.
 *
 * Answers a load that was within a limit until the limit was lowered: callers see refusals rise over the time that
 * the lower limit has to come into force, and can slow down meanwhile. A higher limit is in force at once.
 */
import type { Clock } from "@radishrouter/core";

/** One limit, such as a rate. */
export class PhasedLimit {
    private from: number;
    private changedAtMs = -Infinity;

    private constructor(
        private readonly clock: Clock,
        private readonly phaseMs: number,
        private to: number,
    ) {
        this.from = to;
    }

    /** A limit that takes `phaseMs` to go down. */
    static create(clock: Clock, phaseMs: number, limit: number): PhasedLimit {
        return new PhasedLimit(clock, phaseMs, limit);
    }

    /** Limit that is in force once no change is under way. */
    get targetLimit(): number {
        return this.to;
    }

    /** Changes the limit. */
    change(limit: number): void {
        if (limit === this.to) {
            return;
        }
        this.from = Math.max(limit, this.current());
        this.to = limit;
        this.changedAtMs = this.clock.nowMs();
    }

    /** Limit in force now. */
    current(): number {
        const passedPart = Math.min(1, (this.clock.nowMs() - this.changedAtMs) / this.phaseMs);
        return this.from + (this.to - this.from) * passedPart;
    }
}
