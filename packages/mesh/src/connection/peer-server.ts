/**
 * Takes messages of other nodes: requests for the backend server on this host, and questions for tokens.
 */
import type { BacklogMonitor, Clock, Timer } from "@radishrouter/core";
import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import type { DownstreamPressure } from "../process/downstream-pressure.js";
import type { LifeCycle } from "../process/life-cycle.js";
import type { OrganisationQuota } from "../process/organisation-quota.js";
import type { RequestLog } from "../process/request-log.js";
import type { ServerGate } from "../process/server-gate.js";
import type { Attempt, AttemptOutcome, AttemptTiming, FailedOutcome } from "../request/outcome.js";
import type { ForwardedOutcome, ForwardedRequest, LinkMessage, NodeState } from "./link-message.js";
import { MessageSocket } from "./message-socket.js";
import type { ServerClient } from "./server-client.js";

/** Parts that the listener works with. */
export interface PeerServerParts {
    readonly clock: Clock;
    readonly backlog: BacklogMonitor;
    readonly server: ServerClient;
    readonly gate: ServerGate;
    readonly quota: OrganisationQuota;
    readonly onwardPressure: DownstreamPressure;
    readonly lifeCycle: LifeCycle;
    readonly log: RequestLog;
}

type RequestMessage = Extract<LinkMessage, { kind: "request"; }>;

/** How a request came in. */
interface Arrival {
    /** Number on its connection, from 1. */
    readonly number: number;
    readonly receivedAtMs: number;
    /** Time on the way, by the own clock. */
    readonly delayMs: number;
    /** Time for which it may have waited until this process read it. */
    readonly unreadMs: number;
}

/** Delay from which a request counts as late. */
const LATE_MS = 200;
/** Time for which a late request waits for its cancellation: some round trips of a connection that flows again. */
const CANCELLATION_WAIT_MS = 25;

/** Connections that other nodes have opened to this one. */
export class PeerServer {
    readonly listener: Server;
    private readonly links = new Set<IncomingLink>();

    private constructor(parts: PeerServerParts) {
        this.listener = createServer({ noDelay: true }, socket => {
            const link = IncomingLink.create(parts, socket, () => this.links.delete(link));
            this.links.add(link);
        });
    }

    static create(parts: PeerServerParts): PeerServer {
        return new PeerServer(parts);
    }

    /** Tells all connected nodes the state of this one, as at the begin of a planned stop. */
    announceState(): void {
        this.links.forEach(link => link.sendState());
    }

    /** Closes all connections. */
    closeLinks(): void {
        this.links.forEach(link => link.destroy());
    }
}

/** One connection of another node. */
class IncomingLink {
    private readonly messages: MessageSocket;
    private readonly sends = new Map<number, Attempt>();
    /** Requests that came late and are not started yet, by number. */
    private readonly late = new Map<number, Timer>();

    private constructor(
        private readonly parts: PeerServerParts,
        private readonly socket: Socket,
        onClosed: () => void,
    ) {
        parts.backlog.recordAccepted(socket);
        this.messages = MessageSocket.create(socket, {
            onMessage: message => this.receive(message),
            onClosed: () => {
                onClosed();
                this.late.forEach(timer => timer.cancel());
                this.late.clear();
                this.sends.forEach(send => send.abort("caller-gone"));
            },
        });
    }

    static create(parts: PeerServerParts, socket: Socket, onClosed: () => void): IncomingLink {
        return new IncomingLink(parts, socket, onClosed);
    }

    sendState(): void {
        this.messages.send({ kind: "state", state: this.state() });
    }

    destroy(): void {
        this.messages.destroy();
    }

    private receive(message: LinkMessage): void {
        switch (message.kind) {
            case "request":
                this.take(message);
                return;
            case "cancel":
                this.cancel(message.number);
                return;
            case "ask-tokens": {
                const granted = this.parts.quota.grant(message.organisation, message.wanted);
                this.messages.send({ kind: "tokens", number: message.number, granted });
                return;
            }
            case "ping":
                this.sendState();
                return;
            case "outcome":
            case "tokens":
            case "state":
                this.messages.destroy();
                return;
        }
    }

