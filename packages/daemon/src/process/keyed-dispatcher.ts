/**
 * Runs non-idempotent requests that carry an idempotency key at most once, even if they are sent to several nodes.
 *
 * Each key has one owner, a seat or a process. Only the owner authorises the run and stores its outcome. Every other
 * node forwards the request to the owner, or responds that the outcome is unknown.
 */
import type {
    Clock,
    Host,
    IdempotencyKeyOwner,
    IdempotencyTable,
    KeyAttempt,
    SeatAuthority,
    SeatDirectory,
    SeatLayoutHistory,
} from "@radishrouter/core";
import { delay, isIdempotencyKey, issueIdempotencyKey, RequestError } from "@radishrouter/core";
import { createHash } from "node:crypto";
import { Readable } from "node:stream";
import { IDEMPOTENCY_KEY_HEADER, REPLAYED_HEADER } from "../request/header-names.js";
import { toRequestError } from "../request/problem-document.js";
import { readRequestBody } from "../request/request-body.js";
import type { RequestBody } from "../request/request-body.js";
import type { BackendResponse, RequestContext } from "../request/request-context.js";
import type { PeerForwarder } from "./peer-forwarder.js";
import type { RequestDispatcher } from "./request-dispatcher.js";

/** Collaborators and identity of a keyed dispatcher. */
export interface KeyedDispatcherDependencies {
    readonly clock: Clock;
    readonly dispatcher: Pick<RequestDispatcher, "dispatch">;
    readonly forwarder: Pick<PeerForwarder, "forward">;
    readonly table: IdempotencyTable;
    readonly authority: Pick<SeatAuthority, "state">;
    readonly seats: SeatDirectory;
    readonly findHost: (name: string) => Host | undefined;
    readonly layouts: SeatLayoutHistory;
    /** Identity of this process, compared with the owners of keys. */
    readonly identity: {
        readonly host: string;
        readonly incarnation: bigint;
        readonly failureDomain: string;
        readonly seat: number;
    };
    /** Time after its issue within which a key of this node may be used for the first time. */
    readonly issuedKeyLifetimeMs: number;
}

/** Largest response that is stored with its key, in bytes. */
const MAXIMUM_STORED_RESPONSE_BYTES = 32_768;
const DUPLICATE_RETRY_AFTER_MS = 500;
const UNREACHABLE_OWNER_RETRY_AFTER_MS = 1_000;
const MAXIMUM_AUTHORITY_WAIT_MS = 1_500;
const AUTHORITY_POLL_INTERVAL_MS = 20;

/** Dispatches requests, those with an idempotency key through the owner of the key. */
export class KeyedDispatcher {
    private constructor(private readonly dependencies: KeyedDispatcherDependencies) {}

    static create(dependencies: KeyedDispatcherDependencies): KeyedDispatcher {
        return new KeyedDispatcher(dependencies);
    }

    /** Issues a key whose requests only this process may authorise. */
    issueKey(): string {
        const { host, incarnation } = this.dependencies.identity;
        return issueIdempotencyKey({ host, incarnation, issuedAtMs: this.dependencies.clock.nowMs() });
    }

    /**
     * Dispatches a request that a caller or the local backend server sent to this node.
     *
     * @throws RequestError when the request was refused or its outcome is unknown.
     */
    async dispatch(context: RequestContext, body: RequestBody): Promise<BackendResponse> {
        const key = readIdempotencyKey(context);
        if (key === undefined) {
            return this.dependencies.dispatcher.dispatch(context, body);
        }
        const owner = this.dependencies.layouts.findOwner(key);
        if (owner && this.isLocalOwner(owner)) {
            return this.dispatchAsOwner(context, body);
        }
        return this.forwardToOwner(owner, context, body);
    }

    /**
     * Dispatches a request whose key this process owns.
     *
     * @throws RequestError when the request was refused or its outcome is unknown.
     */
    async dispatchAsOwner(context: RequestContext, body: RequestBody): Promise<BackendResponse> {
        const key = readIdempotencyKey(context);
        if (key === undefined) {
            throw RequestError.create("idempotency-key-invalid");
        }
        const decision = this.dependencies.table.begin(`${context.organisation}\n${key}`, fingerprintOf(context, body));
        switch (decision.kind) {
            case "run":
                return this.runOnce(key, context, body, decision.attempt);
            case "answered": {
                const { status, headers, content } = decision.answer;
                return {
                    status,
                    headers: { ...headers, [REPLAYED_HEADER]: "true" },
                    body: Readable.from([content]),
                    waitedMs: 0,
                };
            }
            case "running":
                throw RequestError.create("duplicate-in-progress", { retryAfterMs: DUPLICATE_RETRY_AFTER_MS });
            case "unknown":
                throw RequestError.create("outcome-unknown");
            case "reused":
                throw RequestError.create("idempotency-key-reused");
            case "full":
                throw RequestError.create("overloaded", { detail: "The node remembers no more idempotency keys." });
        }
    }

    private async forwardToOwner(
        owner: IdempotencyKeyOwner | undefined,
        context: RequestContext,
        body: RequestBody,
    ): Promise<BackendResponse> {
        const host = owner && this.findOwnerHost(owner);
        if (!host || host.name === this.dependencies.identity.host) {
            throw createOwnerUnreachable("No live host owns the key.");
        }
        try {
            return await this.dependencies.forwarder.forward(host, context, body, { toKeyOwner: true });
        }
        catch (error) {
            const failure = toRequestError(error);
            const isOwnerUnreached = failure.result.name === "no-backend-server" ||
                failure.result.name === "node-stopping";
            throw isOwnerUnreached ? createOwnerUnreachable(`${host.name}: ${failure.message}`) : failure;
        }
    }

