/**
 * Limits the rate at which log lines are written.
 */
import type { Clock } from "@radishrouter/core";

const SECOND_MS = 1000;

/** Token bucket with one token for each log line; it holds at most the tokens of one second. */
export class LogRateLimiter {
    private tokens: number;
    private refilledAtMs: number;

    private constructor(private readonly clock: Clock, private readonly linesPerSecond: number) {
        this.tokens = linesPerSecond;
        this.refilledAtMs = clock.nowMs();
    }

    static create(clock: Clock, linesPerSecond: number): LogRateLimiter {
        return new LogRateLimiter(clock, linesPerSecond);
    }

    /** Whether a line may be written now. */
    hasToken(): boolean {
        const nowMs = this.clock.nowMs();
        const refill = (nowMs - this.refilledAtMs) / SECOND_MS * this.linesPerSecond;
        this.tokens = Math.min(this.linesPerSecond, this.tokens + refill);
        this.refilledAtMs = nowMs;
        return this.tokens >= 1;
    }

    /** Takes the token of a line that is written; the count never goes below 0. */
    take(): void {
        this.tokens = Math.max(0, this.tokens - 1);
    }
}
