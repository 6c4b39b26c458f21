/**
 * Sends requests to the backend server on this host once the admission gate admits them.
 */
import type { BacklogMonitor, Clock } from "@radishrouter/core";
import type { DownstreamPressure } from "../process/downstream-pressure.js";
import type { LocalInstance } from "../process/local-instance.js";
import type { ServerCondition, ServerConditionDecoder } from "../process/server-condition.js";
import type { GateOutcome, GateTicket, ServerGate } from "../process/server-gate.js";
import type { HeaderNames } from "../request/header-names.js";
import type { Attempt, AttemptOutcome, AttemptResult, AttemptTiming, UnknownReason } from "../request/outcome.js";
import type { ServerRequest } from "../request/relayed-request.js";
import { ExchangePool } from "./http-exchange.js";
import type { Exchange, ExchangeResponse } from "./http-exchange.js";

/** Collaborators and settings of the client for the local backend server. */
export interface ServerClientDependencies {
    readonly clock: Clock;
    readonly backlog: BacklogMonitor;
    readonly gate: ServerGate;
    readonly headerNames: HeaderNames;
    readonly hostAddress: string;
    readonly port: number;
    /** Service of the backend server on this host. */
    readonly localService: string;
    readonly localInstance: LocalInstance;
    readonly onwardPressure: DownstreamPressure;
    readonly decodeCondition: ServerConditionDecoder;
    /** Called with what an instance of the backend server said of itself in its latest response. */
    readonly onCondition: (instance: string, condition: ServerCondition) => void;
    /** Whether an instance of the backend server is known to leave, or to have left. */
    readonly isLeaving: (instance: string) => boolean;
}

const MAXIMUM_CONNECTIONS = 512;
const CONNECT_TIMEOUT_MS = 300;
const IDLE_TIMEOUT_MS = 4_000;
const MISDIRECTED_STATUS = 421;
/** Time after a failed connection for which no new connection is tried. */
const CONNECT_BACKOFF_MS = 150;
const RETRY_AFTER_FAILURE_MS = 300;

/** Client of the backend server on this host. */
export class ServerClient {
    private readonly pool: ExchangePool;
    private downUntilMs = 0;
    /** Position of the latest response whose condition was applied. */
    private latestOrder = 0;

    private constructor(private readonly dependencies: ServerClientDependencies) {
        this.pool = ExchangePool.create({
            hostAddress: dependencies.hostAddress,
            port: dependencies.port,
            maximumConnections: MAXIMUM_CONNECTIONS,
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
            idleTimeoutMs: IDLE_TIMEOUT_MS,
            idHeader: dependencies.headerNames.attemptId,
        });
        dependencies.gate.setProbing(true);
    }

    static create(dependencies: ServerClientDependencies): ServerClient {
        return new ServerClient(dependencies);
    }

    /**
     * Sends one request; its outcome says whether it ran. `hasCallerDisconnected` reports whether the connection that
     * carried the request has ended, which may be before the attempt is aborted.
     */
    send(request: ServerRequest, hasCallerDisconnected: () => boolean): Attempt {
        if (request.service !== this.dependencies.localService) {
            return this.refuse(OTHER_SERVICE);
        }
        if (this.dependencies.clock.nowMs() < this.downUntilMs) {
            return this.refuse(NOT_CONNECTED);
        }
        const ticket = this.dependencies.gate.enter({
            route: request.content.routeName,
            priority: request.content.priority,
            isOnwardCall: request.content.isOnwardCall,
            softDeadlineAtMs: request.softDeadlineAtMs,
        });
        const attempt = new ServerAttempt(ticket, this.dependencies.clock.nowMs(), hasCallerDisconnected);
        const result = this.execute(request, attempt).then(outcome => this.toResult(outcome, this.timingOf(attempt)));
        return { result, abort: reason => attempt.abort(reason) };
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.pool.destroy();
    }

    private refuse(outcome: AttemptOutcome): Attempt {
        return { result: Promise.resolve(this.toResult(outcome, NOT_SENT_TIMING)), abort: () => undefined };
    }

    private toResult(outcome: AttemptOutcome, timing: AttemptTiming): AttemptResult {
        return { outcome, onwardPressure: this.dependencies.onwardPressure.current(), timing };
    }

