/**
 * Runs non-idempotent requests that carry an idempotency key at most once, whichever node they reach how often.
 *
 * Each key has one owner, a seat or a process; only the owner authorises the run and remembers what became of it.
 * Every other node passes the request to the owner, or answers that the outcome is unknown.
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
import type { Answer, RequestContext } from "../request/request-context.js";
import type { PeerForwarder } from "./peer-forwarder.js";
import type { RequestDispatcher } from "./request-dispatcher.js";

/** Parts that a keyed dispatcher works with. */
export interface KeyedDispatcherParts {
    readonly clock: Clock;
    readonly dispatcher: Pick<RequestDispatcher, "dispatch">;
    readonly forwarder: Pick<PeerForwarder, "forward">;
    readonly table: IdempotencyTable;
    readonly authority: Pick<SeatAuthority, "state">;
    readonly seats: SeatDirectory;
    readonly findHost: (name: string) => Host | undefined;
    readonly layouts: SeatLayoutHistory;
    /** Who this process is. */
    readonly identity: {
        readonly host: string;
        readonly incarnation: bigint;
        readonly failureDomain: string;
        readonly seat: number;
    };
    /** Time for which a key that this node issued may be used for the first time. */
    readonly issuedKeyMs: number;
}

/** Largest answer that is kept with its key. */
const STORED_ANSWER_BYTES = 32_768;
const RUNNING_RETRY_AFTER_MS = 500;
const OWNER_RETRY_AFTER_MS = 1_000;
const ASKING_LIMIT_MS = 1_500;
const ASKING_POLL_MS = 20;

/** Dispatches requests, those with an idempotency key through the owner of the key. */
export class KeyedDispatcher {
    private constructor(private readonly parts: KeyedDispatcherParts) {}

    static create(parts: KeyedDispatcherParts): KeyedDispatcher {
        return new KeyedDispatcher(parts);
    }

    /** Issues a key that only this process may authorise. */
    issueKey(): string {
        const { host, incarnation } = this.parts.identity;
        return issueIdempotencyKey({ host, incarnation, issuedAtMs: this.parts.clock.nowMs() });
    }

    /**
     * Sends a request that entered here.
     *
     * @throws RequestError when the request was refused or its outcome is unknown.
     */
    async dispatch(context: RequestContext, body: RequestBody): Promise<Answer> {
        const key = readIdempotencyKey(context);
        if (key === undefined) {
            return this.parts.dispatcher.dispatch(context, body);
        }
        const owner = this.parts.layouts.findOwner(key);
        if (owner && this.isOwn(owner)) {
            return this.dispatchOwned(context, body);
        }
        return this.askOwner(owner, context, body);
    }

