/**
 * A request on its way through this node.
 */
import type { Route } from "../version/mesh-configuration.js";

/** Request of a caller, read whole and admitted. */
export interface RelayedRequest {
    readonly id: string;
    readonly method: string;
    /** Path and query as the caller sent them. */
    readonly target: string;
    /** Names and values by turns, with what backend servers may see only. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    readonly route: Route;
    readonly priority: number;
    /** Whether the request is part of another one that already runs somewhere. */
    readonly isOnwardCall: boolean;
    /** Time of the clock at which the caller gets its final answer at the latest. */
    readonly giveUpAtMs: number;
    /** Time of the clock by which an answer is of full use. */
    readonly answerByMs: number;
}

/** Request as the node beside the backend server gets it. */
export interface ServerRequest {
    readonly id: string;
    readonly method: string;
    readonly target: string;
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    readonly routeName: string;
    readonly priority: number;
    readonly isOnwardCall: boolean;
    readonly giveUpAtMs: number;
    readonly answerByMs: number;
    /** Service and instance of the backend server that the sender chose. */
    readonly service: string;
    readonly instance: string;
}