    private timingOf({ enteredAtMs, admittedAtMs }: ServerAttempt): AttemptTiming {
        const nowMs = this.dependencies.clock.nowMs();
        return { gateMs: (admittedAtMs ?? nowMs) - enteredAtMs, serverMs: nowMs - (admittedAtMs ?? nowMs) };
    }

    private async execute(request: ServerRequest, attempt: ServerAttempt): Promise<AttemptOutcome> {
        const decision = await attempt.ticket.decision;
        if (decision.kind === "refused") {
            const { reason, retryAfterMs } = decision;
            return { kind: "not-run", reason, reached: false, retryAfterMs };
        }
        await this.waitForInputBacklog(attempt);
        const startedAtMs = this.dependencies.clock.nowMs();
        attempt.admittedAtMs = startedAtMs;
        let gateOutcome: GateOutcome = { kind: "abandoned" };
        try {
            const outcome = await this.sendToCurrentInstance(request, attempt);
            if (outcome.kind === "answered") {
                gateOutcome = { kind: "answered", serviceMs: this.dependencies.clock.nowMs() - startedAtMs };
            }
            return outcome;
        }
        finally {
            attempt.ticket.end(gateOutcome);
        }
    }

    private async sendToCurrentInstance(request: ServerRequest, attempt: ServerAttempt): Promise<AttemptOutcome> {
        const outcome = await this.sendOnce(request, attempt);
        const isMisdirected = outcome.kind === "not-run" && outcome.reason === "other-instance";
        if (isMisdirected && attempt.abortReason === undefined && this.mayUseCurrentInstance()) {
            // The response named the instance that runs now, so the request is sent again to that instance.
            return await this.sendOnce(request, attempt);
        }
        return outcome;
    }

    private mayUseCurrentInstance(): boolean {
        const { current } = this.dependencies.localInstance;
        return current === undefined || !this.dependencies.isLeaving(current);
    }

    /** Waits until the input backlog is read: it may hold the cancellation behind the response that freed the slot. */
    private async waitForInputBacklog(attempt: ServerAttempt): Promise<void> {
        const { backlog } = this.dependencies;
        if (backlog.isReadingBacklog()) {
            await backlog.whenCaughtUp();
        }
        if (attempt.hasCallerDisconnected()) {
            attempt.abortReason ??= "caller-gone";
        }
    }

    private async sendOnce(request: ServerRequest, attempt: ServerAttempt): Promise<AttemptOutcome> {
        const remainingMs = Math.floor(request.deadlineAtMs - this.dependencies.clock.nowMs());
        if (attempt.abortReason !== undefined || remainingMs < 1) {
            return { kind: "not-run", reason: "no-time-left", reached: false, retryAfterMs: 0 };
        }
        const { method, target, body, id } = request.content;
        const instance = this.dependencies.localInstance.current ?? request.instance;
        attempt.exchange = this.pool.start(
            { method, path: target, headers: this.createHeaders(request, instance, remainingMs), body, id },
            () => this.shouldSend(request, attempt),
        );
        const result = await attempt.exchange.result;
        if (result.kind === "failed") {
            return attempt.isServerLeaving ?
                LEAVING :
                this.toFailedOutcome(result.sent, result.reason, attempt.abortReason);
        }
        const outcome = this.toOutcome(request.content.id, result.response);
        if (isFromExpectedInstance(outcome)) {
            this.readCondition(instance, result.response);
        }
        // Only now, because the response may name a rate for the requests that wait.
        this.dependencies.gate.setProbing(false);
        return outcome;
    }

    /**
     * Applies what a valid response says of the instance that sent it, unless a later one was read before, or another
     * instance runs since.
     */
    private readCondition(instance: string, { headers, order = 0 }: ExchangeResponse): void {
        const isCurrent = (this.dependencies.localInstance.current ?? instance) === instance;
        if (instance === "" || !isCurrent || order < this.latestOrder) {
            return;
        }
        this.latestOrder = order;
        this.dependencies.onCondition(instance, this.dependencies.decodeCondition(headers));
    }

