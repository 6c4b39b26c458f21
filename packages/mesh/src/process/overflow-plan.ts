/**
 * Decides which fraction of a failure domain's requests to a service goes to other failure domains.
 *
 * Handles demand that differs between failure domains: peaks, callers that move, a domain with few servers. All nodes of
 * a failure domain apply the same function to the same figure, how full the domain's servers are, so together they send
 * away about what does not fit without telling each other. The function and the smoothing are no steeper than stays
 * stable when the figure is 150 ms old and the domain is asked for twice what it takes.
 */
import { decayFactor } from "@radishrouter/core";

/** Utilization from which requests go to other domains. */
const START_UTILIZATION = 0.9;
/** Utilization below which none does any more; lower than the start, so that the plan does not begin and end all the time. */
const END_UTILIZATION = 0.8;
/** Utilization, with what waits, from which all requests go to other domains, as far as these have room. */
const FULL_UTILIZATION = 1.3;
/**
 * Time in which half of a change of the utilization takes effect. Arrivals at random change it within some 100 ms; with
 * 150 ms the fraction went up and down by 0.7 at a demand of 1.3.
 */
const UTILIZATION_HALF_LIFE_MS = 300;

/** Overflow of one service from the local failure domain. */
export class OverflowPlan {
    private current = 0;
    private smoothed = 0;
    private isActive = false;
    private updatedAtMs = -Infinity;

    private constructor() {}

    static create(): OverflowPlan {
        return new OverflowPlan();
    }

    /** Fraction of the requests that go to other failure domains. */
    get fraction(): number {
        return this.current;
    }

    /** Whether the overflow has begun and not ended. */
    get hasBegun(): boolean {
        return this.isActive;
    }

    /** Adapts the fraction to the utilization of the domain's servers; returns whether the overflow began or ended. */
    update(utilization: number, nowMs: number): boolean {
        const factor = decayFactor(nowMs - this.updatedAtMs, UTILIZATION_HALF_LIFE_MS);
        this.smoothed = utilization + (this.smoothed - utilization) * factor;
        this.updatedAtMs = nowMs;
        const wasActive = this.isActive;
        this.isActive = this.smoothed >= (wasActive ? END_UTILIZATION : START_UTILIZATION);
        const span = (this.smoothed - END_UTILIZATION) / (FULL_UTILIZATION - END_UTILIZATION);
        this.current = this.isActive ? Math.min(1, span) : 0;
        return this.isActive !== wasActive;
    }
}
