/**
 * Sends requests to the backend server beside this node, as its gate admits them.
 */
import type { BacklogMonitor, Clock } from "@radishrouter/core";
import type { DownstreamPressure } from "../process/downstream-pressure.js";
import type { LocalInstance } from "../process/local-instance.js";
import type { GateTicket, ServerGate } from "../process/server-gate.js";
import type { HeaderNames } from "../request/header-names.js";
import type { Attempt, AttemptOutcome, AttemptResult, AttemptTiming, UnknownReason } from "../request/outcome.js";
import type { ServerRequest } from "../request/relayed-request.js";
import { ExchangePool } from "./http-exchange.js";
import type { Exchange, ExchangeResponse } from "./http-exchange.js";

/** Parts of a client for the own backend server. */
export interface ServerClientParts {
    readonly clock: Clock;
    readonly backlog: BacklogMonitor;
    readonly gate: ServerGate;
    readonly headerNames: HeaderNames;
    readonly hostAddress: string;
    readonly port: number;
    /** Service of the backend server on this host. */
    readonly ownService: string;
    readonly ownInstance: LocalInstance;
    readonly onwardPressure: DownstreamPressure;
}

const MAXIMUM_CONNECTIONS = 512;
const CONNECT_TIMEOUT_MS = 300;
const IDLE_MS = 4_000;
const MISDIRECTED_STATUS = 421;
/** Time for which a server that cannot be reached is not tried. */
const DOWN_MS = 150;
const RETRY_AFTER_LOSS_MS = 300;

/** Requests to the backend server on this host. */
export class ServerClient {
    private readonly pool: ExchangePool;
    private downUntilMs = 0;

    private constructor(private readonly parts: ServerClientParts) {
        this.pool = ExchangePool.create({
            hostAddress: parts.hostAddress,
            port: parts.port,
            maximumConnections: MAXIMUM_CONNECTIONS,
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
            idleMs: IDLE_MS,
        });
        parts.gate.setProbing(true);
    }

    static create(parts: ServerClientParts): ServerClient {
        return new ServerClient(parts);
    }

    /**
     * Sends one request; its outcome says whether it ran. `hasCallerLeft` tells whether who asked for it is gone, also
     * before that is announced.
     */
    send(request: ServerRequest, hasCallerLeft: () => boolean): Attempt {
        if (request.service !== this.parts.ownService) {
            return this.refuse(OTHER_SERVICE);
        }
        if (this.parts.clock.nowMs() < this.downUntilMs) {
            return this.refuse(NOT_CONNECTED);
        }
        const ticket = this.parts.gate.enter({
            route: request.content.routeName,
            priority: request.content.priority,
            isOnwardCall: request.content.isOnwardCall,
            softDeadlineAtMs: request.softDeadlineAtMs,
        });
        const run = new ServerRun(ticket, this.parts.clock.nowMs(), hasCallerLeft);
        const result = this.run(request, run).then(outcome => this.toResult(outcome, this.timingOf(run)));
        return { result, abort: reason => run.abort(reason) };
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.pool.destroy();
    }

    private refuse(outcome: AttemptOutcome): Attempt {
        return { result: Promise.resolve(this.toResult(outcome, NO_TIME)), abort: () => undefined };
    }

    private toResult(outcome: AttemptOutcome, timing: AttemptTiming): AttemptResult {
        return { outcome, onwardPressure: this.parts.onwardPressure.current(), timing };
    }

    private timingOf({ enteredAtMs, admittedAtMs }: ServerRun): AttemptTiming {
        const nowMs = this.parts.clock.nowMs();
        return { gateMs: (admittedAtMs ?? nowMs) - enteredAtMs, serverMs: nowMs - (admittedAtMs ?? nowMs) };
    }

    private async run(request: ServerRequest, run: ServerRun): Promise<AttemptOutcome> {
        const decision = await run.ticket.decision;
        if (decision.kind === "refused") {
            const { reason, retryAfterMs } = decision;
            return { kind: "not-run", reason, reached: false, retryAfterMs };
        }
        await this.readOn(run);
        const startedAtMs = this.parts.clock.nowMs();
        run.admittedAtMs = startedAtMs;
        let outcome = await this.attempt(request, run);
        if (outcome.kind === "not-run" && outcome.reason === "other-instance" && run.abortReason === undefined) {
            // The server has just said which instance it is.
            outcome = await this.attempt(request, run);
        }
        const serviceMs = this.parts.clock.nowMs() - startedAtMs;
        run.ticket.end(outcome.kind === "answered" ? { kind: "answered", serviceMs } : { kind: "abandoned" });
        return outcome;
    }

