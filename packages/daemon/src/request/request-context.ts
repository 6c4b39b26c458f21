/**
 * What a node knows about one request while it is in flight.
 */
import type { ChainPressure, Importance, MatchedRoute, RetryBudget } from "@radishrouter/core";
import type { Readable } from "node:stream";
import type { HeaderMap } from "./request-headers.js";

/** One request in flight; lives until its answer has been sent. */
export interface RequestContext {
    readonly organisation: string;
    /** Importance of the root request, which the whole chain keeps. */
    readonly importance: Importance;
    readonly method: string;
    /** Request target with the service name, such as `/items/search?q=1`. */
    readonly target: string;
    readonly matched: MatchedRoute;
    readonly headers: HeaderMap;
    /** Time of the process clock by which the request has to be answered. */
    readonly deadlineMs: number;
    readonly retryBudget: RetryBudget;
    /** Whether an earlier attempt may have run, so that each onward call may be a repeat and counts as a retry. */
    readonly isRepeat: boolean;
    /** Admission levels that the request and its onward calls met. */
    readonly chainPressure: ChainPressure;
    /** Aborted when the caller has gone away or the deadline has passed. */
    readonly signal: AbortSignal;
}

/** Answer of a backend server on its way back. */
export interface Answer {
    readonly status: number;
    readonly headers: HeaderMap;
    readonly body: Readable;
    /** Milliseconds that the request waited in queues. */
    readonly waitedMs: number;
}

/** Name of the route of a request, the same for all requests of the route. */
export function routeNameOf(matched: MatchedRoute): string {
    return `${matched.route.method} /${matched.serviceName}${matched.route.path}`;
}
