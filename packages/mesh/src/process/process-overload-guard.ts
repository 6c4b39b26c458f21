/**
 * Turns new requests away while this process has more work than its share of the processor.
 *
 * Answers a load above what the node itself can handle: work that waits for the processor delays every answer, also
 * those of running work. How late timers fire tells how much work waits.
 */
import type { Clock } from "@radishrouter/core";
import { setRepeatingTimer } from "@radishrouter/core";

/** Whether a new request is taken. */
export type GuardDecision =
    | { readonly kind: "admitted"; }
    | { readonly kind: "refused"; readonly lagMs: number; readonly retryAfterMs: number; };

const TICK_MS = 20;
const WEIGHT = 0.3;
/** Longest delay that requests of each priority are still taken at, the most important first. */
const LAG_LIMITS_MS = [240, 120, 60] as const;
const RETRY_AFTER_AT_LEAST_MS = 300;

const ADMITTED: GuardDecision = { kind: "admitted" };

/** Delay of the process's own timers, and admission by it. */
export class ProcessOverloadGuard {
    private lagMs = 0;
    private expectedAtMs: number;

    private constructor(private readonly clock: Clock, private readonly random: () => number) {
        this.expectedAtMs = clock.nowMs() + TICK_MS;
        setRepeatingTimer(clock, TICK_MS, () => this.tick());
    }

    static create(clock: Clock, random: () => number = Math.random): ProcessOverloadGuard {
        return new ProcessOverloadGuard(clock, random);
    }

    /** Decides about a new request by its priority; 0 is the most important. */
    decide(priority: number): GuardDecision {
        const limitMs = LAG_LIMITS_MS[Math.min(priority, LAG_LIMITS_MS.length - 1)] ?? LAG_LIMITS_MS[0];
        if (this.lagMs <= limitMs) {
            return ADMITTED;
        }
        const retryAfterMs = Math.max(RETRY_AFTER_AT_LEAST_MS, this.lagMs * 2) * (1 + this.random());
        return { kind: "refused", lagMs: this.lagMs, retryAfterMs };
    }

    private tick(): void {
        const nowMs = this.clock.nowMs();
        const lateMs = Math.max(0, nowMs - this.expectedAtMs);
        this.lagMs += (lateMs - this.lagMs) * WEIGHT;
        this.expectedAtMs = nowMs + TICK_MS;
    }
}
