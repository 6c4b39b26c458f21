/**
 * Sends requests to the backend server beside this node, as its gate admits them.
 */
import type { Clock } from "@radishrouter/core";
import type { GateTicket, ServerGate } from "../process/server-gate.js";
import type { HeaderNames } from "../request/header-names.js";
import type { Outcome, Send, UnknownReason } from "../request/outcome.js";
import type { ServerRequest } from "../request/relayed-request.js";
import { ExchangePool } from "./http-exchange.js";
import type { Exchange, ExchangeResponse } from "./http-exchange.js";

/** Parts of a client for the own backend server. */
export interface ServerClientParts {
    readonly clock: Clock;
    readonly gate: ServerGate;
    readonly headerNames: HeaderNames;
    readonly hostAddress: string;
    readonly port: number;
    /** Called when the backend server said which instance it is. */
    readonly onInstance: (instance: string) => void;
}

const MAXIMUM_CONNECTIONS = 512;
const CONNECT_TIMEOUT_MS = 300;
const IDLE_MS = 4_000;
const MISDIRECTED_STATUS = 421;
/** Time for which the gate stays shut for new work after a connection was refused. */
const RETRY_AFTER_LOSS_MS = 300;

/** Requests to the backend server on this host. */
export class ServerClient {
    private readonly pool: ExchangePool;

    private constructor(private readonly parts: ServerClientParts) {
        this.pool = ExchangePool.create({
            hostAddress: parts.hostAddress,
            port: parts.port,
            maximumConnections: MAXIMUM_CONNECTIONS,
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
            idleMs: IDLE_MS,
        });
    }

    static create(parts: ServerClientParts): ServerClient {
        return new ServerClient(parts);
    }

    /** Sends one request; its outcome says whether it ran. */
    send(request: ServerRequest): Send {
        const ticket = this.parts.gate.enter({
            route: request.routeName,
            priority: request.priority,
            isOnwardCall: request.isOnwardCall,
            answerByMs: request.answerByMs,
        });
        const run = new ServerRun(ticket);
        return { outcome: this.run(request, run), abort: reason => run.abort(reason) };
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.pool.destroy();
    }

    private async run(request: ServerRequest, run: ServerRun): Promise<Outcome> {
        const decision = await run.ticket.decision;
        if (decision.kind === "refused") {
            const { reason, retryAfterMs } = decision;
            return { kind: "not-run", reason, reached: false, retryAfterMs };
        }
        const remainingMs = Math.floor(request.giveUpAtMs - this.parts.clock.nowMs());
        if (run.abortReason !== undefined || remainingMs < 1) {
            run.ticket.end({ kind: "abandoned" });
            return { kind: "not-run", reason: "no-time-left", reached: false, retryAfterMs: 0 };
        }
        const sentAtMs = this.parts.clock.nowMs();
        const exchange = this.pool.start({
            method: request.method,
            path: request.target,
            headers: this.headersOf(request, remainingMs),
            body: request.body,
        });
        run.exchange = exchange;
        const result = await exchange.result;
        if (result.kind === "failed") {
            run.ticket.end({ kind: "abandoned" });
            return this.outcomeOfFailure(result.sent, result.reason, run.abortReason);
        }
        const outcome = this.read(request, result.response);
        const serviceMs = this.parts.clock.nowMs() - sentAtMs;
        run.ticket.end(outcome.kind === "answered" ? { kind: "answered", serviceMs } : { kind: "abandoned" });
        return outcome;
    }

    private headersOf(request: ServerRequest, remainingMs: number): string[] {
        const { headerNames } = this.parts;
        const headers = [...request.headers, headerNames.deadline, String(remainingMs)];
        if (request.instance !== "") {
            headers.push(headerNames.expectedInstance, request.instance);
        }
        return headers;
    }

    private outcomeOfFailure(sent: boolean, detail: string, abortReason: UnknownReason | undefined): Outcome {
        if (!sent) {
            return { kind: "not-run", reason: "not-connected", reached: false, retryAfterMs: RETRY_AFTER_LOSS_MS };
        }
        return { kind: "unknown", reason: abortReason ?? "connection-lost", detail };
    }

    /** Accepts an answer only if it is the whole answer to this very request. */
    private read(request: ServerRequest, response: ExchangeResponse): Outcome {
        const { headerNames } = this.parts;
        const { headers, status } = response;
        if (headers.get(headerNames.attemptId) !== request.id && request.id !== "") {
            return { kind: "unknown", reason: "answer-invalid", detail: "the answer names another request" };
        }
        if (headers.get("content-encoding") !== undefined) {
            return { kind: "unknown", reason: "answer-invalid", detail: "the answer is encoded" };
        }
        if (status === MISDIRECTED_STATUS) {
            const instance = headers.get(headerNames.instance);
            if (instance !== undefined) {
                this.parts.onInstance(instance);
            }
            return { kind: "not-run", reason: "other-instance", reached: false, retryAfterMs: 0 };
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

/** One request in the gate or at the backend server. */
class ServerRun {
    exchange: Exchange | undefined;
    abortReason: UnknownReason | undefined;

    constructor(readonly ticket: GateTicket) {}

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
