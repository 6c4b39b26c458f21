/**
 * A request on its way through the nodes.
 */
import type { Route } from "../version/mesh-configuration.js";

/** What a request is, wherever it is; its time left and its place are told beside it. */
export interface RequestContent {
    readonly id: string;
    readonly method: string;
    /** Path and query as the caller sent them. */
    readonly target: string;
    /** Names and values by turns, with what backend servers may see only. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    readonly routeName: string;
    /** 0 is the most important. */
    readonly priority: number;
    /** Whether the request is part of another one that already runs somewhere. */
    readonly isOnwardCall: boolean;
}

/** Request of a caller, read whole and admitted. */
export interface RelayedRequest {
    readonly content: RequestContent;
    readonly route: Route;
    /** Time of the clock at which the caller gets its final answer at the latest. */
    readonly deadlineAtMs: number;
    /** Time of the clock by which an answer is of full use. */
    readonly softDeadlineAtMs: number;
}

/** Request as the node beside the backend server gets it. */
export interface ServerRequest {
    readonly content: RequestContent;
    /** Service and instance of the backend server that the sender chose. */
    readonly service: string;
    readonly instance: string;
    /** Time of the clock at which the sender gives the request up. */
    readonly deadlineAtMs: number;
    /** Time of the clock by which an answer is of full use. */
    readonly softDeadlineAtMs: number;
}
