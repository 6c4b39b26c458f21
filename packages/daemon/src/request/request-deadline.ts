/**
 * Reads the deadline that a caller sets, and checks the time that is left of it.
 */
import { RequestError } from "@radishrouter/core";
import { DEADLINE_HEADER } from "./header-names.js";

const deadlinePattern = /^[1-9][0-9]{0,8}$/;

/**
 * Returns the deadline of a request in milliseconds: that of its route, or a shorter one that the caller sets.
 *
 * @throws RequestError when the header is not a positive whole number of at most nine digits.
 */
export function readDeadlineMs(header: string | string[] | undefined, routeDeadlineMs: number): number {
    if (header === undefined) {
        return routeDeadlineMs;
    }
    if (typeof header !== "string" || !deadlinePattern.test(header)) {
        throw RequestError.create("deadline-invalid", { detail: `${DEADLINE_HEADER}: use a positive whole number` });
    }
    return Math.min(routeDeadlineMs, Number(header));
}

/**
 * Returns the milliseconds that are left of a deadline after a wait, such as a pause of the process before it read the
 * request.
 *
 * @throws RequestError when no time is left; the request was not run.
 */
export function requireTimeLeft(remainingMs: number, waitedMs: number): number {
    if (remainingMs <= waitedMs) {
        throw RequestError.create("deadline-too-near", { detail: "The deadline passed before the request was read." });
    }
    return remainingMs - waitedMs;
}
