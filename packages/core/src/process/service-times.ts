/**
 * How long requests take on one backend server, by route.
 */
import type { Clock } from "./clock.js";
import { decayFactor } from "./half-life.js";

const WEIGHT = 0.1;
/** Part of the mean time that a request is expected to take at least. */
const EXPECTED_RATIO = 0.7;
/** Time without completions in which an estimate halves, so that a past slowness does not refuse requests for ever. */
const HALF_LIFE_MS = 1000;
const ROUTES_AT_MOST = 1024;

interface Estimate {
    meanMs: number;
    updatedAtMs: number;
}

/** Means of service times, which fade while nothing completes. */
export class ServiceTimes {
    private readonly estimates = new Map<string, Estimate>();
    private readonly all: Estimate;

    private constructor(private readonly clock: Clock) {
        this.all = { meanMs: 0, updatedAtMs: clock.nowMs() };
    }

    static create(clock: Clock): ServiceTimes {
        return new ServiceTimes(clock);
    }

    /** Records the time of a completed request. */
    record(routeName: string | undefined, totalMs: number): void {
        this.update(this.all, totalMs);
        const name = routeName ?? "";
        const estimate = this.estimates.get(name);
        if (estimate) {
            this.update(estimate, totalMs);
        }
        else if (this.estimates.size < ROUTES_AT_MOST) {
            this.estimates.set(name, { meanMs: totalMs, updatedAtMs: this.clock.nowMs() });
        }
    }

    /** Least time that a request of a route has to be given. */
    expectedMs(routeName: string | undefined): number {
        const estimate = this.estimates.get(routeName ?? "");
        if (!estimate) {
            return 0;
        }
        return EXPECTED_RATIO * estimate.meanMs * this.remainingPart(estimate);
    }

    /** Mean time of all requests. */
    meanMs(): number {
        return this.all.meanMs;
    }

    /** Moves a mean towards a new time; the longer nothing was recorded, the less the past counts. */
    private update(estimate: Estimate, totalMs: number): void {
        const weight = Math.max(WEIGHT, 1 - this.remainingPart(estimate));
        estimate.meanMs = estimate.meanMs === 0 ? totalMs : estimate.meanMs + (totalMs - estimate.meanMs) * weight;
        estimate.updatedAtMs = this.clock.nowMs();
    }

    /** Part of an estimate that is left after the time since its last record. */
    private remainingPart(estimate: Estimate): number {
        return decayFactor(this.clock.nowMs() - estimate.updatedAtMs, HALF_LIFE_MS);
    }
}
