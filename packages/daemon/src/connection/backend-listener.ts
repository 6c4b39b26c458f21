/**
 * Onward calls of the local backend server, made for a request in flight.
 */
import { RequestError } from "@radishrouter/core";
import type { BacklogMonitor, Clock, ConfigurationVersion } from "@radishrouter/core";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { HandleTable, RunningRequest } from "../process/handle-table.js";
import type { KeyedDispatcher } from "../process/keyed-dispatcher.js";
import type { Settings } from "../process/settings.js";
import { writeAnswer } from "../request/answer-writer.js";
import { DEADLINE_HEADER, HANDLE_HEADER } from "../request/header-names.js";
import { sendProblem, toRequestError } from "../request/problem-document.js";
import { readRequestBody } from "../request/request-body.js";
import type { RequestContext } from "../request/request-context.js";
import { readDeadlineMs, requireTimeLeft } from "../request/request-deadline.js";
import { createOnwardHeaders } from "../request/request-headers.js";
import { RequestLifetime } from "../request/request-lifetime.js";
import { hasBody } from "./caller-listener.js";
import { createHttpServer } from "./http-server.js";

/** Parts that the listener works with. */
export interface BackendListenerParts {
    readonly clock: Clock;
    readonly backlog: BacklogMonitor;
    readonly limits: Settings["limits"];
    readonly handles: HandleTable;
    readonly dispatcher: KeyedDispatcher;
    /** Whether the caller's deadline binds onward calls; otherwise each has that of its route, as a baseline. */
    readonly sharesDeadline: boolean;
    readonly version: () => ConfigurationVersion | undefined;
}

/** Creates the server for onward calls of the local backend server. */
export function createBackendServer(parts: BackendListenerParts): Server {
    return createHttpServer({}, parts.backlog, (request, response) => serve(parts, request, response));
}

async function serve(parts: BackendListenerParts, request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
        await run(parts, request, response, resolveParent(parts, request));
    }
    catch (error) {
        sendProblem(response, toRequestError(error));
    }
}

function resolveParent(parts: BackendListenerParts, request: IncomingMessage): RunningRequest {
    const handle = request.headers[HANDLE_HEADER];
    const parent = typeof handle === "string" ? parts.handles.resolve(handle) : undefined;
    if (!parent) {
        throw RequestError.create("handle-invalid");
    }
    return parent;
}

async function run(
    parts: BackendListenerParts,
    request: IncomingMessage,
    response: ServerResponse,
    running: RunningRequest,
): Promise<void> {
    const { context: parent, onwardTime } = running;
    const matched = parts.version()?.routes.find(request.method ?? "", request.url ?? "");
    if (!matched) {
        throw RequestError.create("route-unknown");
    }
    const allowedMs = readDeadlineMs(request.headers[DEADLINE_HEADER], matched.route.deadlineMs);
    const parentMs = parts.sharesDeadline ? parent.deadlineMs - parts.clock.nowMs() : Infinity;
    const remainingMs = requireTimeLeft(Math.min(allowedMs, parentMs), 0);
    const lifetime = RequestLifetime.create(parts.clock, response, remainingMs);
    const cancel = () => lifetime.abort(parent.signal.reason as RequestError);
    parent.signal.addEventListener("abort", cancel, { once: true });
    onwardTime.start();
    try {
        const context: RequestContext = {
            organisation: parent.organisation,
            importance: parent.importance,
            method: request.method!,
            target: request.url!,
            matched,
            headers: createOnwardHeaders(request.headers, undefined),
            deadlineMs: parts.clock.nowMs() + remainingMs,
            retryBudget: parent.retryBudget,
            isRepeat: parent.isRepeat,
            chainPressure: parent.chainPressure,
            signal: lifetime.signal,
        };
        const body = await readRequestBody(request, {
            hasBody: hasBody(request),
            replayBytes: parts.limits.replayBytes,
            maximumBytes: parts.limits.bodyBytes,
        });
        const answer = await parts.dispatcher.dispatch(context, body);
        await writeAnswer(response, answer, lifetime.signal);
    }
    finally {
        onwardTime.end();
        parent.signal.removeEventListener("abort", cancel);
        lifetime.end();
    }
}
