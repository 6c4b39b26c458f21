/**
 * The connection from this node to one peer, with its pending calls: forwarded requests, token requests and questions for the
 * published state.
 *
 * A link is open once the peer's process has replied on it, and calls are sent only on an open link. The peer's host
 * may accept a connection long before the peer's process reads it, and a call that was not sent has certainly not run.
 */
import type { Clock, Timer } from "@radishrouter/core";
import { connect } from "node:net";
import type { Socket } from "node:net";
import type { TokenGrant } from "../process/organisation-quota.js";
import type { QuarantineNotice } from "../process/quarantine-exchange.js";
import type { StatePosition } from "../version/published-state.js";
import type { ForwardedOutcome, ForwardedRequest, LinkMessage, NodeState, StateReport } from "./link-message.js";
import { MessageSocket } from "./message-socket.js";
import { PeerClock } from "./peer-clock.js";
import { MAXIMUM_TIMER_DELAY_MS, ResponseMonitor } from "./response-monitor.js";
import type { TokenRequest } from "./token-broker.js";

/** Outcome of a call. `sent` is false only if the peer cannot have received the call. */
export type LinkResult<Reply> =
    | { readonly kind: "answered"; readonly answer: Reply; }
    | { readonly kind: "lost"; readonly sent: boolean; readonly isUnresponsive: boolean; };

/** Collaborators, address and callbacks of a link. */
export interface PeerLinkOptions {
    readonly clock: Clock;
    readonly address: string;
    readonly port: number;
    /** Called with the state that the peer reports, and by how much it was delayed on its way. */
    readonly onState: (state: NodeState, delayMs: number) => void;
    /** Called with what the peer tells of requests that end backend servers. */
    readonly onQuarantine?: (notice: QuarantineNotice) => void;
    /** Called when the peer has not responded to a ping for a while. */
    readonly onDoubtful: () => void;
    /** Called once, when the link accepts no new calls. */
    readonly onUnavailable: (cause: "unreachable" | "silent" | "closed") => void;
}

/** Outcome of a forwarded request, and the state of the peer that reported it. */
export interface ForwardResponse {
    readonly outcome: ForwardedOutcome;
    readonly state: NodeState;
}

/** A forwarded request that waits for its outcome. */
export interface PendingForward {
    readonly result: Promise<LinkResult<ForwardResponse>>;
    /** Cancels the request; also at the peer, if it was sent. */
    cancel(): void;
}

/** A question that waits for its answer. */
export interface PendingQuestion {
    /** Undefined if there is none. */
    readonly answer: Promise<StateReport | undefined>;
    /** Stops waiting; the answer is undefined then. */
    abandon(): void;
}

/** A message that expects a reply. */
type CallMessage = Extract<LinkMessage, { kind: "request" | "ask-tokens" | "ask-state"; }>;

/** A call whose reply is pending. */
interface PendingCall {
    readonly startedAtMs: number;
    /** Whether the call may be abandoned when the peer stops responding. */
    readonly mayAbandon: boolean;
    /** Whether the peer is pinged while the call is pending, to notice soon that it stopped responding. */
    readonly isPinged: boolean;
    readonly settle: (result: LinkResult<never>) => void;
    readonly answer: (message: LinkMessage) => void;
}

type LinkStage = "opening" | "open" | "silent" | "closed";

/** Time within which a peer must reply on a new connection. */
const OPENING_TIMEOUT_MS = 350;

/** One connection to a peer. */
export class PeerLink {
    private stage: LinkStage = "opening";
    private readonly socket: Socket;
    private readonly messages: MessageSocket;
    private readonly peerClock = PeerClock.create();
    private readonly pendingCalls = new Map<number, PendingCall>();
    /** Calls that wait until the link is open. */
    private queuedCalls: CallMessage[] = [];
    /** Notices that wait until the link is open. */
    private queuedNotices: QuarantineNotice[] = [];
    private openingTimer: Timer | undefined;
    /** Time of the first ping that the peer has not answered; undefined when there is none. */
    private firstUnansweredPingAtMs: number | undefined;
    private lastNumber = 0;
    private readonly monitor: ResponseMonitor;

