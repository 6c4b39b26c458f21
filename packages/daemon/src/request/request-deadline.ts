/**
 * Reads the deadline that a caller sets.
 */
import { RequestError } from "@radishrouter/core";
import { DEADLINE_HEADER } from "./header-names.js";

const deadlinePattern = /^[1-9][0-9]{0,8}$/;

/**
 * Milliseconds that a request has: the route's deadline, or a shorter one that the caller sets.
 *
 * @throws RequestError when the header is malformed.
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
 * Milliseconds that are left of a request that may have waited unread while the process was paused.
 *
 * @throws RequestError when none are left; the request was not run.
 */
export function requireTimeLeft(remainingMs: number, waitedMs: number): number {
    if (remainingMs <= waitedMs) {
        throw RequestError.create("deadline-too-near", { detail: "The deadline passed before the request was read." });
    }
    return remainingMs - waitedMs;
}
