/**
 * Handles messages of other nodes: requests for the backend server on this host, token requests, and questions for the
 * published state.
 */
import type { BacklogMonitor, Clock, Timer } from "@radishrouter/core";
import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { RETRY_AFTER_NO_ROOM_MS } from "../process/body-budget.js";
import type { BodyBudget, BodyReservation } from "../process/body-budget.js";
import { NO_EXCESS } from "../process/capacity-meter.js";
import type { CrashingRequests } from "../process/crashing-requests.js";
import type { LifeCycle } from "../process/life-cycle.js";
import type { ListenerLimits } from "../process/listener-limits.js";
import type { OrganisationQuota, TokenGrant } from "../process/organisation-quota.js";
import type { CallPressure } from "../process/overload-signal.js";
import type { ReportDistribution } from "../process/report-distribution.js";
import type { RequestLog } from "../process/request-log.js";
import type { ServerStart } from "../process/server-directory.js";
import type { ServerGate } from "../process/server-gate.js";
import type { ServerSpeed } from "../process/server-speed.js";
import type { StalledSenders } from "../process/stalled-senders.js";
import type { Attempt, AttemptOutcome, AttemptTiming, FailedOutcome } from "../request/outcome.js";
import type { ForwardedOutcome, ForwardedRequest, LinkMessage, NodeState } from "./link-message.js";
import { MessageSocket } from "./message-socket.js";
import type { MessagePace } from "./message-socket.js";
import { decodeQuarantineNotice } from "./quarantine-notice-decoder.js";
import type { ServerClient } from "./server-client.js";
import type { StateAnswers } from "./state-answers.js";

/** Collaborators of the server for peers. */
export interface PeerServerDependencies {
    readonly clock: Clock;
    readonly backlog: BacklogMonitor;
    readonly server: ServerClient;
    readonly gate: ServerGate;
    readonly quota: OrganisationQuota;
    /** Takes up to `wanted` retries of a service from the budget of this node for another one; returns how many. */
    readonly lendRetries: (service: string, wanted: number, borrower: string) => number;
    readonly onwardPressure: CallPressure;
    readonly stateAnswers: StateAnswers;
    /** Memory for the bodies that other nodes forward. */
    readonly bodyBudget: BodyBudget;
    /** Limits of connections; without them there are none. */
    readonly limits?: { readonly limits: ListenerLimits; readonly stalledPeers: StalledSenders; };
    readonly onLimit?: (limit: "connections") => void;
    readonly crashing: CrashingRequests;
    /** Speed of the local backend server; without it none is reported. */
    readonly speed?: ServerSpeed;
    /** Reports of other servers, which come with requests and go out with outcomes; without it there are none. */
    readonly distribution?: ReportDistribution;
    /** Start of the local backend server that leaves; undefined if it does not leave. */
    readonly leavingServer: () => ServerStart | undefined;
    readonly lifeCycle: LifeCycle;
    readonly log: RequestLog;
}

type RequestMessage = Extract<LinkMessage, { kind: "request"; }>;
type TokenQuestion = Extract<LinkMessage, { kind: "ask-tokens"; }>;

/** Timing of a request's arrival. */
interface Arrival {
    /** Number of the request on its connection, from 1. */
    readonly number: number;
    readonly receivedAtMs: number;
    /** Time from sending to receipt, on the local clock. */
    readonly delayMs: number;
    /** Upper bound of the time that it waited in the input backlog. */
    readonly unreadMs: number;
}

/** A late request that is not started yet. */
interface LateRequest {
    readonly timer: Timer;
    readonly reservation: BodyReservation;
}

/** Delay from which a request counts as late. */
const LATE_AFTER_MS = 200;
/** Time that a late request waits for a cancellation: some round trips of a connection that works again. */
const CANCELLATION_WAIT_MS = 25;

/** Outcome of a request whose body does not fit into the memory for bodies. */
const NO_ROOM: FailedOutcome = {
    kind: "not-run",
    reason: "no-room",
    reached: false,
    retryAfterMs: RETRY_AFTER_NO_ROOM_MS,
};

/** Time without a message from which a connection may be closed for a new one. */
const GIVE_UP_AFTER_MS = 1_000;

/** Connections that other nodes have opened to this node. */
export class PeerServer {
    readonly listener: Server;
    private readonly links = new Set<IncomingLink>();

    private constructor(dependencies: PeerServerDependencies) {
        this.listener = createServer({ noDelay: true }, socket => {
            if (!this.hasRoomForLink(dependencies)) {
                dependencies.onLimit?.("connections");
                socket.destroy();
                return;
            }
            const link = IncomingLink.create(dependencies, socket, () => this.links.delete(link));
            this.links.add(link);
        });
    }

    static create(dependencies: PeerServerDependencies): PeerServer {
        return new PeerServer(dependencies);
    }

