/**
 * Forwards requests to nodes of other hosts.
 */
import type { AttemptOutcome, Clock, Host, LocalLoad, ResultName } from "@radishrouter/core";
import { nodeStatusSchema, parseAdmissionLevel, RequestError, resultNameOf } from "@radishrouter/core";
import { randomBytes } from "node:crypto";
import type { Dispatcher } from "undici";
import { answerHeaders, forwardHeaders } from "../request/header-names.js";
import { problemDocumentSchema } from "../request/problem-document.js";
import { bodyContent } from "../request/request-body.js";
import type { RequestBody } from "../request/request-body.js";
import type { Answer, RequestContext } from "../request/request-context.js";
import { createReturnHeaders } from "../request/request-headers.js";
import type { DeploymentProof } from "./deployment-proof.js";
import { createConnectionError } from "./http-pools.js";
import { ServerConnections } from "./server-connections.js";
import { SilenceWatch } from "./silence-watch.js";

const CONNECTIONS_PER_PEER = 256;
const CALLS_BELOW_AT_MOST = 32;
const loadSchema = nodeStatusSchema.shape.load;

/** Parts that a forwarder works with. */
export interface PeerForwarderParts {
    readonly clock: Clock;
    readonly ownName: string;
    readonly ownAddress: string;
    readonly proof: DeploymentProof;
    /** Called when the answer of a host says that it is about to stop. */
    readonly onDraining: (host: string) => void;
}

/** How a request is forwarded. */
export interface ForwardOptions {
    /** Whether the peer owns the idempotency key of the request, rather than a backend server of its service. */
    readonly toKeyOwner?: boolean;
    /** Called with what the answer tells of the host. */
    readonly onAnswer?: (outcome: AttemptOutcome) => void;
}

/** Sends requests to other nodes and reads their answers. */
export class PeerForwarder {
    private readonly connections = new Map<string, ServerConnections>();
    private readonly exchangePrefix = randomBytes(6).toString("base64url");
    private exchanges = 0;

    private constructor(private readonly parts: PeerForwarderParts) {}

    static create(parts: PeerForwarderParts): PeerForwarder {
        return new PeerForwarder(parts);
    }

    /**
     * Forwards a request and resolves when the headers of the answer are there.
     *
     * @throws RequestError when the peer refused it or its outcome is unknown.
     */
    async forward(
        host: Host,
        context: RequestContext,
        body: RequestBody,
        options: ForwardOptions = {},
    ): Promise<Answer> {
        const retries = context.retryBudget.takePartForCall(context.isRepeat);
        const headers = {
            ...this.createHeaders(context, retries),
            ...(options.toKeyOwner ? { [forwardHeaders.keyOwner]: "1" } : {}),
        };
        let response: Dispatcher.ResponseData;
        try {
            response = await this.exchange(host, context, headers, body);
        }
        catch (error) {
            if (context.signal.aborted && context.signal.reason instanceof RequestError) {
                throw context.signal.reason;
            }
            const failure = createConnectionError(error, "peer-connection-lost");
            if (failure.result.name === "no-backend-server") {
                context.retryBudget.putBack(retries);
            }
            throw failure;
        }
        readFeedback(response, context, retries);
        return await readAnswer(response, options.onAnswer);
    }

    /** Closes all connections after the requests on them have ended. */
    async close(): Promise<void> {
        await Promise.all([...this.connections.values()].map(connections => connections.close()));
    }

    /** Sends a request and resolves with the answer to this very request; gives up on a silent connection. */
    private async exchange(
        host: Host,
        context: RequestContext,
        headers: Record<string, string | string[]>,
        body: RequestBody,
    ): Promise<Dispatcher.ResponseData> {
        const connections = this.connectionsTo(host);
        const exchangeId = `${this.exchangePrefix}.${++this.exchanges}`;
        const watch = SilenceWatch.create(this.parts.clock, host.name);
        watch.signal.addEventListener("abort", () => connections.renew(), { once: true });
        try {
            const response = await connections.poolFor(context.matched.route.idempotent).request({
                method: context.method as "GET",
                path: context.target,
                headers: { ...headers, [forwardHeaders.exchange]: exchangeId },
                body: bodyContent(body),
                signal: AbortSignal.any([context.signal, watch.signal]),
                onInfo: () => watch.proceed(),
            });
            if (response.headers[forwardHeaders.exchange] !== exchangeId) {
                response.body.on("error", () => undefined).destroy();
                throw RequestError.create("peer-connection-lost", { detail: "The answer was to another request." });
            }
            if (response.headers[answerHeaders.draining] !== undefined) {
                this.parts.onDraining(host.name);
            }
            return response;
        }
        finally {
            watch.end();
        }
    }

