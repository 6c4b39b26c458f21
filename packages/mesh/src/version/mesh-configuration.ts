/**
 * Configuration that operators publish for a mesh: routes, organisations and limits for callers.
 */

/** Service that receives a share of a route's requests. */
export interface Destination {
    readonly service: string;
    /** Share of the requests that goes to the service, relative to the weights of the other destinations. */
    readonly weight: number;
}

/** Rules for the requests of one host name and path prefix. */
export interface Route {
    readonly name: string;
    readonly hostName: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly destinations: readonly Destination[];
    /** Whether a request may run more than once. */
    readonly idempotent: boolean;
    /** Maximum time in ms until a caller gets its response. */
    readonly timeoutMs: number;
    /** Time in ms within which a response is fully useful to the caller. */
    readonly latencyObjectiveMs: number;
    /** Maximum number of attempts of one request that reach a backend server. */
    readonly maximumAttempts: number;
    /** 0 is the most important. */
    readonly priority: number;
    /** Whether requests need no key. */
    readonly isPublic: boolean;
}

/** A customer, with the keys that authenticate it. */
export interface Organisation {
    readonly name: string;
    /** SHA-256 hash of each key, in hexadecimal. */
    readonly keyHashes: readonly string[];
    /** Takes precedence over the priority of a route; undefined if the route's priority applies. */
    readonly priority: number | undefined;
    /** Requests per second over all hosts; 0 means no limit. */
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** Limits on the messages and connections of callers. */
export interface CallerLimits {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** What is stated of the backend servers of a service. */
export interface ServiceRules {
    readonly name: string;
    /** Path of the health check; undefined if the service has none. */
    readonly healthPath: string | undefined;
    /** Longest time in ms for which a server is cold after its start. */
    readonly coldStartMs: number;
    /** Requests a second that a cold server tolerates; 0 means no limit. */
    readonly coldRatePerSecond: number;
}

/** One published configuration version. */
export interface MeshConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    /** Undefined when requests need no key at all. */
    readonly organisations: readonly Organisation[] | undefined;
    readonly limits: CallerLimits;
    readonly services: readonly ServiceRules[];
}
