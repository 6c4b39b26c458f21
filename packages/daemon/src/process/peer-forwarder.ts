/**
 * Forwards requests to nodes of other hosts.
 */
import type { AttemptOutcome, Clock, Host, LocalLoad, ResultName } from "@radishrouter/core";
import { nodeStatusSchema, parseAdmissionLevel, RequestError, resultNameOf } from "@radishrouter/core";
import { randomBytes } from "node:crypto";
import type { Dispatcher } from "undici";
import { forwardHeaders, forwardResponseHeaders } from "../request/header-names.js";
import { problemDocumentSchema } from "../request/problem-document.js";
import { toHttpClientBody } from "../request/request-body.js";
import type { RequestBody } from "../request/request-body.js";
import type { BackendResponse, RequestContext } from "../request/request-context.js";
import { filterResponseHeaders } from "../request/request-headers.js";
import type { DeploymentProof } from "./deployment-proof.js";
import { createConnectionError } from "./http-pools.js";
import { PeerProgressMonitor } from "./progress-monitor.js";
import { ServerConnections } from "./server-connections.js";

const CONNECTIONS_PER_PEER = 256;
const MAXIMUM_DOWNSTREAM_DEPTH = 32;
const loadSchema = nodeStatusSchema.shape.load;

/** Collaborators and identity of a forwarder. */
export interface PeerForwarderDependencies {
    readonly clock: Clock;
    readonly localHostName: string;
    readonly localAddress: string;
    readonly proof: DeploymentProof;
    /** Called when the response of a host reports that it is draining. */
    readonly onDraining: (host: string) => void;
}

/** How a request is forwarded. */
export interface ForwardOptions {
    /** Whether the peer is addressed as the owner of the idempotency key, instead of as a host of the service. */
    readonly toKeyOwner?: boolean;
    /** Called with the outcome of the attempt as soon as the response shows it. */
    readonly onOutcome?: (outcome: AttemptOutcome) => void;
}

/** Sends requests to other nodes and reads their responses. */
export class PeerForwarder {
    private readonly connections = new Map<string, ServerConnections>();
    private readonly exchangePrefix = randomBytes(6).toString("base64url");
    private exchanges = 0;

    private constructor(private readonly dependencies: PeerForwarderDependencies) {}

    static create(dependencies: PeerForwarderDependencies): PeerForwarder {
        return new PeerForwarder(dependencies);
    }

    /**
     * Forwards a request and resolves when the response headers have arrived.
     *
     * @throws RequestError when the peer refused it or its outcome is unknown.
     */
    async forward(
        host: Host,
        context: RequestContext,
        body: RequestBody,
        options: ForwardOptions = {},
    ): Promise<BackendResponse> {
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
        return await readResponse(response, options.onOutcome);
    }

    /** Closes all connections after the requests on them have ended. */
    async close(): Promise<void> {
        await Promise.all([...this.connections.values()].map(connections => connections.close()));
    }

    /** Sends a request and checks that the response belongs to it; aborts it when the peer reports no progress. */
    private async exchange(
        host: Host,
        context: RequestContext,
        headers: Record<string, string | string[]>,
        body: RequestBody,
    ): Promise<Dispatcher.ResponseData> {
        const connections = this.connectionsTo(host);
        const exchangeId = `${this.exchangePrefix}.${++this.exchanges}`;
        const progressMonitor = PeerProgressMonitor.create(this.dependencies.clock, host.name);
        progressMonitor.signal.addEventListener("abort", () => connections.renew(), { once: true });
        try {
            const response = await connections.poolFor(context.matched.route.idempotent).request({
                method: context.method as "GET",
                path: context.target,
                headers: { ...headers, [forwardHeaders.exchange]: exchangeId },
                body: toHttpClientBody(body),
                signal: AbortSignal.any([context.signal, progressMonitor.signal]),
                onInfo: () => progressMonitor.recordProgress(),
            });
            if (response.headers[forwardHeaders.exchange] !== exchangeId) {
                response.body.on("error", () => undefined).destroy();
                throw RequestError.create("peer-connection-lost", { detail: "The answer was to another request." });
            }
            if (response.headers[forwardResponseHeaders.draining] !== undefined) {
                this.dependencies.onDraining(host.name);
            }
            return response;
        }
        finally {
            progressMonitor.end();
        }
    }

    private createHeaders(context: RequestContext, retries: number): Record<string, string | string[]> {
        return {
            ...context.headers,
            [forwardHeaders.sender]: this.dependencies.localHostName,
            [forwardHeaders.proof]: this.dependencies.proof.proofOf(this.dependencies.localHostName).toString("hex"),
            [forwardHeaders.organisation]: context.organisation,
            [forwardHeaders.importance]: context.importance,
            [forwardHeaders.remainingMs]: String(
                Math.max(0, Math.floor(context.deadlineMs - this.dependencies.clock.nowMs())),
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
                localAddress: this.dependencies.localAddress,
            });
            this.connections.set(origin, connections);
        }
        return connections;
    }
}

/** Puts back unused retries, and records the downstream depth and admission level that the response reports. */
function readFeedback(response: Dispatcher.ResponseData, context: RequestContext, retries: number): void {
    const retriesLeft = Number(response.headers[forwardResponseHeaders.retriesLeft]) || 0;
    context.retryBudget.putBack(Math.min(retries, retriesLeft));
    const level = parseAdmissionLevel(String(response.headers[forwardResponseHeaders.admission] ?? ""));
    context.chainPressure.recordDownstreamDepth(readDownstreamDepth(response));
    if (level) {
        context.chainPressure.observe(level);
    }
}

function readDownstreamDepth(response: Dispatcher.ResponseData): number {
    return Math.min(MAXIMUM_DOWNSTREAM_DEPTH, Number(response.headers[forwardResponseHeaders.downstreamDepth]) || 0);
}

function readLoad(response: Dispatcher.ResponseData): LocalLoad | undefined {
    try {
        return loadSchema.parse(JSON.parse(String(response.headers[forwardResponseHeaders.load])));
    }
    catch {
        return undefined;
    }
}

async function readResponse(
    response: Dispatcher.ResponseData,
    onOutcome: (outcome: AttemptOutcome) => void = () => undefined,
): Promise<BackendResponse> {
    const load = readLoad(response);
    const downstreamDepth = readDownstreamDepth(response);
    if (response.headers[forwardResponseHeaders.outcome] === "answered") {
        onOutcome({ kind: "answered", load, downstreamDepth });
        return {
            status: response.statusCode,
            headers: filterResponseHeaders(response.headers),
            body: response.body,
            waitedMs: Number(response.headers[forwardResponseHeaders.waitedMs] ?? 0),
        };
    }
    const problem = problemDocumentSchema.parse(await response.body.json());
    const name = resultNameOf(problem.code) ?? "internal-error";
    onOutcome(outcomeOf(name, load));
    throw RequestError.create(name, {
        detail: problem.detail,
        execution: problem.execution,
        retryAfterMs: problem.retryAfterMs,
    });
}

/** Outcome of an attempt for the load balancer, by the result that the host responded with. */
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