    /** Starts a request; one that came late waits for the cancellation that may have been held up behind it. */
    private take({ number, sentAtMs, request }: RequestMessage): void {
        const { clock, backlog } = this.parts;
        const receivedAtMs = clock.nowMs();
        const delayMs = Math.max(0, receivedAtMs - sentAtMs);
        const unreadMs = receivedAtMs - backlog.earliestArrivalMs(this.socket);
        const arrival = { number, receivedAtMs, delayMs, unreadMs };
        if (delayMs < LATE_MS) {
            void this.run(arrival, request);
            return;
        }
        this.parts.log.decision("forwarded-request-late", {
            request: request.content.id,
            route: request.content.routeName,
            ...describe(arrival),
            remainingMs: Math.round(request.remainingMs - delayMs),
        });
        this.late.set(number, clock.setTimer(CANCELLATION_WAIT_MS, () => void this.runLate(arrival, request)));
    }

    /** The timer comes before what has arrived meanwhile, which may be the cancellation. */
    private async runLate(arrival: Arrival, request: ForwardedRequest): Promise<void> {
        await this.parts.backlog.whenCaughtUp();
        if (this.late.delete(arrival.number)) {
            await this.run(arrival, request);
        }
    }

    private cancel(number: number): void {
        this.late.get(number)?.cancel();
        this.late.delete(number);
        this.sends.get(number)?.abort("caller-gone");
    }

    /** Runs a request; the time that it has left counts from when it was sent. */
    private async run(arrival: Arrival, request: ForwardedRequest): Promise<void> {
        const { parts } = this;
        const { number } = arrival;
        parts.lifeCycle.begin();
        const send = this.start(request, arrival.receivedAtMs - arrival.delayMs);
        this.sends.set(number, send);
        const { outcome, timing } = await send.result;
        this.sends.delete(number);
        if (outcome.kind !== "answered") {
            this.logEnd(request, arrival, outcome, timing);
        }
        this.messages.send({ kind: "outcome", number, outcome: toForwarded(outcome), state: this.state() });
        parts.lifeCycle.end();
    }

    private start(request: ForwardedRequest, sentAtMs: number): Attempt {
        const serverRequest = {
            content: request.content,
            service: request.service,
            instance: request.instance,
            deadlineAtMs: sentAtMs + request.remainingMs,
            softDeadlineAtMs: sentAtMs + request.answerInMs,
        };
        return this.parts.server.send(serverRequest, () => this.messages.hasEnded);
    }

    private state(): NodeState {
        const { clock, gate, onwardPressure, lifeCycle } = this.parts;
        return {
            load: gate.load(),
            onwardPressure: onwardPressure.current(),
            isStopping: lifeCycle.isStopping,
            clockMs: clock.nowMs(),
        };
    }

    private logEnd(
        request: ForwardedRequest,
        arrival: Arrival,
        outcome: FailedOutcome,
        timing: AttemptTiming | undefined,
    ): void {
        const { open, waiting, limit } = this.parts.gate.load();
        this.parts.log.decision("forwarded-request-not-answered", {
            request: request.content.id,
            route: request.content.routeName,
            reason: outcome.kind === "not-run" ? outcome.reason : `${outcome.reason}: ${outcome.detail}`,
            ...describe(arrival),
            gateMs: timing && Math.round(timing.gateMs),
            serverMs: timing && Math.round(timing.serverMs),
            open,
            waiting,
            limit,
        });
    }
}

function describe({ number, delayMs, unreadMs }: Arrival): Readonly<Record<string, number>> {
    return { number, delayMs: Math.round(delayMs), unreadMs: Math.round(unreadMs) };
}

function toForwarded(outcome: AttemptOutcome): ForwardedOutcome {
    if (outcome.kind !== "answered") {
        return outcome;
    }
    const { status, headers, body } = outcome.response;
    return { kind: "answered", status, headers: headers.fields, body };
}