    /**
     * Checks again once the connection is open: the caller may have disconnected, the deadline may have passed, or the
     * server may have begun to leave.
     */
    private shouldSend(request: ServerRequest, attempt: ServerAttempt): boolean {
        if (attempt.hasCallerDisconnected()) {
            attempt.abortReason ??= "caller-gone";
        }
        if (request.deadlineAtMs <= this.dependencies.clock.nowMs()) {
            attempt.abortReason ??= "timeout";
        }
        attempt.isServerLeaving = this.dependencies.gate.isClosed;
        return attempt.abortReason === undefined && !attempt.isServerLeaving;
    }

    private createHeaders(request: ServerRequest, instance: string, remainingMs: number): string[] {
        const { headerNames } = this.dependencies;
        const headers = [...request.content.headers, headerNames.deadline, String(remainingMs)];
        if (instance !== "") {
            headers.push(headerNames.expectedInstance, instance);
        }
        return headers;
    }

    private toFailedOutcome(sent: boolean, detail: string, abortReason: UnknownReason | undefined): AttemptOutcome {
        if (sent) {
            return { kind: "unknown", reason: abortReason ?? "connection-lost", detail };
        }
        if (abortReason === undefined) {
            this.downUntilMs = this.dependencies.clock.nowMs() + CONNECT_BACKOFF_MS;
            this.dependencies.gate.setProbing(true);
            this.dependencies.gate.refuseWaiting("server-down");
        }
        return NOT_CONNECTED;
    }

    /** Accepts only responses that repeat the request's id, carry the server's mark and have no content encoding. */
    private toOutcome(id: string, response: ExchangeResponse): AttemptOutcome {
        const { headerNames } = this.dependencies;
        const { headers, status } = response;
        if (headers.get(headerNames.attemptId) !== id && id !== "") {
            return { kind: "unknown", reason: "answer-invalid", detail: "the answer names another request" };
        }
        if (headers.get("content-encoding") !== undefined) {
            return { kind: "unknown", reason: "answer-invalid", detail: "the answer is encoded" };
        }
        if (status === MISDIRECTED_STATUS) {
            const instance = headers.get(headerNames.instance);
            if (instance !== undefined) {
                this.dependencies.localInstance.setReported(instance);
            }
            return { kind: "not-run", reason: "other-instance", reached: true, retryAfterMs: RETRY_AFTER_FAILURE_MS };
        }
        if (headers.get(headerNames.notRun) !== undefined) {
            return {
                kind: "not-run",
                reason: "refused-by-server",
                reached: true,
                retryAfterMs: RETRY_AFTER_FAILURE_MS,
            };
        }
        if (headers.get(headerNames.signature) === undefined) {
            return { kind: "unknown", reason: "answer-invalid", detail: "the answer bears no mark of the server" };
        }
        return { kind: "answered", response };
    }
}

/** Whether a response is valid and comes from the instance that the request was for. */
function isFromExpectedInstance(outcome: AttemptOutcome): boolean {
    switch (outcome.kind) {
        case "answered":
            return true;
        case "not-run":
            return outcome.reason === "refused-by-server";
        case "unknown":
            return false;
    }
}

/** A reused address can belong to a host of another service. */
const OTHER_SERVICE: AttemptOutcome = { kind: "not-run", reason: "other-service", reached: false, retryAfterMs: 0 };

/** Timing of an attempt that did not enter the gate. */
const NOT_SENT_TIMING: AttemptTiming = { gateMs: 0, serverMs: 0 };

const NOT_CONNECTED: AttemptOutcome = {
    kind: "not-run",
    reason: "not-connected",
    reached: false,
    retryAfterMs: RETRY_AFTER_FAILURE_MS,
};

const LEAVING: AttemptOutcome = { kind: "not-run", reason: "leaving", reached: false, retryAfterMs: 0 };

/** One request in the gate or at the backend server. */
class ServerAttempt {
    exchange: Exchange | undefined;
    abortReason: UnknownReason | undefined;
    /** Whether the server had begun to leave when the request was to be sent; it was not sent then. */
    isServerLeaving = false;
    /** Time at which the gate admitted the request; undefined before. */
    admittedAtMs: number | undefined;

    constructor(
        readonly ticket: GateTicket,
        readonly enteredAtMs: number,
        readonly hasCallerDisconnected: () => boolean,
    ) {}

    abort(reason: UnknownReason): void {
        this.abortReason ??= reason;
        if (this.exchange) {
            this.exchange.abort(reason);
        }
        else {
            this.ticket.end({ kind: "abandoned" });
        }
    }
}