    /** Closes the oldest connection that has sent no message, if all connections are taken; false if there is none. */
    private hasRoomForLink({ limits, clock, onLimit }: PeerServerDependencies): boolean {
        if (!limits || this.links.size < limits.limits.peerConnections) {
            return true;
        }
        const unused = [...this.links].find(link => link.isUnusedSince(clock.nowMs() - GIVE_UP_AFTER_MS));
        if (unused) {
            onLimit?.("connections");
            this.links.delete(unused);
            unused.destroy();
        }
        return unused !== undefined;
    }

    /** Sends the state of this node to all connected nodes, for example when a planned shutdown begins. */
    announceState(): void {
        this.links.forEach(link => link.sendState());
    }

    /** Sends what is pending and closes all connections; resolves when they are closed. */
    async closeLinks(): Promise<void> {
        await Promise.all([...this.links].map(link => link.close()));
    }
}

/** One connection of another node. */
class IncomingLink {
    private readonly messages: MessageSocket;
    private readonly openedAtMs: number;
    private hasSentMessage = false;
    private readonly attempts = new Map<number, Attempt>();
    /** Late requests that are not started yet, by request number. */
    private readonly lateRequests = new Map<number, LateRequest>();

    private constructor(
        private readonly dependencies: PeerServerDependencies,
        private readonly socket: Socket,
        onClosed: () => void,
    ) {
        dependencies.backlog.recordAccepted(socket);
        this.openedAtMs = dependencies.clock.nowMs();
        this.messages = MessageSocket.create(
            socket,
            {
                onMessage: message => this.receive(message),
                onClosed: () => {
                    onClosed();
                    [...this.lateRequests.keys()].forEach(number => this.dropLate(number));
                    this.attempts.forEach(attempt => attempt.abort("caller-gone"));
                },
                onWaitingForRoom: () => this.sendState(),
            },
            dependencies.bodyBudget,
            toPace(dependencies),
        );
    }

    static create(dependencies: PeerServerDependencies, socket: Socket, onClosed: () => void): IncomingLink {
        return new IncomingLink(dependencies, socket, onClosed);
    }

    sendState(): void {
        this.messages.send({ kind: "state", state: this.state() });
    }

    close(): Promise<void> {
        return this.messages.close();
    }

    destroy(): void {
        this.messages.destroy();
    }

    /** Whether the connection was opened before a time and has sent no message yet. */
    isUnusedSince(timeMs: number): boolean {
        return !this.hasSentMessage && this.openedAtMs <= timeMs;
    }

    private receive(message: LinkMessage): void {
        this.hasSentMessage ||= typeof message?.kind === "string";
        switch (message.kind) {
            case "request":
                this.receiveRequest(message);
                return;
            case "cancel":
                this.cancel(message.number);
                return;
            case "ask-tokens":
                this.messages.send({ kind: "tokens", number: message.number, ...this.grantTokens(message) });
                return;
            case "ask-state": {
                const { number, position, waitMs } = message;
                this.dependencies.stateAnswers.answer(position, waitMs, report => {
                    this.messages.send({ kind: "published-state", number, report });
                });
                return;
            }
            case "ping":
                this.sendState();
                return;
            case "quarantine": {
                const reply = this.dependencies.crashing.receive(
                    decodeQuarantineNotice(message.notice),
                    this.socket.remoteAddress ?? "",
                );
                if (reply) {
                    this.messages.send({ kind: "quarantine", notice: reply });
                }
                return;
            }
            case "outcome":
            case "tokens":
            case "published-state":
            case "state":
                this.messages.destroy();
                return;
        }
    }

    private grantTokens({ organisation, wanted, isReserve, retriesOf }: TokenQuestion): TokenGrant {
        const { quota, lendRetries } = this.dependencies;
        if (retriesOf !== undefined) {
            return { granted: lendRetries(retriesOf, wanted, this.socket.remoteAddress ?? ""), nextTokenInMs: 0 };
        }
        return isReserve ? quota.grantReserve(organisation, wanted) : quota.grant(organisation, wanted);
    }

    /** Starts a request. A late request waits first, because its cancellation may have been delayed behind it. */
    private receiveRequest({ number, sentAtMs, request }: RequestMessage): void {
        const { clock, backlog } = this.dependencies;
        const receivedAtMs = clock.nowMs();
        const delayMs = Math.max(0, receivedAtMs - sentAtMs);
        const unreadMs = receivedAtMs - backlog.earliestArrivalMs(this.socket);
        const arrival = { number, receivedAtMs, delayMs, unreadMs };
        this.dependencies.distribution?.apply(request.others, delayMs);
        const reservation = this.reserve(request);
        if (!reservation) {
            this.messages.send({ kind: "outcome", number, outcome: NO_ROOM, state: this.state() });
            return;
        }
        if (delayMs < LATE_AFTER_MS) {
            void this.run(arrival, request, reservation);
            return;
        }
        this.dependencies.log.decision("forwarded-request-late", {
            request: request.content.id,
            route: request.content.routeName,
            ...toLogFields(arrival),
            remainingMs: Math.round(request.remainingMs - delayMs),
        });
        const timer = clock.setTimer(CANCELLATION_WAIT_MS, () => void this.runLate(arrival, request));
        this.lateRequests.set(number, { timer, reservation });
    }

