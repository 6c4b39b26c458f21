/**
 * Sends requests to the nodes beside other backend servers.
 */
import type { Clock, Timer } from "@radishrouter/core";
import type { PeerHealth } from "../process/peer-health.js";
import type { KnownServer } from "../process/server-directory.js";
import type { GateLoad } from "../process/server-gate.js";
import { answerHeader, forwardHeader, passOn } from "../request/header-names.js";
import type { NotRunReason, Outcome, Send, UnknownReason } from "../request/outcome.js";
import type { RelayedRequest } from "../request/relayed-request.js";
import { ExchangePool, HeaderList } from "./http-exchange.js";
import type { ExchangeResponse, ExchangeResult } from "./http-exchange.js";

/** Parts of a client for peers. */
export interface PeerClientParts {
    readonly clock: Clock;
    readonly health: PeerHealth;
    /** Port at which nodes take requests from each other. */
    readonly peerPort: number;
    /** Called with the load that a peer told of its backend server. */
    readonly onLoad: (server: KnownServer, load: GateLoad) => void;
}

const MAXIMUM_CONNECTIONS = 128;
const CONNECT_TIMEOUT_MS = 350;
const IDLE_MS = 8_000;
/** A peer tells that it works on a request after this time, and again as often. */
export const PROGRESS_MS = 200;
/** Silence of a peer about a request after which it is probed. */
const SILENCE_MS = 900;
const PROBE_INTERVAL_MS = 300;
const PROBE_TIMEOUT_MS = 600;
/** Path at which nodes answer probes of each other. */
export const PROBE_PATH = "/radishrouter/alive";
/** Path at which nodes give each other tokens. */
export const TOKENS_PATH = "/radishrouter/tokens";
const TOKENS_TIMEOUT_MS = 60;
const OK_STATUS = 200;

/** Requests to peers, and probes of those that went silent. */
export class PeerClient {
    private readonly pools = new Map<string, ExchangePool>();
    private readonly probing = new Set<string>();

    private constructor(private readonly parts: PeerClientParts) {}

    static create(parts: PeerClientParts): PeerClient {
        return new PeerClient(parts);
    }

    /** Sends one request to the node beside a backend server. */
    send(server: KnownServer, request: RelayedRequest): Send {
        const { clock } = this.parts;
        let abortReason: UnknownReason | undefined;
        let heardAtMs = clock.nowMs();
        const exchange = this.poolOf(server.hostAddress).start(
            {
                method: request.method,
                path: request.target,
                headers: this.headersOf(server, request),
                body: request.body,
            },
            {
                onSent: () => heardAtMs = clock.nowMs(),
                onInformation: () => heardAtMs = clock.nowMs(),
            },
        );
        const abort = (reason: UnknownReason) => {
            abortReason ??= reason;
            exchange.abort(reason);
        };
        const watch = this.watchSilence(server, () => heardAtMs, request.route.idempotent ? abort : undefined);
        const outcome = exchange.result.then(result => {
            watch.cancel();
            return this.read(server, result, abortReason);
        });
        return { outcome, abort };
    }

    /** Asks the node at an address for tokens of an organisation; resolves with those that it gave. */
    async askForTokens(address: string, organisation: string, wanted: number): Promise<number> {
        const path = `${TOKENS_PATH}?${new URLSearchParams({ organisation, wanted: String(wanted) })}`;
        const exchange = this.poolOf(address).start({ method: "POST", path, headers: [], body: undefined });
        const timer = this.parts.clock.setTimer(TOKENS_TIMEOUT_MS, () => exchange.abort("no tokens in time"));
        const result = await exchange.result;
        timer.cancel();
        if (result.kind === "failed" || result.response.status !== OK_STATUS) {
            return 0;
        }
        return Number(result.response.body.toString("latin1")) || 0;
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await Promise.all([...this.pools.values()].map(pool => pool.destroy()));
    }

    private headersOf(server: KnownServer, request: RelayedRequest): string[] {
        const nowMs = this.parts.clock.nowMs();
        const headers = [
            ...request.headers,
            forwardHeader.service,
            server.service,
            forwardHeader.instance,
            server.instance,
            forwardHeader.route,
            request.route.name,
            forwardHeader.priority,
            String(request.priority),
            forwardHeader.remainingMs,
            String(Math.max(0, Math.floor(request.giveUpAtMs - nowMs))),
            forwardHeader.answerInMs,
            String(Math.floor(request.answerByMs - nowMs)),
        ];
        if (request.isOnwardCall) {
            headers.push(forwardHeader.onwardCall, "1");
        }
        return headers;
    }

