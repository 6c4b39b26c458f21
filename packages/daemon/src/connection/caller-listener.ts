/**
 * Listener for requests of callers: authentication, admission and accounting at the entry node.
 */
import { ChainPressure, RequestError, RetryBudget } from "@radishrouter/core";
import type {
    BacklogMonitor,
    CallerIdentity,
    Clock,
    ConfigurationVersion,
    EntryAdmission,
    EntryTicket,
    MatchedRoute,
    OpenLedgerEntry,
    OutcomeLedger,
    PauseDetector,
    RateLimiter,
} from "@radishrouter/core";
import createDebug from "debug";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { DrainState } from "../process/drain-state.js";
import type { KeyedDispatcher } from "../process/keyed-dispatcher.js";
import type { OpenRequests } from "../process/open-requests.js";
import type { Settings } from "../process/settings.js";
import { DEADLINE_HEADER, IDEMPOTENCY_KEYS_TARGET } from "../request/header-names.js";
import { sendProblem, toRequestError } from "../request/problem-document.js";
import { readRequestBody } from "../request/request-body.js";
import { routeNameOf } from "../request/request-context.js";
import { readDeadlineMs, requireTimeLeft } from "../request/request-deadline.js";
import { checkRequestHead, readKey } from "../request/request-head.js";
import { filterRequestHeaders } from "../request/request-headers.js";
import { RequestLifetime } from "../request/request-lifetime.js";
import { writeResponse } from "../request/response-writer.js";
import { CallerGuard } from "./caller-guard.js";
import { createHttpServer } from "./http-server.js";
import { WaitingRequests } from "./waiting-requests.js";

/** Dependencies of the listener. */
export interface CallerListenerDependencies {
    readonly clock: Clock;
    readonly limits: Settings["limits"];
    readonly ledger: OutcomeLedger;
    readonly rateLimiter: RateLimiter;
    readonly openRequests: OpenRequests;
    readonly dispatcher: KeyedDispatcher;
    /** Sheds requests by the admission levels that responses report for downstream services; undefined when disabled. */
    readonly entryAdmission: EntryAdmission | undefined;
    /** Returns the active configuration, or undefined until the first one has arrived. */
    readonly version: () => ConfigurationVersion | undefined;
    /** Stage of a planned stop. Requests of callers on open connections are served until the connections are closed. */
    readonly drain: DrainState;
    readonly pauses: PauseDetector;
    readonly backlog: BacklogMonitor;
}

/** Route, caller and access key of a request whose caller may use the route. */
interface AuthenticatedRequest {
    readonly matched: MatchedRoute;
    readonly identity: CallerIdentity | undefined;
    readonly key: string | undefined;
}

/** A request that passed all checks at entry. */
interface AdmittedRequest extends AuthenticatedRequest {
    readonly guard: CallerGuard;
    readonly remainingMs: number;
    readonly ticket: EntryTicket | undefined;
}

const log = createDebug("radishrouter:refusal");
const OPEN_ORGANISATION = "(open)";
/** Time in queues above which a request is counted as delayed; one that used a retry is counted as delayed too. */
const DELAYED_THRESHOLD_MS = 1;
/** Interval at which the header and request timeouts of senders are checked. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** Creates the HTTP server for callers. */
export function createCallerServer(dependencies: CallerListenerDependencies): Server {
    const options = {
        headersTimeout: dependencies.limits.headersTimeoutMs,
        requestTimeout: dependencies.limits.requestTimeoutMs,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        requireHostHeader: false,
        insecureHTTPParser: false,
    };
    const guard = CallerGuard.create(dependencies);
    const server = createHttpServer(options, dependencies.backlog, async (request, response) => {
        if (guard.trackResponse(request, response)) {
            await serve(dependencies, guard, request, response);
        }
    }, WaitingRequests.create(dependencies.limits.waitingRequests));
    guard.attach(server);
    return server;
}

