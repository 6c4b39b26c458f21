/**
 * Runs requests on the backend server of this host.
 */
import type { Clock, ConcurrencyLimiter, Permit, RunOutcome } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";
import type { Pool } from "undici";
import { HANDLE_HEADER } from "../request/header-names.js";
import { bodyContent } from "../request/request-body.js";
import type { RequestBody } from "../request/request-body.js";
import type { Answer, RequestContext } from "../request/request-context.js";
import { createReturnHeaders } from "../request/request-headers.js";
import type { HandleTable } from "./handle-table.js";
import { createConnectionError } from "./http-pools.js";

/** Parts that a runner works with. */
export interface BackendRunnerParts {
    readonly clock: Clock;
    readonly limiter: ConcurrencyLimiter;
    readonly handles: HandleTable;
    readonly pool: Pool;
}

/** Sends requests to the local backend server within its concurrency limit. */
export class BackendRunner {
    private constructor(private readonly parts: BackendRunnerParts) {}

    static create(parts: BackendRunnerParts): BackendRunner {
        return new BackendRunner(parts);
    }

    /**
     * Runs a request and resolves when the headers of the answer are there.
     *
     * @throws RequestError when the request was shed or its outcome is unknown.
     */
    async run(context: RequestContext, body: RequestBody): Promise<Answer> {
        const permit = await this.parts.limiter.acquire(context);
        const handle = this.parts.handles.issue(context);
        const end = (outcome: RunOutcome) => {
            this.parts.handles.revoke(handle);
            permit.release(outcome);
        };
        try {
            return await this.send(context, body, handle, permit, end);
        }
        catch (error) {
            const failure = this.classify(context, error);
            end(failure.result.name === "deadline-exceeded" ? "timed-out" : "failed");
            throw failure;
        }
    }

    private async send(
        context: RequestContext,
        body: RequestBody,
        handle: string,
        permit: Permit,
        end: (outcome: RunOutcome) => void,
    ): Promise<Answer> {
        context.signal.throwIfAborted();
        const response = await this.parts.pool.request({
            method: context.method as "GET",
            path: context.matched.backendPath,
            headers: { ...context.headers, [HANDLE_HEADER]: handle },
            body: bodyContent(body),
            signal: context.signal,
        });
        response.body.once("close", () => end(response.body.errored ? "failed" : "completed"));
        return {
            status: response.statusCode,
            headers: createReturnHeaders(response.headers),
            body: response.body,
            waitedMs: permit.waitedMs,
        };
    }

    private classify(context: RequestContext, error: unknown): RequestError {
        if (context.signal.aborted && context.signal.reason instanceof RequestError) {
            return context.signal.reason;
        }
        return createConnectionError(error, "backend-connection-lost");
    }
}
