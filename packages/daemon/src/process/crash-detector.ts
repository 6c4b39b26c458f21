/**
 * Detects crashes of the backend server, records the requests that were in flight, and quarantines requests that crash it
 * repeatedly.
 */
import type { Clock, ControlTransport, Host, Quarantine, ServerEnd } from "@radishrouter/core";
import { delay, RequestError } from "@radishrouter/core";
import type { QuarantineNotice } from "@radishrouter/protocol";
import { createHash } from "node:crypto";
import { connect } from "node:net";
import type { RequestBody } from "../request/request-body.js";
import type { RequestContext } from "../request/request-context.js";

/** Collaborators and identity of a crash detector. */
export interface CrashDetectorDependencies {
    readonly clock: Clock;
    readonly quarantine: Quarantine;
    readonly transport: ControlTransport;
    readonly localHostName: string;
    readonly incarnation: bigint;
    readonly backendServer: { readonly address: string; readonly port: number; };
    /** Other hosts of the local service. */
    readonly servicePeers: () => readonly Host[];
}

/** One request that is sent to the backend server; the caller has to call exactly one of the methods. */
export interface MonitoredRun {
    /** The request completed, so it did not crash the backend server. */
    completed(): void;
    /** The connection was lost; resolves after the check for a crash and, if there was one, the notice to peers. */
    lost(): Promise<void>;
    /** The request ended without a completed response and without a lost connection. */
    ended(): void;
}

/** A run whose connection was lost. */
interface LostRun {
    readonly fingerprint: string;
    /** Whether it ran without other suspects. */
    readonly isSuspect: boolean;
    /** Number of the crash that can have ended it: the first one after it was admitted. */
    readonly crashNumber: number;
}

/** Time for which a new connection has to stay open before the backend server counts as alive. */
const PROBE_OPEN_MS = 30;
/** Time for a notice to reach other nodes; a failed request is retried only after it. */
const NOTICE_DELIVERY_MS = 120;
const CONNECT_TIMEOUT_MS = 500;

/** Detects crashes of the local backend server and reports them to the other nodes of the service. */
export class CrashDetector {
    private lostRuns: LostRun[] = [];
    private verdict: Promise<void> | undefined;
    private crashCount = 0;
    /** Resolves when the latest admitted suspect has ended; suspects run one at a time. */
    private lastSuspectRun: Promise<void> = Promise.resolve();

    private constructor(private readonly dependencies: CrashDetectorDependencies) {
        dependencies.transport.subscribe(({ message }) => {
            if (message.body.case === "quarantineNotice") {
                this.applyNotice(message.body.value);
            }
        });
    }

    static create(dependencies: CrashDetectorDependencies): CrashDetector {
        return new CrashDetector(dependencies);
    }

    /**
     * Admits a request to the backend server. A suspect, a request that was in flight at a crash, waits until no other
     * suspect runs there.
     *
     * @throws RequestError when the request is quarantined.
     */
    async admit(context: RequestContext, body: RequestBody): Promise<MonitoredRun> {
        const { quarantine } = this.dependencies;
        const endSuspectRun = quarantine.isEmpty ? undefined : await this.admitSuspect(context, body);
        const crashNumber = this.crashCount + 1;
        return {
            completed: () => {
                endSuspectRun?.();
                if (endSuspectRun) {
                    this.clearSuspicion(fingerprintOf(context, body));
                }
            },
            lost: async () => {
                const fingerprint = fingerprintOf(context, body);
                this.lostRuns.push({ fingerprint, isSuspect: endSuspectRun !== undefined, crashNumber });
                this.verdict ??= this.checkForCrash();
                await this.verdict;
                endSuspectRun?.();
            },
            ended: () => endSuspectRun?.(),
        };
    }

    /** Returns a function that lets the next suspect run; undefined when the request is not a suspect. */
    private async admitSuspect(context: RequestContext, body: RequestBody): Promise<(() => void) | undefined> {
        const fingerprint = fingerprintOf(context, body);
        if (this.requireNotQuarantined(fingerprint) === "none") {
            return undefined;
        }
        const earlierRun = this.lastSuspectRun;
        let endSuspectRun: () => void = () => undefined;
        this.lastSuspectRun = new Promise<void>(resolve => (endSuspectRun = resolve));
        try {
            await earlierRun;
            context.signal.throwIfAborted();
            this.requireNotQuarantined(fingerprint);
            return endSuspectRun;
        }
        catch (error) {
            endSuspectRun();
            throw error;
        }
    }

