/**
 * Tells the nodes of a fleet what part of the requests that they would send to a rate-limited server they should send.
 *
 * A node cannot know what others send, and if all of them looked at the rate that is left, all would take the same rest.
 * So the node on the server's host adapts one fraction until what arrives fits the rate, whatever the number of nodes:
 * each of them leaves the server out of its choice for the remaining part of its requests.
 */
import type { Clock } from "@radishrouter/core";

/** Shortest time between two changes of the fraction: nodes learn the last one with their next responses. */
const MINIMUM_PERIOD_MS = 500;
/** After this time the fraction changes, however few requests arrived. */
const MAXIMUM_PERIOD_MS = 2_000;
/** Requests from which the number of arrivals is no matter of chance. */
const SUFFICIENT_ARRIVALS = 10;
const LARGEST_DECREASE = 0.5;
const LARGEST_INCREASE = 1.25;
/** Enough for busy nodes to learn that the limit has ended. */
const MINIMUM_SHARE = 0.02;
const SECOND_MS = 1_000;

/** Fraction of their requests that nodes should send to a rate-limited server, from 0 to 1. */
export class RateShare {
    private share = 1;
    private arrivals = 0;
    private periodStartedAtMs: number;

    private constructor(private readonly clock: Clock) {
        this.periodStartedAtMs = clock.nowMs();
    }

    static create(clock: Clock): RateShare {
        return new RateShare(clock);
    }

    /** Records a request that arrived for the server, whether it is admitted or refused. */
    recordArrival(): void {
        this.arrivals++;
    }

    /** Fraction for a rate in requests a second; undefined if the server names none. */
    current(ratePerSecond: number | undefined): number {
        if (ratePerSecond === undefined) {
            this.share = 1;
            this.startPeriod();
            return 1;
        }
        const elapsedMs = this.clock.nowMs() - this.periodStartedAtMs;
        const hasSufficed = elapsedMs >= MINIMUM_PERIOD_MS && this.arrivals >= SUFFICIENT_ARRIVALS;
        if (hasSufficed || elapsedMs >= MAXIMUM_PERIOD_MS) {
            this.adapt(ratePerSecond * elapsedMs / SECOND_MS);
        }
        return this.share;
    }

    private adapt(allowed: number): void {
        const factor = allowed / Math.max(1, this.arrivals);
        const bounded = Math.min(LARGEST_INCREASE, Math.max(LARGEST_DECREASE, factor));
        this.share = Math.min(1, Math.max(MINIMUM_SHARE, this.share * bounded));
        this.startPeriod();
    }

    private startPeriod(): void {
        this.arrivals = 0;
        this.periodStartedAtMs = this.clock.nowMs();
    }
}
