/**
 * Requests that other nodes forward to the backend server of this host.
 */
import { ChainPressure, formatAdmissionLevel, RequestError, RetryBudget, setRepeatingTimer } from "@radishrouter/core";
import type { BacklogMonitor, Clock, ConfigurationVersion, LocalLoad, PauseDetector } from "@radishrouter/core";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { BackendRunner } from "../process/backend-runner.js";
import type { DeploymentProof } from "../process/deployment-proof.js";
import type { DrainState } from "../process/drain-state.js";
import type { KeyedDispatcher } from "../process/keyed-dispatcher.js";
import type { Settings } from "../process/settings.js";
import { PROGRESS_INTERVAL_MS } from "../process/silence-watch.js";
import { writeAnswer } from "../request/answer-writer.js";
import { readForwardedHeaders } from "../request/forwarded-headers.js";
import type { ForwardedRequest } from "../request/forwarded-headers.js";
import { answerHeaders, forwardHeaders } from "../request/header-names.js";
import { sendProblem, toRequestError } from "../request/problem-document.js";
import { readRequestBody } from "../request/request-body.js";
import type { RequestContext } from "../request/request-context.js";
import { requireTimeLeft } from "../request/request-deadline.js";
import { createOnwardHeaders } from "../request/request-headers.js";
import { RequestLifetime } from "../request/request-lifetime.js";
import { hasBody } from "./caller-listener.js";
import { createHttpServer } from "./http-server.js";

/** Parts that the listener works with. */
export interface ForwardListenerParts {
    readonly clock: Clock;
    readonly limits: Settings["limits"];
    readonly ownService: string;
    readonly proof: DeploymentProof;
    readonly runner: BackendRunner;
    readonly dispatcher: KeyedDispatcher;
    readonly load: () => LocalLoad;
    readonly version: () => ConfigurationVersion | undefined;
    readonly drain: DrainState;
    readonly pauses: PauseDetector;
    readonly backlog: BacklogMonitor;
}

/** Creates the server for requests that other nodes forward. */
export function createForwardServer(parts: ForwardListenerParts): Server {
    return createHttpServer(
        { keepAliveTimeout: 60_000 },
        parts.backlog,
        (request, response) => serve(parts, request, response),
    );
}

async function serve(parts: ForwardListenerParts, request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
        authenticate(parts, request);
        await serveForwarded(parts, request, response, readForwardedHeaders(request.headers));
    }
    catch (error) {
        sendProblem(response, toRequestError(error), { [forwardHeaders.exchange]: exchangeOf(request) });
    }
}

async function serveForwarded(
    parts: ForwardListenerParts,
    request: IncomingMessage,
    response: ServerResponse,
    sent: ForwardedRequest,
): Promise<void> {
    const remainingMs = requireTimeLeft(sent.remainingMs, parts.pauses.waitedMs());
    const forwarded = { ...sent, remainingMs };
    const retryBudget = RetryBudget.create(forwarded.retries);
    const lifetime = RequestLifetime.create(parts.clock, response, remainingMs);
    const progress = setRepeatingTimer(parts.clock, PROGRESS_INTERVAL_MS, () => showProgress(response));
    const chainPressure = ChainPressure.create();
    const answerWith = (outcome: string) => ({
        [forwardHeaders.exchange]: exchangeOf(request),
        [answerHeaders.outcome]: outcome,
        // What is told to be left is taken out, so that onward calls after this answer cannot use it as well.
        [answerHeaders.retriesLeft]: String(retryBudget.takePart()),
        [answerHeaders.load]: JSON.stringify(parts.load()),
        [answerHeaders.callsBelow]: String(chainPressure.downstreamDepth),
        ...describePressure(chainPressure),
        ...(parts.drain.stage === "running" ? {} : { [answerHeaders.draining]: "1", connection: "close" }),
    });
    try {
        const context = createContext(parts, request, forwarded, {
            retryBudget,
            chainPressure,
            signal: lifetime.signal,
        });
        const isKeyOwner = request.headers[forwardHeaders.keyOwner] !== undefined;
        const body = await readRequestBody(request, {
            hasBody: hasBody(request),
            replayBytes: parts.limits.replayBytes,
            maximumBytes: parts.limits.bodyBytes,
        });
        const answer = isKeyOwner ?
            await parts.dispatcher.dispatchOwned(context, body) :
            await parts.runner.run(context, body);
        const headers = { ...answerWith("answered"), [answerHeaders.waitedMs]: String(Math.round(answer.waitedMs)) };
        await writeAnswer(response, answer, lifetime.signal, headers);
    }
    catch (error) {
        sendProblem(response, toRequestError(error), answerWith("refused"));
    }
    finally {
        progress.cancel();
        lifetime.end();
    }
}

function exchangeOf(request: IncomingMessage): string {
    return String(request.headers[forwardHeaders.exchange]);
}

/** Shows the sender, which cannot tell a silent connection from a long run, that this node works on its request. */
function showProgress(response: ServerResponse): void {
    if (!response.headersSent && !response.destroyed) {
        response.writeProcessing();
    }
}

function describePressure(chainPressure: ChainPressure): Record<string, string> {
    const level = chainPressure.highest;
    return level ? { [answerHeaders.admission]: formatAdmissionLevel(level) } : {};
}

function authenticate(parts: ForwardListenerParts, request: IncomingMessage): void {
    const sender = request.headers[forwardHeaders.sender];
    const proof = request.headers[forwardHeaders.proof];
    const isPeer = typeof sender === "string" && typeof proof === "string" &&
        parts.proof.verify(sender, Buffer.from(proof, "hex"));
    if (!isPeer) {
        throw RequestError.create("peer-not-authenticated");
    }
}

function createContext(
    parts: ForwardListenerParts,
    request: IncomingMessage,
    forwarded: ForwardedRequest,
    shared: Pick<RequestContext, "retryBudget" | "chainPressure" | "signal">,
): RequestContext {
    const version = parts.version();
    if (parts.drain.stage === "stopping") {
        throw RequestError.create("node-stopping");
    }
    if (!version) {
        throw RequestError.create("configuration-missing");
    }
    const matched = version.routes.find(request.method ?? "", request.url ?? "");
    const isOwnService = matched?.serviceName === parts.ownService;
    if (!matched || !(isOwnService || request.headers[forwardHeaders.keyOwner] !== undefined)) {
        throw RequestError.create("no-backend-server", { detail: "This host does not run the service." });
    }
    return {
        organisation: forwarded.organisation,
        importance: forwarded.importance,
        method: request.method!,
        target: request.url!,
        matched,
        headers: createOnwardHeaders(request.headers, undefined),
        deadlineMs: parts.clock.nowMs() + forwarded.remainingMs,
        isRepeat: forwarded.isRepeat,
        ...shared,
    };
}
