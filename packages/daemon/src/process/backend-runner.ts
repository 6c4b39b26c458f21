/**
 * Runs requests on the backend server of this host.
 */
import type { Clock, ConcurrencyLimiter, LoadBalancer, Permit, RunOutcome } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";
import type { Dispatcher } from "undici";
import { HANDLE_HEADER } from "../request/header-names.js";
import { OnwardTime } from "../request/onward-time.js";
import { toRequestError } from "../request/problem-document.js";
import { bodyContent, pauseWhileSending } from "../request/request-body.js";
import type { RequestBody } from "../request/request-body.js";
import { routeNameOf } from "../request/request-context.js";
import type { Answer, RequestContext } from "../request/request-context.js";
import { requireTimeLeft } from "../request/request-deadline.js";
import { createReturnHeaders } from "../request/request-headers.js";
import type { BackendSilence } from "./backend-silence.js";
import type { CrashWatch, WatchedRun } from "./crash-watch.js";
import type { HandleTable } from "./handle-table.js";
import { createConnectionError } from "./http-pools.js";
import type { ServerConnections } from "./server-connections.js";

/** Parts that a runner works with. */
export interface BackendRunnerParts {
    readonly clock: Clock;
    readonly ownService: string;
    readonly limiter: ConcurrencyLimiter;
    readonly handles: HandleTable;
    readonly connections: ServerConnections;
    readonly silence: BackendSilence;
    readonly balancer: LoadBalancer;
    readonly ownName: string;
    readonly crashes: CrashWatch;
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
        this.refuseIfUnresponsive(context);
        const watched = await this.parts.crashes.admit(context, body);
        try {
            return await this.runAdmitted(context, body, watched);
        }
        catch (error) {
            const failure = toRequestError(error);
            if (failure.result.name === "backend-connection-lost") {
                await watched.lost();
            }
            else {
                watched.ended();
            }
            throw failure;
        }
    }

    private async runAdmitted(context: RequestContext, body: RequestBody, watched: WatchedRun): Promise<Answer> {
        const permit = await this.acquire(context);
        const open = this.parts.balancer.start(this.parts.ownName);
        pauseWhileSending(open, body);
        const onwardTime = OnwardTime.create(this.parts.clock, open);
        const handle = this.parts.handles.issue({ context, onwardTime });
        const end = (outcome: RunOutcome) => {
            this.parts.handles.revoke(handle);
            permit.release(outcome, onwardTime.totalMs);
            open.end(outcome === "completed" ? { kind: "answered" } : { kind: "abandoned" });
        };
        try {
            const answer = await this.send(context, body, handle, permit, end);
            answer.body.once("close", () => answer.body.errored ? void watched.lost() : watched.completed());
            return answer;
        }
        catch (error) {
            const failure = this.classify(context, error);
            end(failure.result.name === "deadline-exceeded" ? "timed-out" : "failed");
            throw failure;
        }
    }

    /** Refuses while the backend server hangs, so that senders learn at once to go elsewhere. */
    private refuseIfUnresponsive(context: RequestContext): void {
        const { balancer, ownName } = this.parts;
        const isProbe = context.matched.route.idempotent && balancer.isProbeDue(ownName);
        if (balancer.isUnresponsive(ownName) && !isProbe) {
            throw RequestError.create("no-backend-server", { detail: "The backend server does not answer." });
        }
    }

    /** Waits for a permit and records how hard it was to get. */
    private async acquire(context: RequestContext): Promise<Permit> {
        const { limiter, ownService } = this.parts;
        const { organisation, importance, deadlineMs, signal, matched, chainPressure } = context;
        try {
            const routeName = routeNameOf(matched);
            const onShed = (usedPart: number) => chainPressure.observe({ service: ownService, pressure: 1 + usedPart });
            const request = { organisation, importance, deadlineMs, signal, routeName, onShed };
            const permit = await limiter.acquire(request);
            chainPressure.observe({ service: ownService, pressure: permit.pressure });
            return permit;
        }
        catch (error) {
            chainPressure.observe({ service: ownService, pressure: limiter.occupancy() });
            throw error;
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
        const response = await this.exchange(context, body, handle);
        response.body.once("close", () => end(response.body.errored ? "failed" : "completed"));
        return {
            status: response.statusCode,
            headers: createReturnHeaders(response.headers),
            body: response.body,
            waitedMs: permit.waitedMs,
        };
    }

    private async exchange(
        context: RequestContext,
        body: RequestBody,
        handle: string,
    ): Promise<Dispatcher.ResponseData> {
        const { connections, silence } = this.parts;
        const { route, serviceName } = context.matched;
        requireTimeLeft(context.deadlineMs, this.parts.clock.nowMs());
        const silent = new AbortController();
        const waiting = silence.start(`${serviceName} ${route.method} ${route.path}`, () => {
            if (route.idempotent) {
                silent.abort(RequestError.create("backend-connection-lost", { detail: "The connection went silent." }));
            }
        });
        try {
            const response = await connections.poolFor(route.idempotent).request({
                method: context.method as "GET",
                path: context.matched.backendPath,
                headers: { ...context.headers, [HANDLE_HEADER]: handle },
                body: bodyContent(body),
                signal: AbortSignal.any([context.signal, silent.signal]),
            });
            waiting.end("answered");
            requireFraming(context, response);
            return response;
        }
        finally {
            waiting.end("failed");
        }
    }

    private classify(context: RequestContext, error: unknown): RequestError {
        if (context.signal.aborted && context.signal.reason instanceof RequestError) {
            return context.signal.reason;
        }
        return createConnectionError(error, "backend-connection-lost");
    }
}

const BODILESS_STATUSES = new Set([204, 304]);

/**
 * Checks that the end of an answer can be told from a lost connection.
 *
 * @throws RequestError when the answer would end with its connection.
 */
function requireFraming(context: RequestContext, response: Dispatcher.ResponseData): void {
    const { headers, statusCode } = response;
    const isFramed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    if (!isFramed && context.method !== "HEAD" && !BODILESS_STATUSES.has(statusCode)) {
        response.body.on("error", () => undefined).destroy();
        throw RequestError.create("answer-truncated", {
            detail: "The backend server gave neither a length nor chunks, so that a whole answer cannot be told.",
        });
    }
}
