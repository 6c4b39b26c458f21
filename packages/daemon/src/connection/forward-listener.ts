/**
 * Listener for requests that other nodes forward to the backend server of this host.
 */
import { ChainPressure, formatAdmissionLevel, RequestError, RetryBudget, setRepeatingTimer } from "@radishrouter/core";
import type { BacklogMonitor, Clock, ConfigurationVersion, LocalLoad, PauseDetector } from "@radishrouter/core";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { BackendRunner } from "../process/backend-runner.js";
import type { DeploymentProof } from "../process/deployment-proof.js";
import type { DrainState } from "../process/drain-state.js";
import type { KeyedDispatcher } from "../process/keyed-dispatcher.js";
import { PROGRESS_INTERVAL_MS } from "../process/progress-monitor.js";
import type { Settings } from "../process/settings.js";
import { readForwardedHeaders } from "../request/forwarded-headers.js";
import type { ForwardedRequest } from "../request/forwarded-headers.js";
import { forwardHeaders, forwardResponseHeaders } from "../request/header-names.js";
import { sendProblem, toRequestError } from "../request/problem-document.js";
import { readRequestBody } from "../request/request-body.js";
import type { RequestContext } from "../request/request-context.js";
import { requireTimeLeft } from "../request/request-deadline.js";
import { filterRequestHeaders } from "../request/request-headers.js";
import { RequestLifetime } from "../request/request-lifetime.js";
import { writeResponse } from "../request/response-writer.js";
import { hasBody } from "./caller-listener.js";
import { createHttpServer } from "./http-server.js";

/** Dependencies of the listener. */
export interface ForwardListenerDependencies {
    readonly clock: Clock;
    readonly limits: Settings["limits"];
    readonly localService: string;
    readonly proof: DeploymentProof;
    readonly runner: BackendRunner;
    readonly dispatcher: KeyedDispatcher;
    readonly load: () => LocalLoad;
    readonly version: () => ConfigurationVersion | undefined;
    readonly drain: DrainState;
    readonly pauses: PauseDetector;
    readonly backlog: BacklogMonitor;
}

/** Creates the HTTP server for requests that other nodes forward. */
export function createForwardServer(dependencies: ForwardListenerDependencies): Server {
    return createHttpServer(
        { keepAliveTimeout: 60_000 },
        dependencies.backlog,
        (request, response) => serve(dependencies, request, response),
    );
}

async function serve(
    dependencies: ForwardListenerDependencies,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    try {
        authenticate(dependencies, request);
        await serveForwarded(dependencies, request, response, readForwardedHeaders(request.headers));
    }
    catch (error) {
        sendProblem(response, toRequestError(error), { [forwardHeaders.exchange]: exchangeIdOf(request) });
    }
}

