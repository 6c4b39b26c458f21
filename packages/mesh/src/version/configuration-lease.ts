/**
 * Tells whether the configuration in force was proved current recently enough to honour keys.
 */
import type { Clock } from "@radishrouter/core";

/** Covers the time between the decision and the moment at which a request reaches the backend server. */
const MARGIN_MS = 500;

/** Moment at which a question to the platform was sent, on both clocks of the host. */
export interface ClockReading {
    /** Steady clock, which stands still while the host is suspended. */
    readonly steadyMs: number;
    /** Time of day, which counts a suspension but may be stepped. */
    readonly wallMs: number;
}

/**
 * Lease on the configuration in force. It is renewed by each answer of the platform that reflects its newest state,
 * and counts from the moment at which the question was sent. The longer of the two elapsed times counts.
 */
export class ConfigurationLease {
    private renewedAt: ClockReading | undefined;

    private constructor(
        private readonly clock: Clock,
        private readonly durationMs: number | undefined,
        private readonly wallClock: () => number,
    ) {}

    /** A lease that lasts `durationMs`, or for ever when undefined. */
    static create(
        clock: Clock,
        durationMs: number | undefined,
        wallClock: () => number = Date.now,
    ): ConfigurationLease {
        return new ConfigurationLease(clock, durationMs, wallClock);
    }

    /** The present moment, to be taken before a question is sent. */
    now(): ClockReading {
        return { steadyMs: this.clock.nowMs(), wallMs: this.wallClock() };
    }

    /** Renews the lease by an answer to a question that was sent at a moment. */
    renew(sentAt: ClockReading): void {
        if (!this.renewedAt || sentAt.steadyMs > this.renewedAt.steadyMs) {
            this.renewedAt = sentAt;
        }
    }

    /** Milliseconds since the last proof; infinite without one. */
    ageMs(): number {
        if (!this.renewedAt) {
            return Infinity;
        }
        const steadyMs = this.clock.nowMs() - this.renewedAt.steadyMs;
        const wallMs = this.wallClock() - this.renewedAt.wallMs;
        return Math.max(steadyMs, wallMs);
    }

    /** Whether keys may be honoured. */
    isValid(): boolean {
        return this.durationMs === undefined || this.ageMs() < this.durationMs - MARGIN_MS;
    }
}
