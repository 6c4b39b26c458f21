/**
 * Sends requests to the nodes beside other backend servers.
 */
import type { Clock } from "@radishrouter/core";
import type { PeerHealth, PeerTrouble } from "../process/peer-health.js";
import type { KnownServer } from "../process/server-directory.js";
import type { GateLoad } from "../process/server-gate.js";
import type { Outcome, Send, UnknownReason } from "../request/outcome.js";
import type { RelayedRequest } from "../request/relayed-request.js";
import { HeaderList } from "./http-exchange.js";
import type { ForwardedOutcome, ForwardedRequest, NodeState } from "./link-message.js";
import { PeerLink } from "./peer-link.js";
import type { LinkResult } from "./peer-link.js";

/** Parts of a client for peers. */
export interface PeerClientParts {
    readonly clock: Clock;
    readonly health: PeerHealth;
    /** Port at which nodes take messages from each other. */
    readonly peerPort: number;
    /** Called with the load that the node at an address told of its backend server. */
    readonly onLoad: (address: string, load: GateLoad) => void;
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
    send(server: KnownServer, request: RelayedRequest): Send {
        let abortReason: UnknownReason | undefined;
        const link = this.linkTo(server.hostAddress);
        const forward = link.forward(this.forwarded(server, request), request.route.idempotent);
        const outcome = forward.result.then(result => readResult(server.hostAddress, result, abortReason));
        const abort = (reason: UnknownReason) => {
            abortReason ??= reason;
            forward.cancel();
        };
        return { outcome, abort };
    }

    /** Asks the node at an address for tokens of an organisation; resolves with those that it gave. */
    async askForTokens(address: string, organisation: string, wanted: number): Promise<number> {
        // Tokens that come too late are lost.
        const answer = this.linkTo(address).askForTokens(organisation, wanted);
        let cancelWait = () => undefined as void;
        const tooLate = new Promise<number>(resolve => {
            const timer = this.parts.clock.setTimer(TOKENS_TIMEOUT_MS, () => resolve(0));
            cancelWait = () => timer.cancel();
        });
        const granted = await Promise.race([answer, tooLate]);
        cancelWait();
        return granted;
    }

    /** Closes all links. */
    close(): void {
        this.isClosed = true;
        this.links.forEach(link => link.destroy());
    }

    private forwarded(server: KnownServer, request: RelayedRequest): ForwardedRequest {
        const nowMs = this.parts.clock.nowMs();
        return {
            id: request.id,
            method: request.method,
            target: request.target,
            headers: request.headers,
            body: request.body,
            service: server.service,
            instance: server.instance,
            routeName: request.route.name,
            priority: request.priority,
            isOnwardCall: request.isOnwardCall,
            remainingMs: Math.max(0, Math.floor(request.giveUpAtMs - nowMs)),
            answerInMs: Math.floor(request.answerByMs - nowMs),
        };
    }

    private linkTo(address: string): PeerLink {
        return this.links.get(address) ?? this.openLink(address);
    }

    private openLink(address: string): PeerLink {
        const { clock, peerPort, onLoad } = this.parts;
        const link: PeerLink = PeerLink.create({
            clock,
            address,
            port: peerPort,
            onState: state => {
                onLoad(address, state.load);
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
            await this.delay(PROBE_INTERVAL_MS);
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
            link.ping();
        });
    }

    private delay(durationMs: number): Promise<void> {
        return new Promise(resolve => this.parts.clock.setTimer(durationMs, resolve));
    }
}

function readResult(
    address: string,
    result: LinkResult<ForwardedOutcome>,
    abortReason: UnknownReason | undefined,
): Outcome {
    if (result.kind === "answered") {
        return readOutcome(result.answer);
    }
    if (!result.sent) {
        return { kind: "not-run", reason: "not-connected", reached: false, retryAfterMs: 0 };
    }
    const reason = abortReason ?? (result.isSilent ? "silent" : "connection-lost");
    return { kind: "unknown", reason, detail: `the link to ${address} gave no answer` };
}

function readOutcome(outcome: ForwardedOutcome): Outcome {
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