    /** Counts the body of a request; undefined if it does not fit. One larger than all of the memory fits alone. */
    private reserve({ content }: ForwardedRequest): BodyReservation | undefined {
        const { bodyBudget } = this.dependencies;
        const reservation = bodyBudget.open();
        const bytes = Math.min(content.body?.length ?? 0, bodyBudget.maximumBytes);
        return reservation.tryAdd(bytes) ? reservation : undefined;
    }

    private dropLate(number: number): void {
        const late = this.lateRequests.get(number);
        late?.timer.cancel();
        late?.reservation.release();
        this.lateRequests.delete(number);
    }

    /** Reads pending input first: the timer can fire before a cancellation that has arrived is read. */
    private async runLate(arrival: Arrival, request: ForwardedRequest): Promise<void> {
        await this.dependencies.backlog.whenCaughtUp();
        const late = this.lateRequests.get(arrival.number);
        if (late) {
            this.lateRequests.delete(arrival.number);
            await this.run(arrival, request, late.reservation);
        }
    }

    private cancel(number: number): void {
        this.dropLate(number);
        this.attempts.get(number)?.abort("caller-gone");
    }

    /**
     * Runs a request; its remaining time counts from the time at which it was sent. A request that cannot be run because
     * it is malformed costs the peer its connection.
     */
    private async run(arrival: Arrival, request: ForwardedRequest, reservation: BodyReservation): Promise<void> {
        const { lifeCycle, log } = this.dependencies;
        const { number } = arrival;
        lifeCycle.begin();
        try {
            const attempt = this.start(request, arrival.receivedAtMs - arrival.delayMs);
            this.attempts.set(number, attempt);
            const { outcome, timing } = await attempt.result;
            if (outcome.kind !== "answered") {
                this.logFailure(request, arrival, outcome, timing);
            }
            const state = this.stateFor(request.service);
            this.messages.send({ kind: "outcome", number, outcome: toForwardedOutcome(outcome), state });
        }
        catch (error) {
            log.problem("peer-message-refused", { peer: this.socket.remoteAddress, problem: String(error) });
            this.messages.destroy();
        }
        finally {
            this.attempts.delete(number);
            reservation.release();
            lifeCycle.end();
        }
    }

    private start(request: ForwardedRequest, sentAtMs: number): Attempt {
        const serverRequest = {
            content: request.content,
            service: request.service,
            instance: request.instance,
            isTrial: request.isTrial === true,
            deadlineAtMs: sentAtMs + request.remainingMs,
            softDeadlineAtMs: sentAtMs + request.answerInMs,
        };
        return this.dependencies.server.send(serverRequest, () => this.messages.hasEnded);
    }

    /** State that goes out with an outcome, with reports of other servers of the service if some are due. */
    private stateFor(service: string): NodeState {
        const others = this.dependencies.distribution?.take(service, this.socket.remoteAddress ?? "");
        return others ? { ...this.state(), others } : this.state();
    }

    private state(): NodeState {
        const { clock, gate, speed, onwardPressure, leavingServer, lifeCycle } = this.dependencies;
        const excess = gate.excess();
        return {
            load: gate.load(),
            ...speed?.report(),
            onwardPressure: onwardPressure.current(),
            rateShare: gate.rateShare(),
            leaving: leavingServer(),
            isStopping: lifeCycle.isStopping,
            clockMs: clock.nowMs(),
            ...(excess === NO_EXCESS ? undefined : { excess }),
        };
    }

    private logFailure(
        request: ForwardedRequest,
        arrival: Arrival,
        outcome: FailedOutcome,
        timing: AttemptTiming | undefined,
    ): void {
        const { open, waiting, limit } = this.dependencies.gate.load();
        this.dependencies.log.decision("forwarded-request-not-answered", {
            request: request.content.id,
            route: request.content.routeName,
            priority: request.content.priority,
            organisation: request.content.organisation,
            reason: outcome.kind === "not-run" ? outcome.reason : `${outcome.reason}: ${outcome.detail}`,
            ...toLogFields(arrival),
            gateMs: timing && Math.round(timing.gateMs),
            serverMs: timing && Math.round(timing.serverMs),
            open,
            waiting,
            limit,
        });
    }
}

function toPace({ limits }: PeerServerDependencies): MessagePace | undefined {
    return limits && { stalled: limits.stalledPeers, stallTimeoutMs: limits.limits.stallTimeoutMs };
}

function toLogFields({ number, delayMs, unreadMs }: Arrival): Readonly<Record<string, number>> {
    return { number, delayMs: Math.round(delayMs), unreadMs: Math.round(unreadMs) };
}

function toForwardedOutcome(outcome: AttemptOutcome): ForwardedOutcome {
    if (outcome.kind !== "answered") {
        return outcome;
    }
    const { status, headers, body } = outcome.response;
    return { kind: "answered", status, headers: headers.fields, body };
}
