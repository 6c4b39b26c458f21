/**
 * Requests of callers: authentication, admission and accounting, at the node where they enter.
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
import { writeAnswer } from "../request/answer-writer.js";
import { DEADLINE_HEADER, ISSUED_KEYS_TARGET } from "../request/header-names.js";
import { sendProblem, toRequestError } from "../request/problem-document.js";
import { readRequestBody } from "../request/request-body.js";
import { routeNameOf } from "../request/request-context.js";
import { readDeadlineMs, requireTimeLeft } from "../request/request-deadline.js";
import { checkRequestHead, readKey } from "../request/request-head.js";
import { createOnwardHeaders } from "../request/request-headers.js";
import { RequestLifetime } from "../request/request-lifetime.js";
import { CallerGuard } from "./caller-guard.js";
import { createHttpServer } from "./http-server.js";

/** Parts that the listener works with. */
export interface CallerListenerParts {
    readonly clock: Clock;
    readonly limits: Settings["limits"];
    readonly ledger: OutcomeLedger;
    readonly rateLimiter: RateLimiter;
    readonly openRequests: OpenRequests;
    readonly dispatcher: KeyedDispatcher;
    /** Sheds by what answers tell of services further down the chain; undefined when switched off. */
    readonly entryAdmission: EntryAdmission | undefined;
    /** Configuration in force; undefined until the first one has arrived. */
    readonly version: () => ConfigurationVersion | undefined;
    /** Planned stop of the node; what callers send on open connections is served until these are closed. */
    readonly drain: DrainState;
    readonly pauses: PauseDetector;
    readonly backlog: BacklogMonitor;
}

interface Admission {
    readonly matched: MatchedRoute;
    readonly identity: CallerIdentity | undefined;
    readonly key: string | undefined;
}

interface AdmittedRequest extends Admission {
    readonly guard: CallerGuard;
    readonly remainingMs: number;
    readonly ticket: EntryTicket | undefined;
}

const log = createDebug("radishrouter:refusal");
const OPEN_ORGANISATION = "(open)";
const DELAYED_MS = 1;
/** How often slow senders are looked for. */
const CHECK_INTERVAL_MS = 500;

/** Creates the server for callers. */
export function createCallerServer(parts: CallerListenerParts): Server {
    const options = {
        headersTimeout: parts.limits.headersTimeoutMs,
        requestTimeout: parts.limits.requestTimeoutMs,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        requireHostHeader: false,
        insecureHTTPParser: false,
    };
    const guard = CallerGuard.create(parts);
    const server = createHttpServer(options, parts.backlog, async (request, response) => {
        if (guard.begin(request, response)) {
            await serve(parts, guard, request, response);
        }
    });
    guard.protect(server);
    return server;
}

async function serve(
    parts: CallerListenerParts,
    guard: CallerGuard,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    if (parts.drain.stage !== "running") {
        response.setHeader("connection", "close");
    }
    if (request.url === ISSUED_KEYS_TARGET) {
        return issueIdempotencyKey(parts, request, response);
    }
    const waitedMs = parts.pauses.waitedMs();
    const entry = parts.ledger.offer();
    let closeRequest: (() => void) | undefined;
    try {
        const admission = admit(parts, request);
        entry.assign(admission.identity?.organisation ?? OPEN_ORGANISATION);
        closeRequest = guard.openRequest(admission.identity?.keyId ?? request.socket.remoteAddress ?? "");
        await acquireRate(parts, admission, entry);
        const allowedMs = readDeadlineMs(request.headers[DEADLINE_HEADER], admission.matched.route.deadlineMs);
        const remainingMs = requireTimeLeft(allowedMs, waitedMs);
        const ticket = admitToChain(parts, admission);
        await run(parts, request, response, { ...admission, guard, remainingMs, ticket }, entry);
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
        closeRequest?.();
    }
}

/** Answers a caller that wants an idempotency key that stays usable when this node is cut off from others. */
function issueIdempotencyKey(parts: CallerListenerParts, request: IncomingMessage, response: ServerResponse): void {
    try {
        checkRequestHead(request);
        const key = readKey(request);
        if (key === undefined || !parts.version()?.keys.find(key)) {
            throw RequestError.create(key === undefined ? "key-missing" : "key-invalid");
        }
        response.writeHead(201, { "content-type": "application/json" });
        response.end(JSON.stringify({ idempotencyKey: parts.dispatcher.issueKey() }));
    }
    catch (error) {
        sendProblem(response, toRequestError(error));
    }
}

