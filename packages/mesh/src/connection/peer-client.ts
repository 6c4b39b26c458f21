/**
 * Sends requests and questions to other nodes (peers).
 */
import type { Clock } from "@radishrouter/core";
import { delay } from "@radishrouter/core";
import type { TokenGrant } from "../process/organisation-quota.js";
import type { PeerHealth, PeerTrouble } from "../process/peer-health.js";
import type { QuarantineNotice } from "../process/quarantine-exchange.js";
import type { ReportDistribution } from "../process/report-distribution.js";
import type { KnownServer } from "../process/server-directory.js";
import type { Attempt, AttemptOutcome, AttemptResult, UnknownReason } from "../request/outcome.js";
import type { RelayedRequest } from "../request/relayed-request.js";
import type { StatePosition } from "../version/published-state.js";
import { HeaderList } from "./http-exchange.js";
import type { ForwardedOutcome, ForwardedRequest, NodeState, StateReport } from "./link-message.js";
import { PeerLink } from "./peer-link.js";
import type { ForwardResponse, LinkResult } from "./peer-link.js";
import type { TokenRequest } from "./token-broker.js";

/** Collaborators and settings of the client for peers. */
export interface PeerClientDependencies {
    readonly clock: Clock;
    readonly health: PeerHealth;
    /** Port on which nodes accept connections from each other. */
    readonly peerPort: number;
    /** Whether the host at an address belongs to the fleet. */
    readonly isInFleet: (address: string) => boolean;
    /** Called with the state that the node at an address reported `delayMs` ago for itself and its backend server. */
    readonly onState: (address: string, state: NodeState, delayMs: number) => void;
    /** Reports of other servers that are sent with requests; without it none are. */
    readonly distribution?: ReportDistribution;
    /** Called with what the node at an address tells of requests that end backend servers. */
    readonly onQuarantine: (address: string, notice: QuarantineNotice) => void;
    /** Called when a peer has not responded to a ping for a while. */
    readonly onDoubtful: (address: string) => void;
    /** Called with tokens that a peer granted after the request for them had timed out. */
    readonly onLateTokens: (organisation: string, granted: number) => void;
}

/** Short, because a process that starts refuses connections for a moment only. */
const INITIAL_PROBE_INTERVAL_MS = 150;
const MAXIMUM_PROBE_INTERVAL_MS = 1_000;
const PROBE_INTERVAL_FACTOR = 1.5;
/** Random reduction of an interval, as a fraction of it. */
const PROBE_JITTER = 0.3;
const PROBE_TIMEOUT_MS = 600;
const TOKENS_TIMEOUT_MS = 120;
/** Time for an answer about the published state, in addition to the time for which the peer may wait. */
const STATE_TIMEOUT_MS = 300;

/** Links to peers; probes peers that failed until they respond again. */
export class PeerClient {
    private readonly links = new Map<string, PeerLink>();
    private readonly probing = new Set<string>();
    private isClosed = false;

    private constructor(private readonly dependencies: PeerClientDependencies) {}

    static create(dependencies: PeerClientDependencies): PeerClient {
        return new PeerClient(dependencies);
    }

    /** Sends one request to the node on a backend server's host; `isTrial` if it may end the server. */
    send(server: KnownServer, request: RelayedRequest, isTrial: boolean): Attempt {
        let abortReason: UnknownReason | undefined;
        const link = this.getLink(server.hostAddress);
        const forwarded = this.toForwardedRequest(server, request);
        const forward = link.forward(isTrial ? { ...forwarded, isTrial } : forwarded, request.route.idempotent);
        const result = forward.result.then(linkResult => toAttemptResult(server.hostAddress, linkResult, abortReason));
        const abort = (reason: UnknownReason) => {
            abortReason ??= reason;
            forward.cancel();
        };
        return { result, abort };
    }

    /**
     * Requests tokens of an organisation from the node at an address. Resolves with undefined when it gives no answer
     * in time; tokens that it grants later are handed to `onLateTokens`, so that they are not lost.
     */
    async requestTokens(address: string, request: TokenRequest): Promise<TokenGrant | undefined> {
        let isLate = false;
        const grant = this.getLink(address).requestTokens(request).then(reply => {
            if (isLate && reply && reply.granted > 0) {
                this.dependencies.onLateTokens(request.organisation, reply.granted);
            }
            return reply;
        });
        const timeout = delay(this.dependencies.clock, TOKENS_TIMEOUT_MS).then(() => {
            isLate = true;
            return undefined;
        });
        return await Promise.race([grant, timeout]);
    }

    /**
     * Asks the node at an address for retries of a service; resolves with what it granted, however late, or with undefined
     * if the link fails.
     */
    async requestRetries(address: string, service: string, wanted: number): Promise<number | undefined> {
        const request = { organisation: "", wanted, isReserve: false, retriesOf: service };
        return (await this.getLink(address).requestTokens(request))?.granted;
    }