    private constructor(private readonly options: PeerLinkOptions) {
        this.monitor = ResponseMonitor.create({
            clock: options.clock,
            isWaiting: () => this.hasPingedCalls(),
            ping: () => this.ping(),
            onDoubtful: options.onDoubtful,
            onUnresponsive: () => this.abandonCalls(),
        });
        this.socket = connect({ host: options.address, port: options.port, noDelay: true });
        this.messages = MessageSocket.create(this.socket, {
            onMessage: message => this.receive(message),
            onClosed: () => this.close(),
        });
        this.ping();
        this.startOpeningTimer(OPENING_TIMEOUT_MS);
    }

    static create(options: PeerLinkOptions): PeerLink {
        return new PeerLink(options);
    }

    /** Forwards a request. */
    forward(request: ForwardedRequest, mayAbandon: boolean): PendingForward {
        const number = ++this.lastNumber;
        const result = this.call<ForwardResponse>(
            { kind: "request", number, sentAtMs: this.options.clock.nowMs(), request },
            mayAbandon,
            message => message.kind === "outcome" ? { outcome: message.outcome, state: message.state } : undefined,
        );
        return { result, cancel: () => this.cancel(number) };
    }

    /** Requests tokens of an organisation; resolves with undefined if the link fails. */
    async requestTokens(request: TokenRequest): Promise<TokenGrant | undefined> {
        const number = ++this.lastNumber;
        const result = await this.call<TokenGrant>(
            { kind: "ask-tokens", number, ...request },
            true,
            message => message.kind === "tokens" ? message : undefined,
        );
        return result.kind === "answered" ? result.answer : undefined;
    }

    /** Asks for published state after a position; the peer may wait `waitMs` for it. */
    askState(position: StatePosition | undefined, waitMs: number): PendingQuestion {
        const number = ++this.lastNumber;
        const result = this.call<StateReport>(
            { kind: "ask-state", number, position, waitMs },
            true,
            message => message.kind === "published-state" ? message.report : undefined,
        );
        const answer = result.then(outcome => outcome.kind === "answered" ? outcome.answer : undefined);
        return { answer, abandon: () => this.abandonCall(number) };
    }

    /** Tells the peer of requests that end backend servers; a link that fails loses the notice. */
    tell(notice: QuarantineNotice): void {
        if (this.stage === "opening") {
            this.queuedNotices.push(notice);
            return;
        }
        this.messages.send({ kind: "quarantine", notice });
    }

    /** Closes the link; its pending calls are lost. */
    destroy(): void {
        this.messages.destroy();
    }

    private call<Reply>(
        message: CallMessage,
        mayAbandon: boolean,
        readReply: (message: LinkMessage) => Reply | undefined,
    ): Promise<LinkResult<Reply>> {
        if (this.stage === "closed") {
            return Promise.resolve({ kind: "lost", sent: false, isUnresponsive: false });
        }
        return new Promise(resolve => {
            this.pendingCalls.set(message.number, {
                startedAtMs: this.options.clock.nowMs(),
                mayAbandon,
                isPinged: message.kind !== "ask-state",
                settle: resolve,
                answer: reply => {
                    const answer = readReply(reply);
                    if (answer !== undefined) {
                        resolve({ kind: "answered", answer });
                    }
                },
            });
            if (this.stage === "opening") {
                this.queuedCalls.push(message);
                return;
            }
            this.send(message);
            this.monitor.watch();
        });
    }

    private send(message: CallMessage): void {
        const isRequest = message.kind === "request";
        this.messages.send(
            isRequest ? { ...message, sentAtMs: this.peerClock.toPeerTimeMs(message.sentAtMs) } : message,
        );
    }

    private cancel(number: number): void {
        const call = this.removeCall(number);
        if (!call) {
            return;
        }
        const isSent = this.stage !== "opening";
        if (isSent) {
            this.messages.send({ kind: "cancel", number });
        }
        else {
            this.queuedCalls = this.queuedCalls.filter(message => message.number !== number);
        }
        call.settle({ kind: "lost", sent: isSent, isUnresponsive: false });
        this.closeIfUnresponsiveAndIdle();
    }

