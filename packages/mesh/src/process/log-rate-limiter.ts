/**
 * Bounds how many log lines are written.
 */
import type { Clock } from "@radishrouter/core";

const SECOND_MS = 1000;

/** Lines that may be written, refilled at a rate per second up to one second's worth. */
export class LogRateLimiter {
    private left: number;
    private filledAtMs: number;

    private constructor(private readonly clock: Clock, private readonly perSecond: number) {
        this.left = perSecond;
        this.filledAtMs = clock.nowMs();
    }

    static create(clock: Clock, perSecond: number): LogRateLimiter {
        return new LogRateLimiter(clock, perSecond);
    }

    /** Whether a line may be written. */
    hasLeft(): boolean {
        const nowMs = this.clock.nowMs();
        const earned = (nowMs - this.filledAtMs) / SECOND_MS * this.perSecond;
        this.left = Math.min(this.perSecond, this.left + earned);
        this.filledAtMs = nowMs;
        return this.left >= 1;
    }

    /** Counts a line that is written. */
    take(): void {
        this.left = Math.max(0, this.left - 1);
    }
}