    /**
     * Watches for a peer that says nothing about a request. The peer is avoided and probed; a request that may run
     * more than once is given up by `abort`.
     */
    private watchSilence(
        server: KnownServer,
        heardAtMs: () => number,
        abort: ((reason: UnknownReason) => void) | undefined,
    ): Timer {
        const { clock, health } = this.parts;
        let timer: Timer;
        const check = () => {
            const silentMs = clock.nowMs() - heardAtMs();
            if (silentMs < SILENCE_MS) {
                timer = clock.setTimer(SILENCE_MS - silentMs, check);
                return;
            }
            health.record(server.hostAddress, "silent");
            this.probe(server.hostAddress);
            abort?.("silent");
        };
        timer = clock.setTimer(SILENCE_MS, check);
        return { cancel: () => timer.cancel() };
    }

    private read(server: KnownServer, result: ExchangeResult, abortReason: UnknownReason | undefined): Outcome {
        if (result.kind === "failed") {
            return this.readFailure(server, result, abortReason);
        }
        const { response } = result;
        this.readState(server, response);
        switch (response.headers.get(answerHeader.outcome)) {
            case "answered":
                return { kind: "answered", response: withoutNodeHeaders(response) };
            case "not-run":
                return {
                    kind: "not-run",
                    reason: (response.headers.get(answerHeader.reason) ?? "leaving") as NotRunReason,
                    reached: response.headers.get(answerHeader.reached) === "1",
                    retryAfterMs: Number(response.headers.get(answerHeader.retryAfterMs)) || 0,
                };
            case "unknown":
                return {
                    kind: "unknown",
                    reason: (response.headers.get(answerHeader.reason) ?? "connection-lost") as UnknownReason,
                    detail: `told by ${server.hostAddress}`,
                };
            default:
                return { kind: "unknown", reason: "answer-invalid", detail: `no outcome from ${server.hostAddress}` };
        }
    }

    private readFailure(
        server: KnownServer,
        result: { readonly sent: boolean; readonly reason: string; },
        abortReason: UnknownReason | undefined,
    ): Outcome {
        if (result.sent) {
            return { kind: "unknown", reason: abortReason ?? "connection-lost", detail: result.reason };
        }
        if (abortReason === undefined) {
            this.parts.health.record(server.hostAddress, "unreachable");
            this.probe(server.hostAddress);
        }
        return { kind: "not-run", reason: "not-connected", reached: false, retryAfterMs: 0 };
    }

    private readState(server: KnownServer, response: ExchangeResponse): void {
        const load = readLoad(response.headers.get(answerHeader.load));
        if (load) {
            this.parts.onLoad(server, load);
        }
        if (response.headers.get(answerHeader.stopping) !== undefined) {
            this.parts.health.record(server.hostAddress, "stopping");
        }
    }

    /** Asks a peer on a new connection until it answers; then uses new connections to it. */
    private probe(address: string): void {
        if (this.probing.has(address)) {
            return;
        }
        this.probing.add(address);
        void this.probeUntilAlive(address);
    }

    private async probeUntilAlive(address: string): Promise<void> {
        const { clock, health } = this.parts;
        const renewed = this.pools.get(address);
        this.pools.delete(address);
        void renewed?.close();
        while (health.troubleOf(address) !== undefined && !await this.isAlive(address)) {
            await new Promise<void>(resolve => clock.setTimer(PROBE_INTERVAL_MS, resolve));
        }
        this.probing.delete(address);
        health.clear(address);
    }

    private async isAlive(address: string): Promise<boolean> {
        const pool = this.createPool(address);
        const exchange = pool.start({ method: "GET", path: PROBE_PATH, headers: [], body: undefined });
        const timer = this.parts.clock.setTimer(PROBE_TIMEOUT_MS, () => exchange.abort("the probe was not answered"));
        const result = await exchange.result;
        timer.cancel();
        void pool.destroy();
        return result.kind === "answered" && result.response.status === OK_STATUS;
    }

    private poolOf(address: string): ExchangePool {
        let pool = this.pools.get(address);
        if (!pool) {
            pool = this.createPool(address);
            this.pools.set(address, pool);
        }
        return pool;
    }

    private createPool(address: string): ExchangePool {
        return ExchangePool.create({
            hostAddress: address,
            port: this.parts.peerPort,
            maximumConnections: MAXIMUM_CONNECTIONS,
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
            idleMs: IDLE_MS,
        });
    }
}

/** Writes a load as one header value. */
export function formatLoad(load: GateLoad): string {
    return `${load.open},${load.waiting},${load.limit}`;
}

function readLoad(value: string | undefined): GateLoad | undefined {
    const [open, waiting, limit] = (value ?? "").split(",").map(Number);
    if (open === undefined || waiting === undefined || limit === undefined || !(limit > 0)) {
        return undefined;
    }
    return { open, waiting, limit };
}

function withoutNodeHeaders(response: ExchangeResponse): ExchangeResponse {
    return { ...response, headers: HeaderList.create(passOn(response.headers.fields, () => false)) };
}
