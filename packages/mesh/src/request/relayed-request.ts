/**
 * A request as it is relayed between nodes.
 */
import type { Route } from "../version/mesh-configuration.js";

/** The parts of a request that are the same at each node; deadline and chosen server are kept separately. */
export interface RequestContent {
    readonly id: string;
    readonly method: string;
    /** Path and query as the caller sent them. */
    readonly target: string;
    /** Alternating names and values; contains only headers that backend servers may receive. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    readonly routeName: string;
    /** 0 is the most important. */
    readonly priority: number;
    /** Whether the request is a downstream call: a call that a backend server makes while it serves a request. */
    readonly isOnwardCall: boolean;
    /** Organisation of the caller; left out for downstream calls and public routes, and by nodes of an earlier version. */
    readonly organisation?: string;
    /** Share of the organisation where capacity is scarce, relative to others. */
    readonly weight?: number;
}

/** Request of a caller that was read completely and admitted. */
export interface RelayedRequest {
    readonly content: RequestContent;
    readonly route: Route;
    /** Time of the clock by which the caller gets its final response. */
    readonly deadlineAtMs: number;
    /** Time of the clock by which a response is fully useful to the caller (latency objective). */
    readonly softDeadlineAtMs: number;
}

/** Request as the node on the backend server's host receives it. */
export interface ServerRequest {
    readonly content: RequestContent;
    /** Service and instance of the backend server that the sender chose. */
    readonly service: string;
    readonly instance: string;
    /** Whether the sender knows that the request may end the server; it runs alone then. */
    readonly isTrial?: boolean;
    /** Time of the clock at which the sender gives up on the request. */
    readonly deadlineAtMs: number;
    /** Time of the clock by which a response is fully useful to the caller (latency objective). */
    readonly softDeadlineAtMs: number;
}
