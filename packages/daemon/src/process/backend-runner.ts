/**
 * Runs requests on the backend server of this host.
 */
import type { Clock, ConcurrencyLimiter, LoadBalancer, Permit, RunOutcome } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";
import type { Dispatcher } from "undici";
import { DownstreamTime } from "../request/downstream-time.js";
import { HANDLE_HEADER } from "../request/header-names.js";
import { toRequestError } from "../request/problem-document.js";
import { excludeUploadTime, toHttpClientBody } from "../request/request-body.js";
import type { RequestBody } from "../request/request-body.js";
import { routeNameOf } from "../request/request-context.js";
import type { BackendResponse, RequestContext } from "../request/request-context.js";
import { requireTimeLeft } from "../request/request-deadline.js";
import { filterResponseHeaders } from "../request/request-headers.js";
import type { CrashDetector, MonitoredRun } from "./crash-detector.js";
import type { HandleTable } from "./handle-table.js";
import { createConnectionError } from "./http-pools.js";
import type { ServerConnections } from "./server-connections.js";
import type { UnresponsiveConnectionDetector } from "./unresponsive-connection-detector.js";

/** Collaborators and identity of a runner. */
export interface BackendRunnerDependencies {
    readonly clock: Clock;
    readonly localService: string;
    readonly limiter: ConcurrencyLimiter;
    readonly handles: HandleTable;
    readonly connections: ServerConnections;
    readonly silence: UnresponsiveConnectionDetector;
    readonly balancer: LoadBalancer;
    readonly localHostName: string;
    readonly crashDetector: CrashDetector;
}

/** Sends requests to the local backend server within its concurrency limit. */
export class BackendRunner {
    private constructor(private readonly dependencies: BackendRunnerDependencies) {}

    static create(dependencies: BackendRunnerDependencies): BackendRunner {
        return new BackendRunner(dependencies);
    }

    /**
     * Runs a request and resolves when the response headers have arrived.
     *
     * @throws RequestError when the request was shed or its outcome is unknown.
     */
    async run(context: RequestContext, body: RequestBody): Promise<BackendResponse> {
        this.rejectIfUnresponsive(context);
        const monitored = await this.dependencies.crashDetector.admit(context, body);
        try {
            return await this.runAdmitted(context, body, monitored);
        }
        catch (error) {
            const failure = toRequestError(error);
            if (failure.result.name === "backend-connection-lost") {
                await monitored.lost();
            }
            else {
                monitored.ended();
            }
            throw failure;
        }
    }

    private async runAdmitted(
        context: RequestContext,
        body: RequestBody,
        monitored: MonitoredRun,
    ): Promise<BackendResponse> {
        const permit = await this.acquire(context);
        const pendingAttempt = this.dependencies.balancer.start(this.dependencies.localHostName);
        excludeUploadTime(pendingAttempt, body);
        const downstreamTime = DownstreamTime.create(this.dependencies.clock, pendingAttempt);
        const handle = this.dependencies.handles.issue({ context, downstreamTime });
        const end = (outcome: RunOutcome) => {
            this.dependencies.handles.revoke(handle);
            permit.release(outcome, downstreamTime.totalMs);
            pendingAttempt.end(outcome === "completed" ? { kind: "answered" } : { kind: "abandoned" });
        };
        try {
            const response = await this.send(context, body, handle, permit, end);
            response.body.once("close", () => response.body.errored ? void monitored.lost() : monitored.completed());
            return response;
        }
        catch (error) {
            const failure = this.toRequestFailure(context, error);
            end(failure.result.name === "deadline-exceeded" ? "timed-out" : "failed");
            throw failure;
        }
    }

    /** Rejects requests while the backend server is unresponsive, so that senders choose another server at once. */
    private rejectIfUnresponsive(context: RequestContext): void {
        const { balancer, localHostName } = this.dependencies;
        const isProbe = context.matched.route.idempotent && balancer.isProbeDue(localHostName);
        if (balancer.isUnresponsive(localHostName) && !isProbe) {
            throw RequestError.create("no-backend-server", { detail: "The backend server does not answer." });
        }
    }

    /** Waits for a permit of the concurrency limiter and records the admission pressure that the request met. */
    private async acquire(context: RequestContext): Promise<Permit> {
        const { limiter, localService } = this.dependencies;
        const { organisation, importance, deadlineMs, signal, matched, chainPressure } = context;
        try {
            const routeName = routeNameOf(matched);
            const onShed = (usedFraction: number) =>
                chainPressure.observe({ service: localService, pressure: 1 + usedFraction });
            const request = { organisation, importance, deadlineMs, signal, routeName, onShed };
            const permit = await limiter.acquire(request);
            chainPressure.observe({ service: localService, pressure: permit.pressure });
            return permit;
        }
        catch (error) {
            chainPressure.observe({ service: localService, pressure: limiter.occupancy() });
            throw error;
        }
    }

    private async send(
        context: RequestContext,
        body: RequestBody,
        handle: string,
        permit: Permit,
        end: (outcome: RunOutcome) => void,
    ): Promise<BackendResponse> {
        context.signal.throwIfAborted();
        const response = await this.exchange(context, body, handle);
        response.body.once("close", () => end(response.body.errored ? "failed" : "completed"));
        return {
            status: response.statusCode,
            headers: filterResponseHeaders(response.headers),
            body: response.body,
            waitedMs: permit.waitedMs,
        };
    }

    private async exchange(
        context: RequestContext,
        body: RequestBody,
        handle: string,
    ): Promise<Dispatcher.ResponseData> {
        const { connections, silence } = this.dependencies;
        const { route, serviceName } = context.matched;
        requireTimeLeft(context.deadlineMs, this.dependencies.clock.nowMs());
        const unresponsive = new AbortController();
        const pendingExchange = silence.start(`${serviceName} ${route.method} ${route.path}`, () => {
            if (route.idempotent) {
                unresponsive.abort(
                    RequestError.create("backend-connection-lost", { detail: "The connection went silent." }),
                );
            }
        });
        try {
            const response = await connections.poolFor(route.idempotent).request({
                method: context.method as "GET",
                path: context.matched.backendPath,
                headers: { ...context.headers, [HANDLE_HEADER]: handle },
                body: toHttpClientBody(body),
                signal: AbortSignal.any([context.signal, unresponsive.signal]),
            });
            pendingExchange.end("answered");
            requireFramedBody(context, response);
            return response;
        }
        finally {
            pendingExchange.end("failed");
        }
    }

    private toRequestFailure(context: RequestContext, error: unknown): RequestError {
        if (context.signal.aborted && context.signal.reason instanceof RequestError) {
            return context.signal.reason;
        }
        return createConnectionError(error, "backend-connection-lost");
    }
}

const BODILESS_STATUSES = new Set([204, 304]);

/**
 * Checks that a response has a content length or transfer encoding; without one, a lost connection would look like the
 * end of the body.
 *
 * @throws RequestError when only the end of the connection would mark the end of the response.
 */
function requireFramedBody(context: RequestContext, response: Dispatcher.ResponseData): void {
    const { headers, statusCode } = response;
    const isFramed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    if (!isFramed && context.method !== "HEAD" && !BODILESS_STATUSES.has(statusCode)) {
        response.body.on("error", () => undefined).destroy();
        throw RequestError.create("answer-truncated", {
            detail: "The backend server gave neither a length nor chunks, so that a whole answer cannot be told.",
        });
    }
}
