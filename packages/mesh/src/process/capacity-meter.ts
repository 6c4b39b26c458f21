/**
 * Measures which fraction of the load that is offered to a backend server cannot be carried.
 *
 * Handles a load above what the server's slots or the processor of its node carry. Offered load counts refused requests
 * too, so the fraction does not depend on how many of them are refused. It is passed up the call graph, so that entry
 * nodes admit as many whole requests as fit.
 */
import type { Clock } from "@radishrouter/core";
import { decayFactor } from "@radishrouter/core";

/** Fraction of the offered load, from 0 to 1, that exceeds what can be carried; 0 while all of it can. */
export interface LoadExcess {
    /** Excess over what the slots of the server carry. */
    readonly slots: number;
    /** Excess over what the processor of the node carries. */
    readonly processor: number;
}

/** Time in which an observation loses half of its weight; the mean weighs about 0.7 s. */
const HALF_LIFE_MS = 500;
/** Width of the exponential window that corresponds to the half-life. */
const WINDOW_MS = HALF_LIFE_MS / Math.LN2;
/** Observations within this time decay together, which saves the power function on most calls. */
const DECAY_STEP_MS = 5;
/** Completed requests below which service times do not show the capacity. */
const MINIMUM_COMPLETED = 5;
/** Time after a request last found no free slot in which the slots count as exhausted. */
const QUEUED_RECENTLY_MS = 250;
/** Lag that is left to the node: timers are late by this much without overload. */
const TOLERATED_LAG_MS = 50;
/** Time in which a lag is worked off; shorter than the delay of the reports, the load would oscillate. */
const LAG_RECOVERY_MS = 1_000;
/** Time over which the growth of the lag is measured. */
const LAG_SLOPE_MS = 100;
/** Weight of the newest growth of the lag in its mean. */
const LAG_SLOPE_WEIGHT = 0.4;
const MAXIMUM_LAG_REDUCTION = 0.5;
/** Bound of the growth of a lag that is worked off. */
const MINIMUM_LAG_SLOPE = -0.5;
/** Excess below this is within the error of a count over the window. */
const MINIMUM_EXCESS = 0.03;

/** Greater part of an excess that another node reported; 0 if it reported none, or what is no fraction. */
export function greatestExcess(excess: LoadExcess | undefined): number {
    const greatest = excess ? Math.max(excess.slots, excess.processor) : 0;
    return greatest > 0 ? Math.min(1, greatest) : 0;
}

/**
 * Pressure of the service that a new request is sent to. An excess over the slots of its own servers is left out: their
 * gates refuse before any work is done, and in the order of importance over all entry nodes.
 */
export function entryPressureOf(
    { onwardPressure, excess }: { readonly onwardPressure: number; readonly excess?: LoadExcess | undefined; },
): number {
    return Math.max(onwardPressure, greatestExcess(excess && { slots: 0, processor: excess.processor }));
}

/** No excess; shared, because nearly all reports say so. */
export const NO_EXCESS: LoadExcess = { slots: 0, processor: 0 };

/** Offered and completed requests of one backend server. */
export class CapacityMeter {
    private offered = 0;
    private completed = 0;
    private serviceMs = 0;
    private decayedAtMs: number;
    private readonly startedAtMs: number;
    private queuedAtMs = -Infinity;
    private lagMs = 0;
    private lagAtMs: number;
    /** Growth of the lag: the work that arrives, as a multiple of what is done, less 1. */
    private lagSlope = 0;

    private constructor(private readonly clock: Clock) {
        this.startedAtMs = clock.nowMs();
        this.decayedAtMs = this.startedAtMs;
        this.lagAtMs = this.startedAtMs;
    }

    static create(clock: Clock): CapacityMeter {
        return new CapacityMeter(clock);
    }

    /** Records a request that arrives, whether it is admitted or refused. */
    recordOffered(): void {
        this.decay();
        this.offered++;
    }

    /** Records that a request found no free slot. */
    recordQueued(): void {
        this.queuedAtMs = this.clock.nowMs();
    }

    /** Records a request that was answered after a time at the server. */
    recordCompleted(serviceMs: number): void {
        this.decay();
        this.completed++;
        this.serviceMs += serviceMs;
    }

    /** Excess of the offered load with a number of slots, and with a lag of the process that has lasted. */
    excess(slotLimit: number, lastingLagMs: number): LoadExcess {
        this.observeLag(lastingLagMs);
        const isQueued = this.clock.nowMs() - this.queuedAtMs <= QUEUED_RECENTLY_MS;
        const isBehind = lastingLagMs > TOLERATED_LAG_MS;
        if (!isQueued && !isBehind) {
            return NO_EXCESS;
        }
        this.decay();
        const slots = isQueued ? significant(this.slotExcess(slotLimit)) : 0;
        const processor = isBehind ? significant(this.processorExcess(lastingLagMs)) : 0;
        return slots > 0 || processor > 0 ? { slots, processor } : NO_EXCESS;
    }

    private slotExcess(slotLimit: number): number {
        if (this.completed < MINIMUM_COMPLETED) {
            return 0;
        }
        const windowMs = WINDOW_MS * (1 - decayFactor(this.clock.nowMs() - this.startedAtMs, HALF_LIFE_MS));
        const carried = slotLimit * windowMs * this.completed / Math.max(1, this.serviceMs);
        return 1 - carried / this.offered;
    }

    /** What arrives above what is done makes the lag grow; a lag that does not grow is to be worked off. */
    private processorExcess(lagMs: number): number {
        const slope = Math.max(MINIMUM_LAG_SLOPE, this.lagSlope);
        const reduction = Math.min(MAXIMUM_LAG_REDUCTION, (lagMs - TOLERATED_LAG_MS) / LAG_RECOVERY_MS);
        return 1 - (1 - reduction) / (1 + slope);
    }

    private observeLag(lagMs: number): void {
        const elapsedMs = this.clock.nowMs() - this.lagAtMs;
        if (elapsedMs >= LAG_SLOPE_MS) {
            this.lagSlope += ((lagMs - this.lagMs) / elapsedMs - this.lagSlope) * LAG_SLOPE_WEIGHT;
            this.lagMs = lagMs;
            this.lagAtMs = this.clock.nowMs();
        }
    }

    private decay(): void {
        const nowMs = this.clock.nowMs();
        const elapsedMs = nowMs - this.decayedAtMs;
        if (elapsedMs < DECAY_STEP_MS) {
            return;
        }
        const factor = decayFactor(elapsedMs, HALF_LIFE_MS);
        this.offered *= factor;
        this.completed *= factor;
        this.serviceMs *= factor;
        this.decayedAtMs = nowMs;
    }
}

function significant(excess: number): number {
    return excess < MINIMUM_EXCESS ? 0 : Math.min(1, excess);
}