    /** Stops waiting for a question, which need not be cancelled at the peer. */
    private abandonCall(number: number): void {
        this.queuedCalls = this.queuedCalls.filter(message => message.number !== number);
        this.removeCall(number)?.settle({ kind: "lost", sent: true, isUnresponsive: false });
        this.closeIfUnresponsiveAndIdle();
    }

    /**
     * Closes the link if the peer does not reply in time. Waits longer if this process was delayed, because it may not
     * have read the reply yet.
     */
    private startOpeningTimer(durationMs: number): void {
        const dueAtMs = this.options.clock.nowMs() + durationMs;
        this.openingTimer = this.options.clock.setTimer(durationMs, () => {
            if (this.options.clock.nowMs() - dueAtMs < MAXIMUM_TIMER_DELAY_MS) {
                this.messages.destroy();
                return;
            }
            this.startOpeningTimer(MAXIMUM_TIMER_DELAY_MS);
        });
    }

    private open(): void {
        this.stage = "open";
        this.openingTimer?.cancel();
        this.queuedNotices.splice(0).forEach(notice => this.tell(notice));
        this.queuedCalls.splice(0).forEach(message => this.send(message));
        this.monitor.watch();
    }

    private ping(): void {
        this.firstUnansweredPingAtMs ??= this.options.clock.nowMs();
        this.messages.send({ kind: "ping" });
    }

    private receive(message: LinkMessage): void {
        this.monitor.recordMessage();
        switch (message.kind) {
            case "outcome": {
                const call = this.removeCall(message.number);
                this.applyState(message.state, call?.startedAtMs);
                call?.answer(message);
                this.closeIfUnresponsiveAndIdle();
                return;
            }
            case "tokens":
            case "published-state":
                this.removeCall(message.number)?.answer(message);
                return;
            case "state":
                this.applyState(message.state, this.firstUnansweredPingAtMs);
                this.firstUnansweredPingAtMs = undefined;
                return;
            case "quarantine":
                this.options.onQuarantine?.(message.notice);
                return;
            case "request":
            case "cancel":
            case "ask-tokens":
            case "ask-state":
            case "ping":
                this.socket.destroy(new Error("a peer sent a request on a link on which it may only reply"));
                return;
        }
    }

    private applyState(state: NodeState, requestedAtMs: number | undefined): void {
        const nowMs = this.options.clock.nowMs();
        this.peerClock.recordExchange(requestedAtMs ?? -Infinity, state.clockMs, nowMs);
        if (this.stage === "opening") {
            this.open();
        }
        this.options.onState(state, this.peerClock.delayMs(state.clockMs, nowMs));
    }

    private removeCall(number: number): PendingCall | undefined {
        const call = this.pendingCalls.get(number);
        this.pendingCalls.delete(number);
        return call;
    }

    private hasPingedCalls(): boolean {
        for (const call of this.pendingCalls.values()) {
            if (call.isPinged) {
                return true;
            }
        }
        return false;
    }

    /** Abandons the calls that may be abandoned; the others stay pending, because their replies may still arrive. */
    private abandonCalls(): void {
        this.stage = "silent";
        for (const [number, call] of [...this.pendingCalls]) {
            if (call.mayAbandon) {
                this.pendingCalls.delete(number);
                // A peer that receives the request later must not run it: it may have been sent elsewhere since.
                this.messages.send({ kind: "cancel", number });
                call.settle({ kind: "lost", sent: true, isUnresponsive: true });
            }
        }
        this.options.onUnavailable("silent");
        this.closeIfUnresponsiveAndIdle();
    }

    private closeIfUnresponsiveAndIdle(): void {
        if (this.stage === "silent" && this.pendingCalls.size === 0) {
            this.messages.reset();
        }
    }

    private close(): void {
        const previousStage = this.stage;
        this.stage = "closed";
        this.monitor.stop();
        this.openingTimer?.cancel();
        this.queuedCalls = [];
        for (const call of this.pendingCalls.values()) {
            call.settle({
                kind: "lost",
                sent: previousStage !== "opening",
                isUnresponsive: previousStage === "silent",
            });
        }
        this.pendingCalls.clear();
        if (previousStage !== "silent") {
            this.options.onUnavailable(previousStage === "opening" ? "unreachable" : "closed");
        }
    }
}
