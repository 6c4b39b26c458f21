/**
 * Decides whether the active configuration was proved current recently enough to accept keys.
 */
import { readBootClockMs } from "@radishrouter/core";
import type { Clock } from "@radishrouter/core";

/** Subtracted from the lease to cover the time from the decision until a request reaches the backend server. */
const MARGIN_MS = 500;

/** Reading of both clocks of the host, taken when a query is sent to the platform. */
export interface ClockReading {
    /** Monotonic clock, which stops while the host is suspended. */
    readonly monotonicMs: number;
    /** Clock that includes suspensions. */
    readonly bootMs: number;
}

/**
 * Lease on the active configuration. Each response of the platform that reflects its newest state renews it. The lease
 * starts when the query was sent, and its age is the longer of the elapsed times of both clocks.
 */
export class ConfigurationLease {
    private renewedAt: ClockReading | undefined;

    private constructor(
        private readonly clock: Clock,
        /** Undefined where the lease lasts for ever. */
        readonly durationMs: number | undefined,
        private readonly bootClock: () => number,
    ) {}

    /** Creates a lease that lasts `durationMs`, or for ever when that is undefined. */
    static create(
        clock: Clock,
        durationMs: number | undefined,
        bootClock: () => number = readBootClockMs,
    ): ConfigurationLease {
        return new ConfigurationLease(clock, durationMs, bootClock);
    }

    /** Reads both clocks; to be called before a query is sent. */
    now(): ClockReading {
        return { monotonicMs: this.clock.nowMs(), bootMs: this.bootClock() };
    }

    /** Renews the lease after a response to a query that was sent at `sentAt`; older queries do not shorten it. */
    renew(sentAt: ClockReading): void {
        if (!this.renewedAt || sentAt.monotonicMs > this.renewedAt.monotonicMs) {
            this.renewedAt = sentAt;
        }
    }

    /** Milliseconds since the configuration was last proved current; infinite if it never was. */
    ageMs(): number {
        if (!this.renewedAt) {
            return Infinity;
        }
        const monotonicMs = this.clock.nowMs() - this.renewedAt.monotonicMs;
        const bootMs = this.bootClock() - this.renewedAt.bootMs;
        return Math.max(monotonicMs, bootMs);
    }

    /** Whether keys may be accepted. */
    isValid(): boolean {
        return this.durationMs === undefined || this.ageMs() < this.durationMs - MARGIN_MS;
    }
}