function admit(parts: CallerListenerParts, request: IncomingMessage): Admission {
    const version = parts.version();
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
        requireIdentity(matched, key, identity);
    }
    return { matched, identity, key };
}

function requireIdentity(matched: MatchedRoute, key: string | undefined, identity: CallerIdentity | undefined): void {
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

async function acquireRate(parts: CallerListenerParts, admission: Admission, entry: OpenLedgerEntry): Promise<void> {
    if (!admission.identity) {
        return;
    }
    const decision = await parts.rateLimiter.acquire(admission.identity.organisation);
    if (decision.kind === "refused") {
        if (decision.withinRate) {
            entry.countRefusedWithinRate();
        }
        throw RequestError.create("rate-exceeded", { retryAfterMs: decision.retryAfterMs });
    }
}

/** Refuses at once what would be refused further down the chain. */
function admitToChain(parts: CallerListenerParts, admission: Admission): EntryTicket | undefined {
    const flow = {
        organisation: admission.identity?.organisation ?? OPEN_ORGANISATION,
        routeName: routeNameOf(admission.matched),
        importance: admission.matched.route.importance,
    };
    const decision = parts.entryAdmission?.tryAdmit(flow);
    if (decision?.kind === "refused") {
        const detail = `The service ${decision.service} is at capacity.`;
        const name = decision.service === admission.matched.serviceName ? "overloaded" : "downstream-overloaded";
        throw RequestError.create(name, { detail, retryAfterMs: decision.retryAfterMs });
    }
    return decision?.ticket;
}

async function run(
    parts: CallerListenerParts,
    request: IncomingMessage,
    response: ServerResponse,
    admission: AdmittedRequest,
    entry: OpenLedgerEntry,
): Promise<void> {
    const { matched, key, remainingMs } = admission;
    const lifetime = RequestLifetime.create(parts.clock, response, remainingMs);
    const endOpen = openRequest(parts, admission, lifetime);
    const chainPressure = ChainPressure.create();
    try {
        const context = {
            organisation: admission.identity?.organisation ?? OPEN_ORGANISATION,
            importance: matched.route.importance,
            method: request.method!,
            target: request.url!,
            matched,
            headers: createOnwardHeaders(request.headers, key),
            deadlineMs: parts.clock.nowMs() + remainingMs,
            retryBudget: RetryBudget.create(matched.service.retryBudget),
            isRepeat: false,
            chainPressure,
            signal: lifetime.signal,
        };
        const body = await readRequestBody(request, {
            hasBody: hasBody(request),
            replayBytes: parts.limits.replayBytes,
            maximumBytes: parts.limits.bodyBytes,
            readFailure: () => admission.guard.bodyFailure(request),
        });
        admission.guard.markSent(response);
        const retriesBefore = context.retryBudget.left;
        const answer = await parts.dispatcher.dispatch(context, body);
        await writeAnswer(response, answer, lifetime.signal);
        const delayed = answer.waitedMs > DELAYED_MS || context.retryBudget.left < retriesBefore;
        entry.close(answer.status >= 500 ? { kind: "failed", status: answer.status } : { kind: "completed", delayed });
    }
    finally {
        endOpen();
        const wasAbandoned = lifetime.signal.aborted;
        admission.ticket?.end(
            wasAbandoned ? { kind: "abandoned" } : { kind: "answered", level: chainPressure.highest },
        );
        lifetime.end();
    }
}

/** Makes the request end when its key is withdrawn, also if that happened since it was admitted. */
function openRequest(parts: CallerListenerParts, admission: Admission, lifetime: RequestLifetime): () => void {
    const keyId = admission.identity?.keyId;
    if (keyId === undefined) {
        return () => undefined;
    }
    if (parts.version()?.keys.has(keyId) === false) {
        lifetime.end();
        throw RequestError.create("key-invalid");
    }
    return parts.openRequests.add(keyId, lifetime);
}

/** Whether a request announces a body. */
export function hasBody(request: IncomingMessage): boolean {
    const length = request.headers["content-length"];
    return request.headers["transfer-encoding"] !== undefined || (length !== undefined && length !== "0");
}
