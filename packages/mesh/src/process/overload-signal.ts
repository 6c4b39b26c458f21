/**
 * How entry nodes learn of an overload deep in the call graph, and the decisions that go with it.
 */
import type { ThrottleDecision } from "./downstream-throttle.js";

/**
 * Signal that a deployment uses:
 *
 * - `refusals`: the fraction of the calls that were refused
 * - `excess`: the fraction of the offered load that the servers and nodes of the called services cannot carry, and calls
 *   that ended at their deadline
 */
export type OverloadSignal = "refusals" | "excess";

/** Measures which part of the local backend server's requests the services that it calls cannot take. */
export interface CallPressure {
    /** Records a request that is sent to the local backend server. */
    recordRequest(): void;
    /** Records a downstream call to a service with its pressure, from 0 to 1. */
    record(pressure: number, service?: string): void;
    /** Pressure now, from 0 to 1. */
    current(): number;
}

/** Admits new requests depending on the pressure that is reported for their service. */
export interface RequestThrottle {
    /** Decides whether a new request to a service is admitted; priority 0 is the most important. */
    decide(service: string, priority: number, organisation?: string, weight?: number): ThrottleDecision;
    /** Records a reported pressure. */
    record(service: string, pressure: number): void;
    /** Smallest fraction of requests that is admitted to any service; 1 while nothing is refused. */
    leastAdmittedFraction(): number;
}
