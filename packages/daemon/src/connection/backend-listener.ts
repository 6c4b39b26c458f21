/**
 * Listener for downstream calls: calls that the local backend server makes while it serves a request.
 */
import { RequestError } from "@radishrouter/core";
import type { BacklogMonitor, Clock, ConfigurationVersion } from "@radishrouter/core";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { HandleTable, RunningRequest } from "../process/handle-table.js";
import type { KeyedDispatcher } from "../process/keyed-dispatcher.js";
import type { Settings } from "../process/settings.js";
import { DEADLINE_HEADER, HANDLE_HEADER } from "../request/header-names.js";
import { sendProblem, toRequestError } from "../request/problem-document.js";
import { readRequestBody } from "../request/request-body.js";
import type { RequestContext } from "../request/request-context.js";
import { readDeadlineMs, requireTimeLeft } from "../request/request-deadline.js";
import { filterRequestHeaders } from "../request/request-headers.js";
import { RequestLifetime } from "../request/request-lifetime.js";
import { writeResponse } from "../request/response-writer.js";
import { hasBody } from "./caller-listener.js";
import { createHttpServer } from "./http-server.js";

/** Dependencies of the listener. */
export interface BackendListenerDependencies {
    readonly clock: Clock;
    readonly backlog: BacklogMonitor;
    readonly limits: Settings["limits"];
    readonly handles: HandleTable;
    readonly dispatcher: KeyedDispatcher;
    /**
     * Whether a downstream call must end by the deadline of the request that it is made for. When false, which serves
     * as a baseline for comparison, only the deadline of its route applies.
     */
    readonly sharesDeadline: boolean;
    readonly version: () => ConfigurationVersion | undefined;
}

/** Creates the HTTP server for downstream calls of the local backend server. */
export function createDownstreamCallServer(dependencies: BackendListenerDependencies): Server {
    return createHttpServer({}, dependencies.backlog, (request, response) => serve(dependencies, request, response));
}

async function serve(
    dependencies: BackendListenerDependencies,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    try {
        await runDownstreamCall(dependencies, request, response, requireParentRequest(dependencies, request));
    }
    catch (error) {
        sendProblem(response, toRequestError(error));
    }
}

/**
 * Finds the request for which a downstream call is made, by its handle.
 *
 * @throws RequestError when the handle is missing or belongs to no request in flight.
 */
function requireParentRequest(dependencies: BackendListenerDependencies, request: IncomingMessage): RunningRequest {
    const handle = request.headers[HANDLE_HEADER];
    const parent = typeof handle === "string" ? dependencies.handles.resolve(handle) : undefined;
    if (!parent) {
        throw RequestError.create("handle-invalid");
    }
    return parent;
}

async function runDownstreamCall(
    dependencies: BackendListenerDependencies,
    request: IncomingMessage,
    response: ServerResponse,
    parentRequest: RunningRequest,
): Promise<void> {
    const { context: parent, downstreamTime } = parentRequest;
    const matched = dependencies.version()?.routes.find(request.method ?? "", request.url ?? "");
    if (!matched) {
        throw RequestError.create("route-unknown");
    }
    const allowedMs = readDeadlineMs(request.headers[DEADLINE_HEADER], matched.route.deadlineMs);
    const parentMs = dependencies.sharesDeadline ? parent.deadlineMs - dependencies.clock.nowMs() : Infinity;
    const remainingMs = requireTimeLeft(Math.min(allowedMs, parentMs), 0);
    const lifetime = RequestLifetime.create(dependencies.clock, response, remainingMs);
    const abortWithParent = () => lifetime.abort(parent.signal.reason as RequestError);
    parent.signal.addEventListener("abort", abortWithParent, { once: true });
    downstreamTime.start();
    try {
        const context: RequestContext = {
            organisation: parent.organisation,
            importance: parent.importance,
            method: request.method!,
            target: request.url!,
            matched,
            headers: filterRequestHeaders(request.headers, undefined),
            deadlineMs: dependencies.clock.nowMs() + remainingMs,
            retryBudget: parent.retryBudget,
            isRepeat: parent.isRepeat,
            chainPressure: parent.chainPressure,
            signal: lifetime.signal,
        };
        const body = await readRequestBody(request, {
            hasBody: hasBody(request),
            replayBytes: dependencies.limits.replayBytes,
            maximumBytes: dependencies.limits.bodyBytes,
        });
        const backendResponse = await dependencies.dispatcher.dispatch(context, body);
        await writeResponse(response, backendResponse, lifetime.signal);
    }
    finally {
        downstreamTime.end();
        parent.signal.removeEventListener("abort", abortWithParent);
        lifetime.end();
    }
}
