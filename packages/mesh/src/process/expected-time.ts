/**
 * Expected time to a response of a server, in service times of the service's median server.
 *
 * The time is relative, so that a report that is wrong is bounded in what it does, and so that servers of which nothing
 * is known are compared by their utilization alone.
 */
import { loadWeight, relativeServiceTime } from "./server-observation.js";
import type { ServerObservation } from "./server-observation.js";
import type { ServiceLoadView } from "./service-load-view.js";

/** Utilization above which requests wait at times, because others arrive between two reports. */
const NEARLY_FULL_UTILIZATION = 0.7;
/** Increase of the expected time, in service times, for each unit of utilization above that. */
const NEARLY_FULL_STEEPNESS = 4;
/** Preference for the own failure domain, because bytes between failure domains have a cost. */
const OTHER_DOMAIN_COST = 0.15;
/** Round trip to another failure domain that is assumed, between the 1.8 and 10.8 ms that occur. */
const OTHER_DOMAIN_ROUND_TRIP_MS = 6;

/** Expected time until a server has served a request, without the way to it. */
export function expectedTime(
    observation: ServerObservation,
    failureDomain: string,
    view: ServiceLoadView,
    nowMs: number,
): number {
    const { localInFlight, othersInFlight, limit } = observation;
    const weight = loadWeight(observation, nowMs);
    // What is not known of the server is taken to be as in its failure domain.
    const utilization = (localInFlight + othersInFlight * weight) / limit +
        (1 - weight) * view.utilizationOf(failureDomain);
    const nearlyFull = Math.max(0, utilization - NEARLY_FULL_UTILIZATION) * NEARLY_FULL_STEEPNESS;
    return relativeServiceTime(observation, view.medianServiceMs, nowMs) * (1 + utilization + nearlyFull);
}

/** Cost of the way to another failure domain. */
export function distanceCost({ medianServiceMs }: ServiceLoadView): number {
    return OTHER_DOMAIN_COST + (medianServiceMs > 0 ? OTHER_DOMAIN_ROUND_TRIP_MS / medianServiceMs : 0);
}
