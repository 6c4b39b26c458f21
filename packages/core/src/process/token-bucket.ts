/**
 * A token bucket that refills continuously.
 */
import type { Clock } from "./clock.js";

/** Refills at a fixed rate and holds at most `burst` tokens. */
export class TokenBucket {
    private tokens: number;
    private refilledAtMs: number;

    private constructor(
        private readonly clock: Clock,
        private ratePerSecond: number,
        private burst: number,
        initialTokens: number,
    ) {
        this.tokens = initialTokens;
        this.refilledAtMs = clock.nowMs();
    }

    static create(
        clock: Clock,
        options: { ratePerSecond: number; burst: number; initialTokens: number; },
    ): TokenBucket {
        return new TokenBucket(clock, options.ratePerSecond, options.burst, options.initialTokens);
    }

    /** Takes `count` tokens if that many are available. */
    tryTake(count = 1): boolean {
        this.refill();
        if (this.tokens < count) {
            return false;
        }
        this.tokens -= count;
        return true;
    }

    /** Milliseconds until `count` tokens are available. */
    timeUntilAvailableMs(count = 1): number {
        this.refill();
        return Math.max(0, (count - this.tokens) / this.ratePerSecond * 1000);
    }

    /** Changes rate and burst from now on, and drops tokens above the new burst. */
    setLimits(ratePerSecond: number, burst: number): void {
        this.refill();
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.tokens = Math.min(this.tokens, burst);
    }

    private refill(): void {
        const nowMs = this.clock.nowMs();
        this.tokens = Math.min(this.burst, this.tokens + (nowMs - this.refilledAtMs) * this.ratePerSecond / 1000);
        this.refilledAtMs = nowMs;
    }
}
