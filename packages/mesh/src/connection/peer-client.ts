/**
 * Sends requests to the nodes beside other backend servers.
 */
import type { Clock } from "@radishrouter/core";
import { delay } from "@radishrouter/core";
import type { PeerHealth, PeerTrouble } from "../process/peer-health.js";
import type { KnownServer } from "../process/server-directory.js";
import type { Attempt, AttemptOutcome, AttemptResult, UnknownReason } from "../request/outcome.js";
import type { RelayedRequest } from "../request/relayed-request.js";
import { HeaderList } from "./http-exchange.js";
import type { ForwardedOutcome, ForwardedRequest, NodeState } from "./link-message.js";
import { PeerLink } from "./peer-link.js";
import type { ForwardAnswer, LinkResult } from "./peer-link.js";

/** Parts of a client for peers. */
export interface PeerClientParts {
    readonly clock: Clock;
    readonly health: PeerHealth;
    /** Port at which nodes take messages from each other. */
    readonly peerPort: number;
    /** Called with what the node at an address told of itself and its backend server. */
    readonly onState: (address: string, state: NodeState) => void;
}

const PROBE_INTERVAL_MS = 300;
const PROBE_TIMEOUT_MS = 600;
const TOKENS_TIMEOUT_MS = 60;

/** Links to peers, and probes of those that went silent. */
export class PeerClient {
    private readonly links = new Map<string, PeerLink>();
    private readonly probing = new Set<string>();
    private isClosed = false;

    private constructor(private readonly parts: PeerClientParts) {}

    static create(parts: PeerClientParts): PeerClient {
        return new PeerClient(parts);
    }

    /** Sends one request to the node beside a backend server. */
    send(server: KnownServer, request: RelayedRequest): Attempt {
        let abortReason: UnknownReason | undefined;
        const link = this.linkTo(server.hostAddress);
        const forward = link.forward(this.forwarded(server, request), request.route.idempotent);
        const result = forward.result.then(answer => readResult(server.hostAddress, answer, abortReason));
        const abort = (reason: UnknownReason) => {
            abortReason ??= reason;
            forward.cancel();
        };
        return { result, abort };
    }

    /** Asks the node at an address for tokens of an organisation; resolves with those that it gave. */
    async requestTokens(address: string, organisation: string, wanted: number): Promise<number> {
        const answer = this.linkTo(address).askForTokens(organisation, wanted);
        // Tokens that come too late are lost.
        const tooLate = delay(this.parts.clock, TOKENS_TIMEOUT_MS).then(() => 0);
        return await Promise.race([answer, tooLate]);
    }

    /** Closes all links. */
    close(): void {
        this.isClosed = true;
        this.links.forEach(link => link.destroy());
    }

    private forwarded(server: KnownServer, request: RelayedRequest): ForwardedRequest {
        const nowMs = this.parts.clock.nowMs();
        return {
            content: request.content,
            service: server.service,
            instance: server.instance,
            remainingMs: Math.max(0, Math.floor(request.deadlineAtMs - nowMs)),
            answerInMs: Math.floor(request.softDeadlineAtMs - nowMs),
        };
    }

    private linkTo(address: string): PeerLink {
        return this.links.get(address) ?? this.openLink(address);
    }

    private openLink(address: string): PeerLink {
        const { clock, peerPort, onState } = this.parts;
        const link: PeerLink = PeerLink.create({
            clock,
            address,
            port: peerPort,
            onState: state => {
                onState(address, state);
                if (state.isStopping) {
                    this.avoid(address, "stopping");
                }
            },
            onUnusable: cause => {
                if (this.links.get(address) === link) {
                    this.links.delete(address);
                }
                if (cause !== "closed" && !this.isClosed) {
                    this.avoid(address, cause);
                }
            },
        });
        this.links.set(address, link);
        return link;
    }

    private avoid(address: string, trouble: PeerTrouble): void {
        this.parts.health.record(address, trouble);
        void this.probeUntilAlive(address);
    }

    /** Asks a peer on a new connection, again and again, until it answers. */
    private async probeUntilAlive(address: string): Promise<void> {
        if (this.probing.has(address)) {
            return;
        }
        this.probing.add(address);
        while (!this.isClosed && this.parts.health.troubleOf(address) !== undefined && !await this.isAlive(address)) {
            await delay(this.parts.clock, PROBE_INTERVAL_MS);
        }
        this.probing.delete(address);
        this.parts.health.clear(address);
    }

    private isAlive(address: string): Promise<boolean> {
        const { clock, peerPort } = this.parts;
        return new Promise(resolve => {
            const end = (isAlive: boolean) => {
                timer.cancel();
                link.destroy();
                resolve(isAlive);
            };
            const onState = (state: NodeState) => end(!state.isStopping);
            const link = PeerLink.create({ clock, address, port: peerPort, onState, onUnusable: () => end(false) });
            const timer = clock.setTimer(PROBE_TIMEOUT_MS, () => end(false));
        });
    }
}

function readResult(
    address: string,
    result: LinkResult<ForwardAnswer>,
    abortReason: UnknownReason | undefined,
): AttemptResult {
    if (result.kind === "answered") {
        const { outcome, state } = result.answer;
        return { outcome: readOutcome(outcome), onwardPressure: state.onwardPressure, timing: undefined };
    }
    const outcome = outcomeOfLoss(address, result, abortReason);
    return { outcome, onwardPressure: undefined, timing: undefined };
}

function outcomeOfLoss(
    address: string,
    loss: { readonly sent: boolean; readonly isSilent: boolean; },
    abortReason: UnknownReason | undefined,
): AttemptOutcome {
    if (!loss.sent) {
        return { kind: "not-run", reason: "not-connected", reached: false, retryAfterMs: 0 };
    }
    const reason = abortReason ?? (loss.isSilent ? "silent" : "connection-lost");
    return { kind: "unknown", reason, detail: `the link to ${address} gave no answer` };
}

function readOutcome(outcome: ForwardedOutcome): AttemptOutcome {
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
