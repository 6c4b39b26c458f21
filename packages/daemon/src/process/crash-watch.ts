/**
 * Finds out which requests were in flight when the backend server died, and keeps those that crash it from running.
 */
import type { Clock, ControlTransport, Host, Quarantine } from "@radishrouter/core";
import { delay, RequestError } from "@radishrouter/core";
import { createHash } from "node:crypto";
import { connect } from "node:net";
import type { RequestBody } from "../request/request-body.js";
import type { RequestContext } from "../request/request-context.js";

/** Parts and identity of a watch. */
export interface CrashWatchParts {
    readonly clock: Clock;
    readonly quarantine: Quarantine;
    readonly transport: ControlTransport;
    readonly ownName: string;
    readonly incarnation: bigint;
    readonly backendServer: { readonly address: string; readonly port: number; };
    /** Other hosts of the own service. */
    readonly servicePeers: () => readonly Host[];
}

/** One request on its way to the backend server; exactly one of its methods has to be called. */
export interface WatchedRun {
    /** The request completed, so it did not crash the backend server. */
    completed(): void;
    /** The connection was lost; resolves when it is known whether the backend server died and peers were told. */
    lost(): Promise<void>;
    /** The request ended in another way. */
    ended(): void;
}

/** Time for which a new connection has to stay open to show that the backend server lives. */
const PROBE_MS = 30;
/** Time in which a notice reaches other nodes; a failed request is not sent again before. */
const NOTICE_MS = 120;
const CONNECT_TIMEOUT_MS = 500;

/** Watches what runs on the local backend server, and shares crashes with the other nodes of the service. */
export class CrashWatch {
    private lostFingerprints = new Set<string>();
    private verdict: Promise<void> | undefined;
    private crashes = 0;
    /** Ends when the suspect that runs now has ended. */
    private lastTrial: Promise<void> = Promise.resolve();

    private constructor(private readonly parts: CrashWatchParts) {
        parts.transport.subscribe(({ message }) => {
            if (message.body.case === "quarantineNotice") {
                this.receive(message.body.value);
            }
        });
    }

    static create(parts: CrashWatchParts): CrashWatch {
        return new CrashWatch(parts);
    }

    /**
     * Admits a request to the backend server; a suspect waits until no other suspect runs there.
     *
     * @throws RequestError when the request is quarantined.
     */
    async admit(context: RequestContext, body: RequestBody): Promise<WatchedRun> {
        const { quarantine } = this.parts;
        const endTrial = quarantine.size > 0 ? await this.admitSuspect(context, body) : undefined;
        return {
            completed: () => {
                endTrial?.();
                if (endTrial) {
                    this.clear(fingerprintOf(context, body));
                }
            },
            lost: async () => {
                this.lostFingerprints.add(fingerprintOf(context, body));
                this.verdict ??= this.judge();
                await this.verdict;
                endTrial?.();
            },
            ended: () => endTrial?.(),
        };
    }

    /** Returns what ends the trial of a suspect; undefined for a request that is none. */
    private async admitSuspect(context: RequestContext, body: RequestBody): Promise<(() => void) | undefined> {
        const fingerprint = fingerprintOf(context, body);
        if (this.requireAllowed(fingerprint) === "none") {
            return undefined;
        }
        const earlier = this.lastTrial;
        let endTrial: () => void = () => undefined;
        this.lastTrial = new Promise<void>(resolve => (endTrial = resolve));
        try {
            await earlier;
            context.signal.throwIfAborted();
            this.requireAllowed(fingerprint);
            return endTrial;
        }
        catch (error) {
            endTrial();
            throw error;
        }
    }

    private requireAllowed(fingerprint: string): "none" | "suspect" {
        const suspicion = this.parts.quarantine.suspicionOf(fingerprint);
        if (suspicion === "quarantined") {
            throw RequestError.create("request-quarantined");
        }
        return suspicion;
    }

    /** Finds out whether the backend server died, and counts its death against all requests that were lost with it. */
    private async judge(): Promise<void> {
        const isAlive = await this.probe();
        const fingerprints = [...this.lostFingerprints];
        this.lostFingerprints = new Set();
        this.verdict = undefined;
        if (isAlive) {
            return;
        }
        const crashId = `${this.parts.ownName}/${this.parts.incarnation}/${++this.crashes}`;
        this.parts.quarantine.recordCrash(crashId, fingerprints);
        this.share(crashId, fingerprints, false);
        await delay(this.parts.clock, NOTICE_MS);
    }

    private probe(): Promise<boolean> {
        return new Promise(resolve => {
            const { address, port } = this.parts.backendServer;
            const socket = connect({ host: address, port });
            const end = (isAlive: boolean) => {
                resolve(isAlive);
                socket.destroy();
            };
            socket.setTimeout(CONNECT_TIMEOUT_MS, () => end(false));
            socket.once("connect", () => this.parts.clock.setTimer(PROBE_MS, () => end(true)));
            socket.once("error", () => end(false));
            socket.once("close", () => end(false));
            socket.resume();
        });
    }

    private clear(fingerprint: string): void {
        if (this.parts.quarantine.suspicionOf(fingerprint) !== "none") {
            this.parts.quarantine.clear(fingerprint);
            this.share("", [fingerprint], true);
        }
    }

    private share(crashId: string, fingerprints: string[], cleared: boolean): void {
        for (const host of this.parts.servicePeers()) {
            this.parts.transport.send(host.name, {
                case: "quarantineNotice",
                value: { $typeName: "radishrouter.v1.QuarantineNotice", crashId, fingerprints, cleared },
            });
        }
    }

    private receive(notice: { crashId: string; fingerprints: string[]; cleared: boolean; }): void {
        if (notice.cleared) {
            notice.fingerprints.forEach(fingerprint => this.parts.quarantine.clear(fingerprint));
            return;
        }
        this.parts.quarantine.recordCrash(notice.crashId, notice.fingerprints);
    }
}

/** Headers that differ between sends of one request. */
const volatileHeaders = new Set([
    "content-length",
    "date",
    "idempotency-key",
    "traceparent",
    "tracestate",
    "x-correlation-id",
    "x-request-id",
]);

/** Names a request by its organisation, method, target, headers that stay the same and, when it was kept, its body. */
function fingerprintOf(context: RequestContext, body: RequestBody): string {
    const { organisation, method, target } = context;
    const headers = Object.entries(context.headers).filter(([name]) => !volatileHeaders.has(name));
    headers.sort(([left], [right]) => left < right ? -1 : 1);
    const hash = createHash("sha256");
    hash.update(JSON.stringify([organisation, method, target, headers, body.kind]));
    if (body.kind === "buffered") {
        hash.update(body.content);
    }
    return hash.digest("base64url");
}
