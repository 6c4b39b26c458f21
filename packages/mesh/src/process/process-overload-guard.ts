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

/** Shortest time between two ticks, which fall on the common grid of periodic timers. */
const MINIMUM_TICK_MS = 25;
/** Timers are not exact; a tick that is later than this counts as late. */
const MAXIMUM_TIMER_DELAY_MS = 10;
/** Weight of the newest timer delay in the moving average. */
const SMOOTHING_FACTOR = 0.6;
/** Longest lag at which requests of each priority are still admitted, the most important first. */
const LAG_LIMITS_MS = [240, 120, 60] as const;
const MINIMUM_RETRY_AFTER_MS = 300;
/** Lag above which the process counts as behind, and the time and the ticks for which that has to last. */
const BEHIND_LAG_MS = 30;
const BEHIND_FOR_MS = 100;
const BEHIND_TICKS = 3;

const ADMITTED: GuardDecision = { kind: "admitted" };

/** Measures the lag of the process's timers and admits new requests depending on it. */
export class ProcessOverloadGuard {
    private lagMs = 0;
    private lastDelayMs = 0;
    private scheduledAtMs = 0;
    private dueAtMs = 0;
    /** Ticks in a row after which the process was behind, and when the first of them was. */
    private behindTicks = 0;
    private behindSinceMs = 0;

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

    /** Lag while the process has been behind for several ticks; 0 otherwise. */
    lastingLagMs(): number {
        const isLasting = this.behindTicks >= BEHIND_TICKS && this.clock.nowMs() - this.behindSinceMs >= BEHIND_FOR_MS;
        return isLasting ? this.lagMs : 0;
    }

    private scheduleTick(): void {
        const delayMs = alignedDelayMs(this.clock, MINIMUM_TICK_MS);
        this.scheduledAtMs = this.clock.nowMs();
        this.dueAtMs = this.scheduledAtMs + delayMs;
        this.clock.setTimer(delayMs, () => this.tick());
    }

    private tick(): void {
        const nowMs = this.clock.nowMs();
        const isLate = nowMs - this.dueAtMs > MAXIMUM_TIMER_DELAY_MS;
        // While each iteration of the event loop takes longer than a tick, this is how long they take.
        const delayMs = isLate ? nowMs - this.scheduledAtMs - MINIMUM_TICK_MS : 0;
        // A single late tick is a pause of the process, which is over; overload makes one tick after another late.
        const lastingDelayMs = Math.min(delayMs, this.lastDelayMs);
        this.lastDelayMs = delayMs;
        this.lagMs += (lastingDelayMs - this.lagMs) * SMOOTHING_FACTOR;
        this.countBehind(nowMs);
        this.scheduleTick();
    }

    private countBehind(nowMs: number): void {
        if (this.lagMs <= BEHIND_LAG_MS) {
            this.behindTicks = 0;
            return;
        }
        if (this.behindTicks === 0) {
            this.behindSinceMs = nowMs;
        }
        this.behindTicks++;
    }
}
