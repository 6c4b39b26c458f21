/**
 * Data of one request while it is in flight at a node, and of the response to it.
 */
import type { ChainPressure, Importance, MatchedRoute, RetryBudget } from "@radishrouter/core";
import type { Readable } from "node:stream";
import type { HeaderMap } from "./request-headers.js";

/** Data of a request in flight; kept until its response has been sent. */
export interface RequestContext {
    readonly organisation: string;
    /** Importance of the root request, which all requests of its call graph inherit. */
    readonly importance: Importance;
    readonly method: string;
    /** Request target, which starts with the service name, such as `/items/search?q=1`. */
    readonly target: string;
    readonly matched: MatchedRoute;
    readonly headers: HeaderMap;
    /** Time on the clock of the process by which the request must be answered. */
    readonly deadlineMs: number;
    readonly retryBudget: RetryBudget;
    /** Whether an earlier attempt may have run. Each downstream call may then be a retry and counts as one. */
    readonly isRepeat: boolean;
    /** Highest admission level that the request and its downstream calls met, and the depth of these calls. */
    readonly chainPressure: ChainPressure;
    /** Aborted when the caller has disconnected, the deadline has passed or the access key was withdrawn. */
    readonly signal: AbortSignal;
}

/** Response of a backend server that is passed back to the caller. */
export interface BackendResponse {
    readonly status: number;
    readonly headers: HeaderMap;
    readonly body: Readable;
    /** Time that the request waited in queues, in milliseconds. */
    readonly waitedMs: number;
}

/** Returns the name of a route, such as `GET /items/search`; it is the same for all requests of the route. */
export function routeNameOf(matched: MatchedRoute): string {
    return `${matched.route.method} /${matched.serviceName}${matched.route.path}`;
}