async function serve(
    dependencies: CallerListenerDependencies,
    guard: CallerGuard,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    if (dependencies.drain.stage !== "running") {
        response.setHeader("connection", "close");
    }
    if (request.url === IDEMPOTENCY_KEYS_TARGET) {
        return issueIdempotencyKey(dependencies, request, response);
    }
    const waitedMs = dependencies.pauses.waitedMs();
    const entry = dependencies.ledger.offer();
    let releaseSlot: (() => void) | undefined;
    try {
        const authenticated = authenticate(dependencies, request);
        entry.assign(authenticated.identity?.organisation ?? OPEN_ORGANISATION);
        releaseSlot = guard.acquireRequestSlot(authenticated.identity?.keyId ?? request.socket.remoteAddress ?? "");
        const allowedMs = readDeadlineMs(request.headers[DEADLINE_HEADER], authenticated.matched.route.deadlineMs);
        const remainingMs = requireTimeLeft(allowedMs, waitedMs);
        await acquireRateToken(dependencies, authenticated, entry);
        const ticket = admitByCallGraphLoad(dependencies, authenticated);
        await runRequest(dependencies, request, response, { ...authenticated, guard, remainingMs, ticket }, entry);
    }
    catch (error) {
        const failure = toRequestError(error);
        log("%d %s %s", failure.result.code, failure.result.name, failure.execution);
        entry.close(
            failure.execution === "not-run" ?
                { kind: "refused", code: failure.result.code } :
                { kind: "unknown", code: failure.result.code },
        );
        sendProblem(response, failure);
    }
    finally {
        releaseSlot?.();
    }
}

/** Issues an idempotency key to a caller. The key stays usable while this node is partitioned from other nodes. */
function issueIdempotencyKey(
    dependencies: CallerListenerDependencies,
    request: IncomingMessage,
    response: ServerResponse,
): void {
    try {
        checkRequestHead(request);
        const key = readKey(request);
        if (key === undefined || !dependencies.version()?.keys.find(key)) {
            throw RequestError.create(key === undefined ? "key-missing" : "key-invalid");
        }
        response.writeHead(201, { "content-type": "application/json" });
        response.end(JSON.stringify({ idempotencyKey: dependencies.dispatcher.issueKey() }));
    }
    catch (error) {
        sendProblem(response, toRequestError(error));
    }
}

/**
 * Finds the route and the caller of a request.
 *
 * @throws RequestError when this node has no configuration yet, or when the request is malformed, has no route, or its
 * caller may not use the route.
 */
function authenticate(dependencies: CallerListenerDependencies, request: IncomingMessage): AuthenticatedRequest {
    const version = dependencies.version();
    if (!version) {
        throw RequestError.create("configuration-missing");
    }
    checkRequestHead(request);
    const matched = version.routes.find(request.method ?? "", request.url ?? "");
    if (!matched) {
        throw RequestError.create("route-unknown");
    }
    const key = readKey(request);
    const identity = key === undefined ? undefined : version.keys.find(key);
    if (!matched.route.open) {
        requireAllowedIdentity(matched, key, identity);
    }
    return { matched, identity, key };
}

/**
 * Checks that the caller of a request has a valid key and may use the route.
 *
 * @throws RequestError when it has no key, an invalid key, or belongs to an organisation that may not use the route.
 */
function requireAllowedIdentity(
    matched: MatchedRoute,
    key: string | undefined,
    identity: CallerIdentity | undefined,
): void {
    if (key === undefined) {
        throw RequestError.create("key-missing");
    }
    if (!identity) {
        throw RequestError.create("key-invalid");
    }
    const allowed = matched.route.organisations;
    if (allowed && !allowed.includes(identity.organisation)) {
        throw RequestError.create("organisation-not-allowed");
    }
}

/**
 * Takes a token from the rate of the caller's organisation. Requests without a valid key, which only open routes accept,
 * are not limited.
 *
 * @throws RequestError when the organisation exceeds its rate.
 */
async function acquireRateToken(
    dependencies: CallerListenerDependencies,
    authenticated: AuthenticatedRequest,
    entry: OpenLedgerEntry,
): Promise<void> {
    if (!authenticated.identity) {
        return;
    }
    const decision = await dependencies.rateLimiter.acquire(authenticated.identity.organisation);
    if (decision.kind === "refused") {
        if (decision.withinRate) {
            entry.countRefusedWithinRate();
        }
        throw RequestError.create("rate-exceeded", { retryAfterMs: decision.retryAfterMs });
    }
}