    /**
     * Sends a request whose key this process owns.
     *
     * @throws RequestError when the request was refused or its outcome is unknown.
     */
    async dispatchOwned(context: RequestContext, body: RequestBody): Promise<Answer> {
        const key = readIdempotencyKey(context);
        if (key === undefined) {
            throw RequestError.create("idempotency-key-invalid");
        }
        const decision = this.parts.table.begin(`${context.organisation}\n${key}`, fingerprintOf(context, body));
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
                throw RequestError.create("duplicate-in-progress", { retryAfterMs: RUNNING_RETRY_AFTER_MS });
            case "unknown":
                throw RequestError.create("outcome-unknown");
            case "reused":
                throw RequestError.create("idempotency-key-reused");
            case "full":
                throw RequestError.create("overloaded", { detail: "The node remembers no more idempotency keys." });
        }
    }

    private async askOwner(
        owner: IdempotencyKeyOwner | undefined,
        context: RequestContext,
        body: RequestBody,
    ): Promise<Answer> {
        const host = owner && this.findOwner(owner);
        if (!host || host.name === this.parts.identity.host) {
            throw createOwnerUnreachable("No live host owns the key.");
        }
        try {
            return await this.parts.forwarder.forward(host, context, body, { toKeyOwner: true });
        }
        catch (error) {
            const failure = toRequestError(error);
            const isUnasked = failure.result.name === "no-backend-server" || failure.result.name === "node-stopping";
            throw isUnasked ? createOwnerUnreachable(`${host.name}: ${failure.message}`) : failure;
        }
    }

    private findOwner(owner: IdempotencyKeyOwner): Host | undefined {
        switch (owner.kind) {
            case "seat":
                return this.parts.seats.find(owner.failureDomain, owner.seat);
            case "process":
                return this.parts.findHost(owner.host);
        }
    }

    private isOwn(owner: IdempotencyKeyOwner): boolean {
        const { identity } = this.parts;
        switch (owner.kind) {
            case "seat":
                return owner.failureDomain === identity.failureDomain && owner.seat === identity.seat;
            case "process":
                return owner.host === identity.host;
        }
    }

    /** Runs the request of a new key; the end of its caller does not end it, so that its answer can be given again. */
    private async runOnce(
        key: string,
        context: RequestContext,
        body: RequestBody,
        attempt: KeyAttempt,
    ): Promise<Answer> {
        const deadline = new AbortController();
        const timer = this.parts.clock.setTimer(
            context.deadlineMs - this.parts.clock.nowMs(),
            () => deadline.abort(RequestError.create("deadline-exceeded")),
        );
        try {
            await this.waitWhileAsking(context);
            this.requireAuthority(key);
            const answer = await this.parts.dispatcher.dispatch({ ...context, signal: deadline.signal }, body);
            return await keepAnswer(answer, attempt, deadline.signal);
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

    /** Gives a process that has just started the time to hear from its witnesses. */
    private async waitWhileAsking(context: RequestContext): Promise<void> {
        const { clock, authority } = this.parts;
        const endMs = Math.min(context.deadlineMs, clock.nowMs() + ASKING_LIMIT_MS);
        while (authority.state.kind === "asking" && clock.nowMs() < endMs) {
            await delay(clock, ASKING_POLL_MS);
        }
    }

    /**
     * Checks that no other process can have authorised the key.
     *
     * @throws RequestError when one can have.
     */
    private requireAuthority(key: string): void {
        const { identity, authority, clock } = this.parts;
        const owner = this.parts.layouts.findOwner(key);
        if (!owner || !this.isOwn(owner)) {
            throw createOwnerUnreachable("This node does not own the key in its configuration.");
        }
        if (owner.kind === "process") {
            if (owner.incarnation !== identity.incarnation) {
                throw RequestError.create("outcome-unknown", { detail: "The process that issued the key has ended." });
            }
            if (owner.issuedAtMs + this.parts.issuedKeyMs < clock.nowMs()) {
                throw RequestError.create("outcome-unknown", { detail: "The key was issued too long ago." });
            }
            return;
        }
        const movedMs = this.parts.layouts.keyHandoverRemainingMs(key);
        if (movedMs > 0) {
            throw createOwnerUnreachable(
                "The number of seats changed; another seat may have run its request.",
                movedMs,
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

/** This send was not run, but an earlier one with the same key may have been; so the outcome is unknown. */
function createOwnerUnreachable(detail: string, retryAfterMs = OWNER_RETRY_AFTER_MS): RequestError {
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

/** Tells requests apart that use one key; the body counts when it is small enough to be kept. */
function fingerprintOf(context: RequestContext, body: RequestBody): string {
    const hash = createHash("sha256").update(`${context.method}\n${context.target}\n${body.kind}\n`);
    if (body.kind === "buffered") {
        hash.update(body.content);
    }
    return hash.digest("base64url");
}

/** Reads an answer to its end before any of it is given, so that only a whole one is kept; a large one is passed on. */
async function keepAnswer(answer: Answer, attempt: KeyAttempt, signal: AbortSignal): Promise<Answer> {
    try {
        const content = await readRequestBody(answer.body, {
            hasBody: true,
            replayBytes: STORED_ANSWER_BYTES,
            maximumBytes: Infinity,
        });
        if (content.kind === "buffered") {
            attempt.complete({ status: answer.status, headers: answer.headers, content: content.content });
            return { ...answer, body: Readable.from([content.content]) };
        }
        attempt.complete(undefined);
        return content.kind === "streamed" ? { ...answer, body: content.stream } : answer;
    }
    catch (error) {
        if (signal.aborted && signal.reason instanceof RequestError) {
            throw signal.reason;
        }
        throw RequestError.create("answer-truncated", { detail: String(error) });
    }
}
