/**
 * What became of one send of a request to one backend server.
 */
import type { ExchangeResponse } from "../connection/http-exchange.js";
import type { GateRefusal } from "../process/server-gate.js";

/** Why a request has not run. */
export type NotRunReason =
    | GateRefusal
    /** The backend server refused it and said that it did not run it. */
    | "refused-by-server"
    /** Another start of the backend server has the address. */
    | "other-instance"
    /** The host has a backend server of another service. */
    | "other-service"
    /** No connection could be opened. */
    | "not-connected";

/** Why it is not known whether a request has run, or its answer cannot be used. */
export type UnknownReason =
    | "connection-lost"
    | "answer-invalid"
    | "silent"
    | "timeout"
    | "caller-gone";

/** Result of one send, and what the node beside the server told with it. */
export interface AttemptResult {
    readonly outcome: AttemptOutcome;
    /** Part of the server's onward calls that is refused for want of room; undefined when nothing was told. */
    readonly onwardPressure: number | undefined;
    /** Where the send spent its time; undefined when another node made it. */
    readonly timing: AttemptTiming | undefined;
}

/** Time that a send spent at the node beside the backend server. */
export interface AttemptTiming {
    /** Time until its gate decided. */
    readonly gateMs: number;
    /** Time at the backend server; 0 when it was not asked. */
    readonly serverMs: number;
}

/** What became of one send. */
export type AttemptOutcome = { readonly kind: "answered"; readonly response: ExchangeResponse; } | FailedOutcome;

/** End of a send without a usable answer. */
export type FailedOutcome =
    | {
        readonly kind: "not-run";
        readonly reason: NotRunReason;
        /** Whether the request reached the backend server. */
        readonly reached: boolean;
        readonly retryAfterMs: number;
    }
    | { readonly kind: "unknown"; readonly reason: UnknownReason; readonly detail: string; };

/** A send that runs. */
export interface Attempt {
    readonly result: Promise<AttemptResult>;
    /** Gives the send up. */
    abort(reason: UnknownReason): void;
}

/**
 * Whether a request was refused because there was no room for it. A refusal by the server itself is no such sign: the
 * gate keeps fewer requests open than the server has slots.
 */
export function isCapacityRefusal(outcome: AttemptOutcome): boolean {
    return outcome.kind === "not-run" && ROOM_REASONS.has(outcome.reason);
}

const ROOM_REASONS: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
    "queue-too-long",
    "no-time-left",
    "not-connected",
    "server-down",
]);

/** Whether an answer is a failure that the backend server made itself. */
export function isServerError(response: ExchangeResponse): boolean {
    return response.status >= 500;
}
