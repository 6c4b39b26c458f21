/**
 * Messages between two nodes. They travel on one connection in both directions, each encoded by the library.
 */
import type { ServerLoad } from "../process/server-gate.js";
import type { FailedOutcome } from "../request/outcome.js";
import type { RequestContent } from "../request/relayed-request.js";

/** A request that is forwarded to the node beside a backend server. */
export interface ForwardedRequest {
    readonly content: RequestContent;
    /** Service and instance of the backend server that the sender chose. */
    readonly service: string;
    readonly instance: string;
    /** Milliseconds until the sender gives the request up. */
    readonly remainingMs: number;
    /** Milliseconds until an answer is no longer of full use. */
    readonly answerInMs: number;
}

/** What became of a forwarded request. */
export type ForwardedOutcome =
    | {
        readonly kind: "answered";
        readonly status: number;
        readonly headers: readonly string[];
        readonly body: Buffer;
    }
    | FailedOutcome;

/** State of a node, told with what it sends. */
export interface NodeState {
    readonly load: ServerLoad;
    /** Part of the onward calls of its backend server that is refused for want of room. */
    readonly onwardPressure: number;
    /** Whether the node has begun a planned stop. */
    readonly isStopping: boolean;
    /** What the steady clock of the node shows. */
    readonly clockMs: number;
}

/** One message; numbers are the sender's and come back with what belongs to them. */
export type LinkMessage =
    | {
        readonly kind: "request";
        readonly number: number;
        /** When the request was given to the link, by the receiver's steady clock; never later than in truth. */
        readonly sentAtMs: number;
        readonly request: ForwardedRequest;
    }
    | { readonly kind: "cancel"; readonly number: number; }
    | {
        readonly kind: "outcome";
        readonly number: number;
        readonly outcome: ForwardedOutcome;
        readonly state: NodeState;
    }
    | { readonly kind: "ask-tokens"; readonly number: number; readonly organisation: string; readonly wanted: number; }
    | { readonly kind: "tokens"; readonly number: number; readonly granted: number; }
    | { readonly kind: "ping"; }
    | { readonly kind: "state"; readonly state: NodeState; };
