/**
 * Outcome of one attempt to run a request at one backend server.
 */
import type { ExchangeResponse } from "../connection/http-exchange.js";
import type { LoadExcess } from "../process/capacity-meter.js";
import type { GateRefusal } from "../process/server-gate.js";

/** Why a request was not run. */
export type NotRunReason =
    | GateRefusal
    /** The backend server refused the request and reported that it did not run it. */
    | "refused-by-server"
    /** Another instance of the backend server runs at the address. */
    | "other-instance"
    /** The backend server on the host belongs to another service. */
    | "other-service"
    /** No connection could be opened. */
    | "not-connected"
    /** The node on the server's host holds too many request bodies. */
    | "no-room"
    /** The request ends the backend servers that run it. */
    | "quarantined"
    /** The request may end backend servers, and is to run at another one, alone. */
    | "suspected";

/** Why it is unknown whether a request was run, or why its response cannot be used. */
export type UnknownReason =
    | "connection-lost"
    /** The connection was lost because the backend server ended. */
    | "server-ended"
    /** The same, while the request ran there as a suspect, and beside no other suspect. */
    | "server-ended-in-trial"
    | "answer-invalid"
    | "silent"
    | "timeout"
    | "caller-gone";

/** Result of one attempt, with what the node on the server's host reported. */
export interface AttemptResult {
    readonly outcome: AttemptOutcome;
    /** Fraction of the server's downstream calls that are refused for lack of capacity; undefined if not reported. */
    readonly onwardPressure: number | undefined;
    /** Fraction of its offered load that the server cannot take; undefined while it takes all, or if not reported. */
    readonly excess?: LoadExcess | undefined;
    /** Where the attempt spent its time; undefined when another node made it. */
    readonly timing: AttemptTiming | undefined;
}

/** Time that an attempt spent at the node on the server's host. */
export interface AttemptTiming {
    /** Time until the gate decided. */
    readonly gateMs: number;
    /** Time at the backend server; 0 when the request was not sent to it. */
    readonly serverMs: number;
}

/** Outcome of one attempt. */
export type AttemptOutcome = { readonly kind: "answered"; readonly response: ExchangeResponse; } | FailedOutcome;

/** Outcome of an attempt without a usable response. */
export type FailedOutcome =
    | {
        readonly kind: "not-run";
        readonly reason: NotRunReason;
        /** Whether the request reached the backend server. */
        readonly reached: boolean;
        readonly retryAfterMs: number;
    }
    | { readonly kind: "unknown"; readonly reason: UnknownReason; readonly detail: string; };

/** An attempt in flight. */
export interface Attempt {
    readonly result: Promise<AttemptResult>;
    /** Gives the attempt up. */
    abort(reason: UnknownReason): void;
}

/**
 * Whether a request was refused for lack of capacity. A refusal by the server itself does not count, because the gate
 * admits fewer requests at once than the server has slots.
 */
export function isCapacityRefusal(outcome: AttemptOutcome): boolean {
    return outcome.kind === "not-run" && CAPACITY_REASONS.has(outcome.reason);
}

const CAPACITY_REASONS: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
    "queue-too-long",
    "over-server-rate",
    "no-time-left",
    "not-connected",
    "server-down",
]);

/** Whether a response is an error of the backend server itself (status 500 or above). */
export function isServerError(response: ExchangeResponse): boolean {
    return response.status >= 500;
}
