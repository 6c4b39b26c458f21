/**
 * One request on its way to the local backend server, and the outcomes of those that are not sent to it.
 */
import type { ClosingReason, GateOutcome, GateTicket } from "../process/server-gate.js";
import type { SuspectTurn } from "../process/suspect-turns.js";
import { isServerError } from "../request/outcome.js";
import type { AttemptOutcome, AttemptTiming, UnknownReason } from "../request/outcome.js";
import type { Exchange } from "./http-exchange.js";

/** Time after which a caller may try again when the server failed to take its request. */
export const RETRY_AFTER_FAILURE_MS = 300;

/** The server belongs to another service: its host's address was used again. */
export const OTHER_SERVICE: AttemptOutcome = {
    kind: "not-run",
    reason: "other-service",
    reached: false,
    retryAfterMs: 0,
};

/** Timing of an attempt that did not enter the gate. */
export const NOT_SENT_TIMING: AttemptTiming = { gateMs: 0, serverMs: 0 };

/** No connection to the server could be opened. */
export const NOT_CONNECTED: AttemptOutcome = {
    kind: "not-run",
    reason: "not-connected",
    reached: false,
    retryAfterMs: RETRY_AFTER_FAILURE_MS,
};

/** The request was given up, or cannot be answered in time. */
export const NO_TIME_LEFT: AttemptOutcome = {
    kind: "not-run",
    reason: "no-time-left",
    reached: false,
    retryAfterMs: 0,
};

/** The request ends backend servers, or may do so. */
export const CRASH_REFUSALS: Readonly<Record<"quarantined" | "suspected", AttemptOutcome>> = {
    quarantined: { kind: "not-run", reason: "quarantined", reached: false, retryAfterMs: 0 },
    suspected: { kind: "not-run", reason: "suspected", reached: false, retryAfterMs: 0 },
};

/** The server gets no new requests. */
export const CLOSED_REFUSALS: Readonly<Record<ClosingReason, AttemptOutcome>> = {
    leaving: { kind: "not-run", reason: "leaving", reached: false, retryAfterMs: 0 },
    evacuated: { kind: "not-run", reason: "evacuated", reached: false, retryAfterMs: 0 },
};

/** The server turned out to be cold after the gate had admitted the request. */
export function toColdRefusal(retryAfterMs: number): AttemptOutcome {
    return { kind: "not-run", reason: "over-server-rate", reached: false, retryAfterMs };
}

/**
 * How a request ended for the gate. A request that was given up, or that reached its deadline, says nothing of the server:
 * it may have waited for the services that the server calls.
 */
export function toGateOutcome(outcome: AttemptOutcome, serviceMs: number): GateOutcome {
    switch (outcome.kind) {
        case "answered":
            return { kind: "answered", serviceMs, hasFailed: isServerError(outcome.response) };
        case "not-run":
            return { kind: "abandoned", hasFailed: outcome.reason === "refused-by-server" };
        case "unknown":
            return { kind: "abandoned", hasFailed: outcome.reason !== "caller-gone" && outcome.reason !== "timeout" };
    }
}

/** One request in the gate or at the backend server. */
export class ServerAttempt {
    exchange: Exchange | undefined;
    abortReason: UnknownReason | undefined;
    /** Its turn among the suspects; undefined if it is none. */
    turn: SuspectTurn | undefined;
    /** Its place in the gate; undefined while it waits for its turn. */
    ticket: GateTicket | undefined;
    /** Why the request was not sent, although the gate had admitted it. */
    lateRefusal: AttemptOutcome | undefined;
    /** Run of the server that the request was sent to. */
    serverRun = 0;
    /** Whether it was counted as a request to a cold server. */
    isCountedAsCold = false;
    /** Time at which the gate admitted the request; undefined before. */
    admittedAtMs: number | undefined;

    constructor(
        readonly enteredAtMs: number,
        readonly hasCallerDisconnected: () => boolean,
    ) {}

    /** Gives the request up, wherever it is. */
    abort(reason: UnknownReason): void {
        this.abortReason ??= reason;
        if (this.exchange) {
            this.exchange.abort(reason);
        }
        else {
            this.turn?.end();
            this.ticket?.end({ kind: "abandoned" });
        }
    }
}
