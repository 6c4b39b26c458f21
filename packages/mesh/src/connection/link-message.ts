/**
 * Messages between two nodes. They travel on one connection in both directions, each encoded by the library.
 */
import type { GateLoad } from "../process/server-gate.js";
import type { NotRunReason, UnknownReason } from "../request/outcome.js";

/** A request that is forwarded to the node beside a backend server. */
export interface ForwardedRequest {
    readonly id: string;
    readonly method: string;
    readonly target: string;
    /** Names and values by turns. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    /** Service of the backend server that the sender chose. */
    readonly service: string;
    readonly instance: string;
    readonly routeName: string;
    readonly priority: number;
    readonly isOnwardCall: boolean;
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
    | {
        readonly kind: "not-run";
        readonly reason: NotRunReason;
        readonly reached: boolean;
        readonly retryAfterMs: number;
    }
    | { readonly kind: "unknown"; readonly reason: UnknownReason; readonly detail: string; };

/** State of a node, told with what it sends. */
export interface NodeState {
    readonly load: GateLoad;
    /** Part of the onward calls of its backend server that is refused for want of room. */
    readonly onwardPressure: number;
    /** Whether the node has begun a planned stop. */
    readonly isStopping: boolean;
}

/** One message; numbers are the sender's and come back with what belongs to them. */
export type LinkMessage =
    | {
        readonly kind: "request";
        readonly number: number;
        /** Time of the sender's steady clock, which shares no zero with the receiver's. */
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