    /** A slot may be free by an answer that was read before the cancellation of the request. */
    private async readOn(run: ServerRun): Promise<void> {
        const { backlog } = this.parts;
        if (backlog.isReadingBacklog()) {
            await backlog.whenCaughtUp();
        }
        if (run.hasCallerLeft()) {
            run.abortReason ??= "caller-gone";
        }
    }

    private async attempt(request: ServerRequest, run: ServerRun): Promise<AttemptOutcome> {
        const remainingMs = Math.floor(request.deadlineAtMs - this.parts.clock.nowMs());
        if (run.abortReason !== undefined || remainingMs < 1) {
            return { kind: "not-run", reason: "no-time-left", reached: false, retryAfterMs: 0 };
        }
        const { method, target, body } = request.content;
        run.exchange = this.pool.start(
            { method, path: target, headers: this.headersOf(request, remainingMs), body },
            () => this.isWanted(request, run),
        );
        const result = await run.exchange.result;
        if (result.kind === "failed") {
            return this.readFailure(result.sent, result.reason, run.abortReason);
        }
        this.parts.gate.setProbing(false);
        return this.read(request.content.id, result.response);
    }

    /** Opening a connection takes time, in which the request may have become needless. */
    private isWanted(request: ServerRequest, run: ServerRun): boolean {
        if (run.hasCallerLeft()) {
            run.abortReason ??= "caller-gone";
        }
        if (request.deadlineAtMs <= this.parts.clock.nowMs()) {
            run.abortReason ??= "timeout";
        }
        return run.abortReason === undefined;
    }

    private headersOf(request: ServerRequest, remainingMs: number): string[] {
        const { headerNames } = this.parts;
        const headers = [...request.content.headers, headerNames.deadline, String(remainingMs)];
        const instance = this.parts.ownInstance.current ?? request.instance;
        if (instance !== "") {
            headers.push(headerNames.expectedInstance, instance);
        }
        return headers;
    }

    private readFailure(sent: boolean, detail: string, abortReason: UnknownReason | undefined): AttemptOutcome {
        if (sent) {
            return { kind: "unknown", reason: abortReason ?? "connection-lost", detail };
        }
        if (abortReason === undefined) {
            this.downUntilMs = this.parts.clock.nowMs() + DOWN_MS;
            this.parts.gate.setProbing(true);
            this.parts.gate.refuseWaiting("server-down");
        }
        return NOT_CONNECTED;
    }

    /** Accepts an answer only if it is the whole answer to this very request. */
    private read(id: string, response: ExchangeResponse): AttemptOutcome {
        const { headerNames } = this.parts;
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
                this.parts.ownInstance.setReported(instance);
            }
            return { kind: "not-run", reason: "other-instance", reached: true, retryAfterMs: RETRY_AFTER_LOSS_MS };
        }
        if (headers.get(headerNames.notRun) !== undefined) {
            return { kind: "not-run", reason: "refused-by-server", reached: true, retryAfterMs: RETRY_AFTER_LOSS_MS };
        }
        if (headers.get(headerNames.signature) === undefined) {
            return { kind: "unknown", reason: "answer-invalid", detail: "the answer bears no mark of the server" };
        }
        return { kind: "answered", response };
    }
}

/** An address that is used again can belong to a host of another service. */
const OTHER_SERVICE: AttemptOutcome = { kind: "not-run", reason: "other-service", reached: false, retryAfterMs: 0 };

const NO_TIME: AttemptTiming = { gateMs: 0, serverMs: 0 };

const NOT_CONNECTED: AttemptOutcome = {
    kind: "not-run",
    reason: "not-connected",
    reached: false,
    retryAfterMs: RETRY_AFTER_LOSS_MS,
};

/** One request in the gate or at the backend server. */
class ServerRun {
    exchange: Exchange | undefined;
    abortReason: UnknownReason | undefined;

    /** Time of the clock at which the gate let the request in; undefined before. */
    admittedAtMs: number | undefined;

    constructor(
        readonly ticket: GateTicket,
        readonly enteredAtMs: number,
        readonly hasCallerLeft: () => boolean,
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