/**
 * Sheds a request at entry that a service of its call graph, being at capacity, would otherwise shed later.
 *
 * @throws RequestError when the request is shed.
 */
function admitByCallGraphLoad(
    dependencies: CallerListenerDependencies,
    authenticated: AuthenticatedRequest,
): EntryTicket | undefined {
    const flow = {
        organisation: authenticated.identity?.organisation ?? OPEN_ORGANISATION,
        routeName: routeNameOf(authenticated.matched),
        importance: authenticated.matched.route.importance,
    };
    const decision = dependencies.entryAdmission?.tryAdmit(flow);
    if (decision?.kind === "refused") {
        const detail = `The service ${decision.service} is at capacity.`;
        const name = decision.service === authenticated.matched.serviceName ? "overloaded" : "downstream-overloaded";
        throw RequestError.create(name, { detail, retryAfterMs: decision.retryAfterMs });
    }
    return decision?.ticket;
}

async function runRequest(
    dependencies: CallerListenerDependencies,
    request: IncomingMessage,
    response: ServerResponse,
    admitted: AdmittedRequest,
    entry: OpenLedgerEntry,
): Promise<void> {
    const { matched, key, remainingMs } = admitted;
    const lifetime = RequestLifetime.create(dependencies.clock, response, remainingMs);
    const unregister = registerRequestOfKey(dependencies, admitted, lifetime);
    const chainPressure = ChainPressure.create();
    try {
        const context = {
            organisation: admitted.identity?.organisation ?? OPEN_ORGANISATION,
            importance: matched.route.importance,
            method: request.method!,
            target: request.url!,
            matched,
            headers: filterRequestHeaders(request.headers, key),
            deadlineMs: dependencies.clock.nowMs() + remainingMs,
            retryBudget: RetryBudget.create(matched.service.retryBudget),
            isRepeat: false,
            chainPressure,
            signal: lifetime.signal,
        };
        const body = await readRequestBody(request, {
            hasBody: hasBody(request),
            replayBytes: dependencies.limits.replayBytes,
            maximumBytes: dependencies.limits.bodyBytes,
            createReadError: () => admitted.guard.createBodyReadError(request),
        });
        admitted.guard.markMayHaveRun(response);
        const retriesBefore = context.retryBudget.left;
        const backendResponse = await dependencies.dispatcher.dispatch(context, body);
        await writeResponse(response, backendResponse, lifetime.signal);
        const delayed = backendResponse.waitedMs > DELAYED_THRESHOLD_MS || context.retryBudget.left < retriesBefore;
        entry.close(
            backendResponse.status >= 500 ?
                { kind: "failed", status: backendResponse.status } :
                { kind: "completed", delayed },
        );
    }
    finally {
        unregister();
        const wasAbandoned = lifetime.signal.aborted;
        admitted.ticket?.end(
            wasAbandoned ? { kind: "abandoned" } : { kind: "answered", level: chainPressure.highest },
        );
        lifetime.end();
    }
}

/**
 * Registers a request so that it is aborted when its key is withdrawn, and returns the function that unregisters it.
 *
 * @throws RequestError when the key was withdrawn after the request was authenticated.
 */
function registerRequestOfKey(
    dependencies: CallerListenerDependencies,
    authenticated: AuthenticatedRequest,
    lifetime: RequestLifetime,
): () => void {
    const keyId = authenticated.identity?.keyId;
    if (keyId === undefined) {
        return () => undefined;
    }
    if (dependencies.version()?.keys.has(keyId) === false) {
        lifetime.end();
        throw RequestError.create("key-invalid");
    }
    return dependencies.openRequests.add(keyId, lifetime);
}

/** Whether the headers of a request announce a body. */
export function hasBody(request: IncomingMessage): boolean {
    const length = request.headers["content-length"];
    return request.headers["transfer-encoding"] !== undefined || (length !== undefined && length !== "0");
}
