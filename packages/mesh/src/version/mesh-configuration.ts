/**
 * What operators publish for a mesh: routes, organisations and limits for callers.
 */

/** One part of the traffic of a route. */
export interface Destination {
    readonly service: string;
    /** Part of the requests that goes to the service, relative to the weights of the other destinations. */
    readonly weight: number;
}

/** How requests of one host name and path prefix are treated. */
export interface Route {
    readonly name: string;
    readonly hostName: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly destinations: readonly Destination[];
    /** Whether a request may run more than once. */
    readonly idempotent: boolean;
    /** Longest time in ms for which a caller is kept waiting. */
    readonly timeoutMs: number;
    /** Time in ms within which an answer is of full use to the caller. */
    readonly latencyObjectiveMs: number;
    /** Backend servers to which one request may be sent at most. */
    readonly maximumAttempts: number;
    /** 0 is the most important. */
    readonly priority: number;
    /** Whether requests need no key. */
    readonly isPublic: boolean;
}

/** A customer with the keys that stand for it. */
export interface Organisation {
    readonly name: string;
    /** SHA-256 of each key, in hexadecimal. */
    readonly keyHashes: readonly string[];
    /** Takes precedence over the priority of a route; undefined leaves that in force. */
    readonly priority: number | undefined;
    /** Requests a second over all hosts; 0 means no limit. */
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** Bounds for what callers send. */
export interface CallerLimits {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One published version. */
export interface MeshConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    /** Undefined when requests need no key at all. */
    readonly organisations: readonly Organisation[] | undefined;
    readonly limits: CallerLimits;
}
