/**
 * Measures how fast the backend server on this node's host is, for the load balancing of all nodes.
 *
 * Handles servers of different machines, whose service times differ by a factor of three, and machines that other work
 * slows down for parts of a second. The mean service time is kept as it would be without the momentary slowness, because
 * the two are reported together: a server that states a wrong slowness all the time only divides its own service time
 * by it, and gets the requests that it got before.
 */
import type { Clock } from "@radishrouter/core";
import { decayFactor } from "@radishrouter/core";
import type { StatedLoad } from "./server-condition.js";
import type { SpeedReport } from "./server-observation.js";

/** Weight of the newest service time; a mean of fewer than 20 requests orders equal servers at random. */
const SMOOTHING_FACTOR = 0.05;
/** Requests before a service time is reported. */
const MINIMUM_SERVICE_TIMES = 5;
const SLOWNESS_HALF_LIFE_MS = 300;
const UNSEEN_WORK_HALF_LIFE_MS = 500;
const MINIMUM_SLOWNESS = 0.5;
const MAXIMUM_SLOWNESS = 3;
/** Slowness that differs less from the usual is not reported. */
const REPORTED_DIFFERENCE = 0.02;
const PERCENT = 100;

/** Speed of the local backend server. */
export class ServerSpeed {
    private instance: string | undefined;
    private meanMs = 0;
    private serviceTimes = 0;
    private statedSlowness = 1;
    private unseenWork = 0;
    private statedAtMs = -Infinity;

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): ServerSpeed {
        return new ServerSpeed(clock);
    }

    /** Mean service time without the momentary slowness; undefined until it is known. */
    get serviceMs(): number | undefined {
        return this.serviceTimes < MINIMUM_SERVICE_TIMES ? undefined : this.meanMs;
    }

    /** Estimated slowness now: 1 is as usual, and what the server said last comes nearer to 1 with its age. */
    get slowness(): number {
        const factor = decayFactor(this.clock.nowMs() - this.statedAtMs, SLOWNESS_HALF_LIFE_MS);
        return 1 + (this.statedSlowness - 1) * factor;
    }

    /** Records what an instance states in a response while `admitted` requests are in flight at it. */
    recordStated(instance: string, stated: StatedLoad | undefined, admitted: number): void {
        if (instance !== this.instance) {
            this.instance = instance;
            this.serviceTimes = 0;
            this.meanMs = 0;
        }
        if (!stated) {
            return;
        }
        const running = (stated.running ?? 0) + (stated.waiting ?? 0);
        this.unseenWork = Math.min(Math.max(0, running - admitted), stated.slots ?? admitted);
        this.statedSlowness = Math.min(MAXIMUM_SLOWNESS, Math.max(MINIMUM_SLOWNESS, stated.slowness ?? 1));
        this.statedAtMs = this.clock.nowMs();
    }

    /** Records the service time of a request that was answered. */
    recordServiceTime(serviceMs: number): void {
        this.serviceTimes++;
        const weight = Math.max(SMOOTHING_FACTOR, 1 / this.serviceTimes);
        this.meanMs += (serviceMs / this.slowness - this.meanMs) * weight;
    }

    /** What other nodes are told. */
    report(): SpeedReport {
        const { serviceMs, slowness } = this;
        const unseenWork = Math.round(
            this.unseenWork * decayFactor(this.clock.nowMs() - this.statedAtMs, UNSEEN_WORK_HALF_LIFE_MS),
        );
        return {
            ...serviceMs !== undefined && { serviceMs: Math.max(1, Math.round(serviceMs)) },
            ...Math.abs(slowness - 1) > REPORTED_DIFFERENCE && { slownessPercent: Math.round(slowness * PERCENT) },
            ...unseenWork > 0 && { unseenWork },
        };
    }
}