    private requireNotQuarantined(fingerprint: string): "none" | "suspect" {
        const { quarantine } = this.dependencies;
        const suspicion = quarantine.suspicionOf(fingerprint);
        quarantine.recordArrival(fingerprint);
        if (suspicion === "quarantined") {
            throw RequestError.create("request-quarantined");
        }
        return suspicion;
    }

    /** Checks whether the backend server crashed, and records the crash for all requests that lost their connection. */
    private async checkForCrash(): Promise<void> {
        const isAlive = await this.probe();
        const lostRuns = this.lostRuns.splice(0);
        this.verdict = undefined;
        if (isAlive) {
            return;
        }
        for (const crashNumber of new Set(lostRuns.map(run => run.crashNumber))) {
            this.recordCrash(crashNumber, lostRuns.filter(run => run.crashNumber === crashNumber));
        }
        await delay(this.dependencies.clock, NOTICE_DELIVERY_MS);
    }

    private recordCrash(crashNumber: number, lostRuns: readonly LostRun[]): void {
        this.crashCount = Math.max(this.crashCount, crashNumber);
        const { localHostName, incarnation, quarantine } = this.dependencies;
        const crashId = `${localHostName}/${incarnation}/${crashNumber}`;
        const fingerprints = [...new Set(lostRuns.map(({ fingerprint }) => fingerprint))];
        const tried = lostRuns.find(({ isSuspect }) => isSuspect)?.fingerprint;
        quarantine.recordEnd(endNow(crashId, fingerprints, tried));
        this.sendNotice({ crashId, fingerprints, tried: tried ?? "", cleared: false });
    }

    private probe(): Promise<boolean> {
        return new Promise(resolve => {
            const { address, port } = this.dependencies.backendServer;
            const socket = connect({ host: address, port });
            const end = (isAlive: boolean) => {
                resolve(isAlive);
                socket.destroy();
            };
            socket.setTimeout(CONNECT_TIMEOUT_MS, () => end(false));
            socket.once("connect", () => this.dependencies.clock.setTimer(PROBE_OPEN_MS, () => end(true)));
            socket.once("error", () => end(false));
            socket.once("close", () => end(false));
            socket.resume();
        });
    }

    private clearSuspicion(fingerprint: string): void {
        for (const { id } of this.dependencies.quarantine.clear(fingerprint)) {
            this.sendNotice({ crashId: id, fingerprints: [fingerprint], tried: "", cleared: true });
        }
    }

    private sendNotice(notice: CrashNotice): void {
        for (const host of this.dependencies.servicePeers()) {
            this.dependencies.transport.send(host.name, {
                case: "quarantineNotice",
                value: { $typeName: "radishrouter.v1.QuarantineNotice", ...notice },
            });
        }
    }

    private applyNotice({ crashId, fingerprints, tried, cleared }: CrashNotice): void {
        const { quarantine } = this.dependencies;
        if (!cleared) {
            quarantine.recordEnd(endNow(crashId, fingerprints, tried === "" ? undefined : tried));
            return;
        }
        if (crashId !== "") {
            quarantine.recordEnd({ ...endNow(crashId, [], undefined), cleared: fingerprints });
        }
        fingerprints.forEach(fingerprint => quarantine.clear(fingerprint));
    }
}

type CrashNotice = Pick<QuarantineNotice, "crashId" | "fingerprints" | "tried" | "cleared">;

function endNow(id: string, suspects: readonly string[], tried: string | undefined): ServerEnd {
    return { id, suspects, cleared: [], tried, ageMs: 0, idleMs: 0 };
}

/** Headers that differ between attempts of one request. */
const volatileHeaders = new Set([
    "content-length",
    "date",
    "idempotency-key",
    "traceparent",
    "tracestate",
    "x-correlation-id",
    "x-request-id",
]);

/** Identifies a request by its organisation, method, target, constant headers and, when it is buffered, its body. */
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