    private findOwnerHost(owner: IdempotencyKeyOwner): Host | undefined {
        switch (owner.kind) {
            case "seat":
                return this.dependencies.seats.find(owner.failureDomain, owner.seat);
            case "process":
                return this.dependencies.findHost(owner.host);
        }
    }

    private isLocalOwner(owner: IdempotencyKeyOwner): boolean {
        const { identity } = this.dependencies;
        switch (owner.kind) {
            case "seat":
                return owner.failureDomain === identity.failureDomain && owner.seat === identity.seat;
            case "process":
                return owner.host === identity.host;
        }
    }

    /**
     * Runs the request of a new key. It continues when the caller disconnects, so that the response can be stored and
     * replayed.
     */
    private async runOnce(
        key: string,
        context: RequestContext,
        body: RequestBody,
        attempt: KeyAttempt,
    ): Promise<BackendResponse> {
        const deadline = new AbortController();
        const timer = this.dependencies.clock.setTimer(
            context.deadlineMs - this.dependencies.clock.nowMs(),
            () => deadline.abort(RequestError.create("deadline-exceeded")),
        );
        try {
            await this.waitForAuthority(context);
            this.requireAuthority(key);
            const response = await this.dependencies.dispatcher.dispatch({ ...context, signal: deadline.signal }, body);
            return await storeResponse(response, attempt, deadline.signal);
        }
        catch (error) {
            const failure = toRequestError(error);
            if (failure.execution === "not-run" || failure.result.name === "idempotency-home-unreachable") {
                attempt.release();
            }
            else {
                attempt.markUnknown();
            }
            throw failure;
        }
        finally {
            timer.cancel();
        }
    }

    /** Waits, for a limited time, while a process that has just started asks its witnesses for authority over its seat. */
    private async waitForAuthority(context: RequestContext): Promise<void> {
        const { clock, authority } = this.dependencies;
        const endMs = Math.min(context.deadlineMs, clock.nowMs() + MAXIMUM_AUTHORITY_WAIT_MS);
        while (authority.state.kind === "asking" && clock.nowMs() < endMs) {
            await delay(clock, AUTHORITY_POLL_INTERVAL_MS);
        }
    }

    /**
     * Checks that no other process can have authorised a request with the key.
     *
     * @throws RequestError when another process may have done so.
     */
    private requireAuthority(key: string): void {
        const { identity, authority, clock } = this.dependencies;
        const owner = this.dependencies.layouts.findOwner(key);
        if (!owner || !this.isLocalOwner(owner)) {
            throw createOwnerUnreachable("This node does not own the key in its configuration.");
        }
        if (owner.kind === "process") {
            if (owner.incarnation !== identity.incarnation) {
                throw RequestError.create("outcome-unknown", { detail: "The process that issued the key has ended." });
            }
            if (owner.issuedAtMs + this.dependencies.issuedKeyLifetimeMs < clock.nowMs()) {
                throw RequestError.create("outcome-unknown", { detail: "The key was issued too long ago." });
            }
            return;
        }
        const handoverRemainingMs = this.dependencies.layouts.keyHandoverRemainingMs(key);
        if (handoverRemainingMs > 0) {
            throw createOwnerUnreachable(
                "The number of seats changed; another seat may have run its request.",
                handoverRemainingMs,
            );
        }
        const state = authority.state;
        switch (state.kind) {
            case "authorised":
                return;
            case "waiting":
                throw createOwnerUnreachable(
                    "An earlier process that owned the key may have run its request.",
                    Math.ceil(state.untilMs - clock.nowMs()),
                );
            case "asking":
            case "superseded":
                throw createOwnerUnreachable("It is not certain yet that this process owns the key.");
        }
    }
}

/** This attempt was not run, but an earlier one with the same key may have been, so the outcome is unknown. */
function createOwnerUnreachable(detail: string, retryAfterMs = UNREACHABLE_OWNER_RETRY_AFTER_MS): RequestError {
    return RequestError.create("idempotency-home-unreachable", {
        detail: `${detail} This send was not run; an earlier one with the same key may have been.`,
        retryAfterMs,
    });
}

function readIdempotencyKey(context: RequestContext): string | undefined {
    const key = context.headers[IDEMPOTENCY_KEY_HEADER];
    if (key === undefined || context.matched.route.idempotent) {
        return undefined;
    }
    if (typeof key !== "string" || !isIdempotencyKey(key)) {
        throw RequestError.create("idempotency-key-invalid");
    }
    return key;
}

/** Identifies a request, to detect reuse of its key for another one; includes the body only if it is buffered. */
function fingerprintOf(context: RequestContext, body: RequestBody): string {
    const hash = createHash("sha256").update(`${context.method}\n${context.target}\n${body.kind}\n`);
    if (body.kind === "buffered") {
        hash.update(body.content);
    }
    return hash.digest("base64url");
}

/**
 * Reads a response to its end before returning it, so that only a complete one is stored. A response larger than the
 * limit is streamed on and not stored.
 */
async function storeResponse(
    response: BackendResponse,
    attempt: KeyAttempt,
    signal: AbortSignal,
): Promise<BackendResponse> {
    try {
        const content = await readRequestBody(response.body, {
            hasBody: true,
            replayBytes: MAXIMUM_STORED_RESPONSE_BYTES,
            maximumBytes: Infinity,
        });
        if (content.kind === "buffered") {
            attempt.complete({ status: response.status, headers: response.headers, content: content.content });
            return { ...response, body: Readable.from([content.content]) };
        }
        attempt.complete(undefined);
        return content.kind === "streamed" ? { ...response, body: content.stream } : response;
    }
    catch (error) {
        if (signal.aborted && signal.reason instanceof RequestError) {
            throw signal.reason;
        }
        throw RequestError.create("answer-truncated", { detail: String(error) });
    }
}
