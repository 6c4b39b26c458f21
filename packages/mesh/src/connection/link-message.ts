/**
 * Messages between two nodes, sent in both directions on one connection and encoded with MessagePack. The property
 * names are part of the wire format.
 */
import type { QuarantineNotice } from "../process/quarantine-exchange.js";
import type { RelayedReports } from "../process/report-distribution.js";
import type { ServerStart } from "../process/server-directory.js";
import type { ServerReport } from "../process/server-observation.js";
import type { FailedOutcome } from "../request/outcome.js";
import type { RequestContent } from "../request/relayed-request.js";
import type { StatePosition, StateUpdate } from "../version/published-state.js";

/** A request that is forwarded to the node on a backend server's host. */
export interface ForwardedRequest {
    readonly content: RequestContent;
    /** Service and instance of the backend server that the sender chose. */
    readonly service: string;
    readonly instance: string;
    /** Whether the sender knows that the request may end the server; left out if it does not. */
    readonly isTrial?: boolean;
    /** Time until the sender's deadline. */
    readonly remainingMs: number;
    /** Time until the soft deadline, after which a response is no longer of full use. */
    readonly answerInMs: number;
    /** Reports of other servers of the service; left out if none is due. */
    readonly others?: RelayedReports;
}

/** Outcome of a forwarded request. */
export type ForwardedOutcome =
    | {
        readonly kind: "answered";
        readonly status: number;
        readonly headers: readonly string[];
        readonly body: Buffer;
    }
    | FailedOutcome;

/** State of a node, sent with each outcome, in reply to pings and when a planned shutdown begins. */
export interface NodeState extends ServerReport {
    /** Start of the server on the node's host that leaves; undefined if it does not leave. */
    readonly leaving: ServerStart | undefined;
    /** Whether the node has begun a planned shutdown. */
    readonly isStopping: boolean;
    /** Time on the node's monotonic clock. */
    readonly clockMs: number;
    /** With an outcome: reports of other servers of the service; left out if none is due. */
    readonly others?: RelayedReports;
}

/** What a node knows of the published state, for a node that follows it. */
export interface StateReport {
    /** Position of this node; undefined if it has no state yet. */
    readonly position: StatePosition | undefined;
    /** Update from the position of the node that asked; undefined if there is nothing newer. */
    readonly update: StateUpdate | undefined;
    /** Time since the platform was asked for the state at `position` or a later one; infinite if it never was. */
    readonly proofAgeMs: number;
    /** Time from receiving the question until this reply. */
    readonly heldMs: number;
    /**
     * Time since an outage of the platform ended, as far as is known; infinite if there was none. Entries that are
     * missing soon after an outage may belong to servers that still run.
     */
    readonly sinceOutageMs: number;
    /** Configuration version that is active at this node; undefined if none is. */
    readonly configurationVersion: number | undefined;
}

/** One message. The sender of a request or of a question chooses its `number`; replies repeat it. */
export type LinkMessage =
    | {
        readonly kind: "request";
        readonly number: number;
        /** When the link got the request, on the receiver's monotonic clock; never later than the true time. */
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
    | {
        readonly kind: "ask-tokens";
        readonly number: number;
        readonly organisation: string;
        readonly wanted: number;
        /** Whether tokens of the reserve are asked for, because no holder of the quota can be reached. */
        readonly isReserve: boolean;
        /** Service of which retries are asked for; a node of an earlier version knows no such organisation as is named. */
        readonly retriesOf?: string;
    }
    | {
        readonly kind: "tokens";
        readonly number: number;
        readonly granted: number;
        /** Time after which the sender expects to have a token for a further request. */
        readonly nextTokenInMs: number;
        /** Whether the sender generates tokens of the organisation; undefined from nodes that do not say. */
        readonly isGenerating?: boolean;
    }
    | {
        readonly kind: "ask-state";
        readonly number: number;
        /** Position up to which the sender knows the state; undefined if it knows none. */
        readonly position: StatePosition | undefined;
        /** Time for which the receiver may wait for something newer. */
        readonly waitMs: number;
    }
    | { readonly kind: "published-state"; readonly number: number; readonly report: StateReport; }
    | { readonly kind: "quarantine"; readonly notice: QuarantineNotice; }
    | { readonly kind: "ping"; }
    | { readonly kind: "state"; readonly state: NodeState; };