    /**
     * Asks the node at an address for published state after a position; it may wait `waitMs` for something newer.
     * Resolves with undefined when it gives no answer.
     */
    async askState(
        address: string,
        position: StatePosition | undefined,
        waitMs: number,
    ): Promise<StateReport | undefined> {
        const question = this.getLink(address).askState(position, waitMs);
        const timer = this.dependencies.clock.setTimer(waitMs + STATE_TIMEOUT_MS, () => question.abandon());
        const report = await question.answer;
        timer.cancel();
        return report;
    }

    /** Tells the node at an address of requests that end backend servers. */
    tell(address: string, notice: QuarantineNotice): void {
        this.getLink(address).tell(notice);
    }

    /** Closes all links. */
    close(): void {
        this.isClosed = true;
        this.links.forEach(link => link.destroy());
    }

    private toForwardedRequest(server: KnownServer, request: RelayedRequest): ForwardedRequest {
        const nowMs = this.dependencies.clock.nowMs();
        const others = this.dependencies.distribution?.take(server.service, server.hostAddress);
        return {
            content: request.content,
            service: server.service,
            instance: server.instance,
            remainingMs: Math.max(0, Math.floor(request.deadlineAtMs - nowMs)),
            answerInMs: Math.floor(request.softDeadlineAtMs - nowMs),
            ...others && { others },
        };
    }

    private getLink(address: string): PeerLink {
        return this.links.get(address) ?? this.openLink(address);
    }

    private openLink(address: string): PeerLink {
        const { clock, peerPort, onState, onDoubtful, onQuarantine } = this.dependencies;
        const link: PeerLink = PeerLink.create({
            clock,
            address,
            port: peerPort,
            onState: (state, delayMs) => {
                onState(address, state, delayMs);
                if (state.isStopping) {
                    this.markFailed(address, "stopping");
                }
            },
            onQuarantine: notice => onQuarantine(address, notice),
            onDoubtful: () => onDoubtful(address),
            onUnavailable: cause => {
                if (this.links.get(address) === link) {
                    this.links.delete(address);
                }
                if (cause !== "closed" && !this.isClosed) {
                    this.markFailed(address, cause);
                }
            },
        });
        this.links.set(address, link);
        return link;
    }

    private markFailed(address: string, failure: PeerTrouble): void {
        this.dependencies.health.record(address, failure);
        void this.probeUntilAlive(address);
    }

    /**
     * Pings a peer, each time on a new connection, until it responds or its host leaves the fleet. The interval grows,
     * because every node that used the peer probes it.
     */
    private async probeUntilAlive(address: string): Promise<void> {
        if (this.probing.has(address)) {
            return;
        }
        this.probing.add(address);
        let intervalMs = INITIAL_PROBE_INTERVAL_MS;
        while (this.mustProbe(address) && !await this.isAlive(address)) {
            await delay(this.dependencies.clock, intervalMs * (1 - Math.random() * PROBE_JITTER));
            intervalMs = Math.min(MAXIMUM_PROBE_INTERVAL_MS, intervalMs * PROBE_INTERVAL_FACTOR);
        }
        this.probing.delete(address);
        this.dependencies.health.clear(address);
    }

    private mustProbe(address: string): boolean {
        const { health, isInFleet } = this.dependencies;
        return !this.isClosed && !health.isUsable(address) && isInFleet(address);
    }

    private isAlive(address: string): Promise<boolean> {
        const { clock, peerPort } = this.dependencies;
        return new Promise(resolve => {
            const end = (isAlive: boolean) => {
                timer.cancel();
                link.destroy();
                resolve(isAlive);
            };
            const onState = (state: NodeState) => end(!state.isStopping);
            const link = PeerLink.create({
                clock,
                address,
                port: peerPort,
                onState,
                onDoubtful: () => undefined,
                onUnavailable: () => end(false),
            });
            const timer = clock.setTimer(PROBE_TIMEOUT_MS, () => end(false));
        });
    }
}

function toAttemptResult(
    address: string,
    result: LinkResult<ForwardResponse>,
    abortReason: UnknownReason | undefined,
): AttemptResult {
    if (result.kind === "answered") {
        const { outcome, state } = result.answer;
        const { onwardPressure, excess } = state;
        return { outcome: toAttemptOutcome(outcome), onwardPressure, excess, timing: undefined };
    }
    const outcome = toLostOutcome(address, result, abortReason);
    return { outcome, onwardPressure: undefined, timing: undefined };
}

function toLostOutcome(
    address: string,
    loss: { readonly sent: boolean; readonly isUnresponsive: boolean; },
    abortReason: UnknownReason | undefined,
): AttemptOutcome {
    if (!loss.sent) {
        return { kind: "not-run", reason: "not-connected", reached: false, retryAfterMs: 0 };
    }
    const reason = abortReason ?? (loss.isUnresponsive ? "silent" : "connection-lost");
    return { kind: "unknown", reason, detail: `the link to ${address} gave no answer` };
}

function toAttemptOutcome(outcome: ForwardedOutcome): AttemptOutcome {
    switch (outcome.kind) {
        case "answered": {
            const { status, headers, body } = outcome;
            return { kind: "answered", response: { status, headers: HeaderList.create(headers), body } };
        }
        case "not-run":
        case "unknown":
            return outcome;
    }
}