    private createHeaders(context: RequestContext, retries: number): Record<string, string | string[]> {
        return {
            ...context.headers,
            [forwardHeaders.sender]: this.parts.ownName,
            [forwardHeaders.proof]: this.parts.proof.proofOf(this.parts.ownName).toString("hex"),
            [forwardHeaders.organisation]: context.organisation,
            [forwardHeaders.importance]: context.importance,
            [forwardHeaders.remainingMs]: String(
                Math.max(0, Math.floor(context.deadlineMs - this.parts.clock.nowMs())),
            ),
            [forwardHeaders.retries]: String(retries),
            ...(context.isRepeat ? { [forwardHeaders.repeat]: "1" } : {}),
        };
    }

    private connectionsTo(host: Host): ServerConnections {
        const origin = `${host.address}:${host.forwardPort}`;
        let connections = this.connections.get(origin);
        if (!connections) {
            connections = ServerConnections.create({
                address: host.address,
                port: host.forwardPort,
                connections: CONNECTIONS_PER_PEER,
                localAddress: this.parts.ownAddress,
            });
            this.connections.set(origin, connections);
        }
        return connections;
    }
}

/** Takes back unused retries and learns how hard the request was to admit. */
function readFeedback(response: Dispatcher.ResponseData, context: RequestContext, retries: number): void {
    const retriesLeft = Number(response.headers[answerHeaders.retriesLeft]) || 0;
    context.retryBudget.putBack(Math.min(retries, retriesLeft));
    const level = parseAdmissionLevel(String(response.headers[answerHeaders.admission] ?? ""));
    context.chainPressure.recordDownstreamDepth(readCallsBelow(response));
    if (level) {
        context.chainPressure.observe(level);
    }
}

function readCallsBelow(response: Dispatcher.ResponseData): number {
    return Math.min(CALLS_BELOW_AT_MOST, Number(response.headers[answerHeaders.callsBelow]) || 0);
}

function readLoad(response: Dispatcher.ResponseData): LocalLoad | undefined {
    try {
        return loadSchema.parse(JSON.parse(String(response.headers[answerHeaders.load])));
    }
    catch {
        return undefined;
    }
}

async function readAnswer(
    response: Dispatcher.ResponseData,
    onAnswer: (outcome: AttemptOutcome) => void = () => undefined,
): Promise<Answer> {
    const load = readLoad(response);
    const callsBelow = readCallsBelow(response);
    if (response.headers[answerHeaders.outcome] === "answered") {
        onAnswer({ kind: "answered", load, downstreamDepth: callsBelow });
        return {
            status: response.statusCode,
            headers: createReturnHeaders(response.headers),
            body: response.body,
            waitedMs: Number(response.headers[answerHeaders.waitedMs] ?? 0),
        };
    }
    const problem = problemDocumentSchema.parse(await response.body.json());
    const name = resultNameOf(problem.code) ?? "internal-error";
    onAnswer(outcomeOf(name, load));
    throw RequestError.create(name, {
        detail: problem.detail,
        execution: problem.execution,
        retryAfterMs: problem.retryAfterMs,
    });
}

/** What a refusal tells of the host. */
function outcomeOf(name: ResultName, load: LocalLoad | undefined): AttemptOutcome {
    switch (name) {
        case "overloaded":
        case "deadline-too-near":
            return { kind: "refused", load };
        case "caller-gone":
        case "deadline-exceeded":
            return { kind: "abandoned" };
        default:
            return { kind: "failed" };
    }
}