async function serveForwarded(
    dependencies: ForwardListenerDependencies,
    request: IncomingMessage,
    response: ServerResponse,
    received: ForwardedRequest,
): Promise<void> {
    const remainingMs = requireTimeLeft(received.remainingMs, dependencies.pauses.waitedMs());
    const forwarded = { ...received, remainingMs };
    const retryBudget = RetryBudget.create(forwarded.retries);
    const lifetime = RequestLifetime.create(dependencies.clock, response, remainingMs);
    const progressTimer = setRepeatingTimer(dependencies.clock, PROGRESS_INTERVAL_MS, () => sendProgress(response));
    const chainPressure = ChainPressure.create();
    const createHeaders = (outcome: string) => ({
        [forwardHeaders.exchange]: exchangeIdOf(request),
        [forwardResponseHeaders.outcome]: outcome,
        // Retries that are reported as left are taken out of the budget, so that downstream calls that start after this
        // response cannot use them as well.
        [forwardResponseHeaders.retriesLeft]: String(retryBudget.takePart()),
        [forwardResponseHeaders.load]: JSON.stringify(dependencies.load()),
        [forwardResponseHeaders.downstreamDepth]: String(chainPressure.downstreamDepth),
        ...createAdmissionHeader(chainPressure),
        ...(dependencies.drain.stage === "running" ?
            {} :
            { [forwardResponseHeaders.draining]: "1", connection: "close" }),
    });
    try {
        const context = createContext(dependencies, request, forwarded, {
            retryBudget,
            chainPressure,
            signal: lifetime.signal,
        });
        const isKeyOwner = request.headers[forwardHeaders.keyOwner] !== undefined;
        const body = await readRequestBody(request, {
            hasBody: hasBody(request),
            replayBytes: dependencies.limits.replayBytes,
            maximumBytes: dependencies.limits.bodyBytes,
        });
        const backendResponse = isKeyOwner ?
            await dependencies.dispatcher.dispatchAsOwner(context, body) :
            await dependencies.runner.run(context, body);
        const headers = {
            ...createHeaders("answered"),
            [forwardResponseHeaders.waitedMs]: String(Math.round(backendResponse.waitedMs)),
        };
        await writeResponse(response, backendResponse, lifetime.signal, headers);
    }
    catch (error) {
        sendProblem(response, toRequestError(error), createHeaders("refused"));
    }
    finally {
        progressTimer.cancel();
        lifetime.end();
    }
}

function exchangeIdOf(request: IncomingMessage): string {
    return String(request.headers[forwardHeaders.exchange]);
}

/**
 * Sends an interim 102 response, which shows the sender that this node is working on its request. Without it the sender
 * could not tell a request that runs long from a connection that no longer transfers anything.
 */
function sendProgress(response: ServerResponse): void {
    if (!response.headersSent && !response.destroyed) {
        response.writeProcessing();
    }
}

/** Creates the header with the highest admission level that the request met; empty when no service reported one. */
function createAdmissionHeader(chainPressure: ChainPressure): Record<string, string> {
    const level = chainPressure.highest;
    return level ? { [forwardResponseHeaders.admission]: formatAdmissionLevel(level) } : {};
}

/**
 * Checks that a request comes from a node of this deployment.
 *
 * @throws RequestError when the sender does not prove this.
 */
function authenticate(dependencies: ForwardListenerDependencies, request: IncomingMessage): void {
    const sender = request.headers[forwardHeaders.sender];
    const proof = request.headers[forwardHeaders.proof];
    const isPeer = typeof sender === "string" && typeof proof === "string" &&
        dependencies.proof.verify(sender, Buffer.from(proof, "hex"));
    if (!isPeer) {
        throw RequestError.create("peer-not-authenticated");
    }
}

/**
 * Creates the context of a forwarded request.
 *
 * @throws RequestError when this node is stopping, has no configuration yet, or is not responsible for the request.
 */
function createContext(
    dependencies: ForwardListenerDependencies,
    request: IncomingMessage,
    forwarded: ForwardedRequest,
    shared: Pick<RequestContext, "retryBudget" | "chainPressure" | "signal">,
): RequestContext {
    const version = dependencies.version();
    if (dependencies.drain.stage === "stopping") {
        throw RequestError.create("node-stopping");
    }
    if (!version) {
        throw RequestError.create("configuration-missing");
    }
    const matched = version.routes.find(request.method ?? "", request.url ?? "");
    const isLocalService = matched?.serviceName === dependencies.localService;
    if (!matched || !(isLocalService || request.headers[forwardHeaders.keyOwner] !== undefined)) {
        throw RequestError.create("no-backend-server", { detail: "This host does not run the service." });
    }
    return {
        organisation: forwarded.organisation,
        importance: forwarded.importance,
        method: request.method!,
        target: request.url!,
        matched,
        headers: filterRequestHeaders(request.headers, undefined),
        deadlineMs: dependencies.clock.nowMs() + forwarded.remainingMs,
        isRepeat: forwarded.isRepeat,
        ...shared,
    };
}
