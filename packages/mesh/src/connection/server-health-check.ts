/**
 * Sends health checks to the local backend server, over the connections of its requests.
 */
import type { Clock } from "@radishrouter/core";
import type { HealthCheckResult } from "../process/cold-server.js";
import type { ExchangePool, HeaderList } from "./http-exchange.js";

/** Collaborators of a health check. */
export interface HealthCheckContext {
    readonly clock: Clock;
    readonly pool: ExchangePool;
    /** Value of the `Host` header. */
    readonly authority: string;
    /** Reads for how long the server is cold, in ms; undefined if the response does not state it. */
    readonly decodeColdMs: (headers: Pick<HeaderList, "get">) => number | undefined;
}

/** Longest time for a health check, including the wait for a connection. */
const HEALTH_CHECK_TIMEOUT_MS = 1_000;
const FIRST_FAILURE_STATUS = 300;

/** Sends one health check; `mayWrite` is asked just before it is written. */
export async function checkServerHealth(
    { clock, pool, authority, decodeColdMs }: HealthCheckContext,
    path: string,
    mayWrite: () => boolean,
): Promise<HealthCheckResult> {
    const request = { method: "GET", path, headers: ["host", authority], body: undefined };
    const exchange = pool.start(request, mayWrite);
    const timer = clock.setTimer(HEALTH_CHECK_TIMEOUT_MS, () => exchange.abort("no answer in time"));
    const result = await exchange.result;
    timer.cancel();
    if (result.kind === "failed") {
        return { kind: "failed", reason: result.reason };
    }
    const { status, headers } = result.response;
    return status < FIRST_FAILURE_STATUS ?
        { kind: "answered", coldMs: decodeColdMs(headers) } :
        { kind: "failed", reason: `status ${status}` };
}
