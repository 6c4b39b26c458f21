/**
 * Rejects new requests while this process has more work than it gets processor time for.
 *
 * Protects against a load above what the node itself can handle: work that waits for the processor delays every
 * response, including those of requests in flight. The lag of the process's timers shows how much work waits.
 */
import type { Clock } from "@radishrouter/core";
import { alignedDelayMs } from "@radishrouter/core";

/** Whether a new request is admitted. */
export type GuardDecision =
    | { readonly kind: "admitted"; }
    | { readonly kind: "refused"; readonly lagMs: number; readonly retryAfterMs: number; };

const TICK_MS = 50;
/** Weight of the newest timer delay in the moving average. */
const SMOOTHING_FACTOR = 0.6;
/** Longest lag at which requests of each priority are still admitted, the most important first. */
const LAG_LIMITS_MS = [240, 120, 60] as const;
const MINIMUM_RETRY_AFTER_MS = 300;

const ADMITTED: GuardDecision = { kind: "admitted" };

/** Measures the lag of the process's timers and admits new requests depending on it. */
export class ProcessOverloadGuard {
    private lagMs = 0;
    private expectedAtMs = 0;

    private constructor(private readonly clock: Clock, private readonly random: () => number) {
        this.scheduleTick();
    }

    static create(clock: Clock, random: () => number = Math.random): ProcessOverloadGuard {
        return new ProcessOverloadGuard(clock, random);
    }

    /** Decides whether a new request is admitted; priority 0 is the most important. */
    decide(priority: number): GuardDecision {
        const limitMs = LAG_LIMITS_MS[Math.min(priority, LAG_LIMITS_MS.length - 1)] ?? LAG_LIMITS_MS[0];
        if (this.lagMs <= limitMs) {
            return ADMITTED;
        }
        const retryAfterMs = Math.max(MINIMUM_RETRY_AFTER_MS, this.lagMs * 2) * (1 + this.random());
        return { kind: "refused", lagMs: this.lagMs, retryAfterMs };
    }

    private scheduleTick(): void {
        const delayMs = alignedDelayMs(this.clock, TICK_MS / 2);
        this.expectedAtMs = this.clock.nowMs() + delayMs;
        this.clock.setTimer(delayMs, () => this.tick());
    }

    private tick(): void {
        const timerDelayMs = Math.max(0, this.clock.nowMs() - this.expectedAtMs);
        this.lagMs += (timerDelayMs - this.lagMs) * SMOOTHING_FACTOR;
        this.scheduleTick();
    }
}
