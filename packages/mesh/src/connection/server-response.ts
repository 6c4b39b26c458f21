/**
 * Takes from the response of the local backend server whether the request ran, and whether the response can be used.
 */
import type { HeaderNames } from "../request/header-names.js";
import type { AttemptOutcome } from "../request/outcome.js";
import type { ExchangeResponse } from "./http-exchange.js";
import { RETRY_AFTER_FAILURE_MS } from "./server-attempt.js";

const MISDIRECTED_STATUS = 421;

/** Accepts only responses that repeat the request's id, carry the server's mark and have no content encoding. */
export function toServerOutcome(id: string, response: ExchangeResponse, headerNames: HeaderNames): AttemptOutcome {
    const { headers, status } = response;
    if (headers.get(headerNames.attemptId) !== id && id !== "") {
        return { kind: "unknown", reason: "answer-invalid", detail: "the answer names another request" };
    }
    if (headers.get("content-encoding") !== undefined) {
        return { kind: "unknown", reason: "answer-invalid", detail: "the answer is encoded" };
    }
    if (status === MISDIRECTED_STATUS) {
        return { kind: "not-run", reason: "other-instance", reached: true, retryAfterMs: RETRY_AFTER_FAILURE_MS };
    }
    if (headers.get(headerNames.notRun) !== undefined) {
        return { kind: "not-run", reason: "refused-by-server", reached: true, retryAfterMs: RETRY_AFTER_FAILURE_MS };
    }
    if (headers.get(headerNames.signature) === undefined) {
        return { kind: "unknown", reason: "answer-invalid", detail: "the answer bears no mark of the server" };
    }
    return { kind: "answered", response };
}

/** Whether a response is valid and comes from the instance that the request was for. */
export function isFromExpectedInstance(outcome: AttemptOutcome): boolean {
    switch (outcome.kind) {
        case "answered":
            return true;
        case "not-run":
            return outcome.reason === "refused-by-server";
        case "unknown":
            return false;
    }
}
