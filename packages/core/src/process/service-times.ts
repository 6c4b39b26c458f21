/**
 * Estimates how long requests take on one backend server, by route.
 */
import type { Clock } from "./clock.js";
import { decayFactor } from "./half-life.js";

/** Minimum weight of a new time in a mean; the weight is higher after a time without completions. */
const MINIMUM_MEAN_WEIGHT = 0.1;
/** Fraction of the mean time that a request is expected to take at least. */
const MINIMUM_TIME_RATIO = 0.7;
/** Half-life of an estimate without completions, so that a past slowdown does not cause refusals forever. */
const HALF_LIFE_MS = 1000;
const MAXIMUM_ROUTES = 1024;

interface Estimate {
    meanMs: number;
    updatedAtMs: number;
}

/** Mean service times, whose estimates decay while nothing completes. */
export class ServiceTimes {
    private readonly estimates = new Map<string, Estimate>();
    private readonly overall: Estimate;

    private constructor(private readonly clock: Clock) {
        this.overall = { meanMs: 0, updatedAtMs: clock.nowMs() };
    }

    static create(clock: Clock): ServiceTimes {
        return new ServiceTimes(clock);
    }

    /** Records the time of a completed request. */
    record(routeName: string | undefined, totalMs: number): void {
        this.update(this.overall, totalMs);
        const name = routeName ?? "";
        const estimate = this.estimates.get(name);
        if (estimate) {
            this.update(estimate, totalMs);
        }
        else if (this.estimates.size < MAXIMUM_ROUTES) {
            this.estimates.set(name, { meanMs: totalMs, updatedAtMs: this.clock.nowMs() });
        }
    }

    /** Shortest time that a request of a route is expected to take; 0 when none has completed. */
    minimumExpectedMs(routeName: string | undefined): number {
        const estimate = this.estimates.get(routeName ?? "");
        if (!estimate) {
            return 0;
        }
        return MINIMUM_TIME_RATIO * estimate.meanMs * this.decayFactorOf(estimate);
    }

    /** Mean time over the requests of all routes; does not decay. */
    meanMs(): number {
        return this.overall.meanMs;
    }

    /** Updates a mean with a new time; the longer nothing was recorded, the less the previous mean counts. */
    private update(estimate: Estimate, totalMs: number): void {
        const weight = Math.max(MINIMUM_MEAN_WEIGHT, 1 - this.decayFactorOf(estimate));
        estimate.meanMs = estimate.meanMs === 0 ? totalMs : estimate.meanMs + (totalMs - estimate.meanMs) * weight;
        estimate.updatedAtMs = this.clock.nowMs();
    }

    /** Decay factor of an estimate for the time since it was last updated. */
    private decayFactorOf(estimate: Estimate): number {
        return decayFactor(this.clock.nowMs() - estimate.updatedAtMs, HALF_LIFE_MS);
    }
}
