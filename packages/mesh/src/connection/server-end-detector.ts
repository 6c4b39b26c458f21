/**
 * Finds out whether the local backend server has ended when connections with requests on them are lost.
 *
 * A reset of a connection alone says nothing: the server may live. It has ended if its port refuses connections, or if a
 * new instance answers there soon after.
 */
import type { Clock } from "@radishrouter/core";
import { connect } from "node:net";
import type { EndedRequest } from "../process/crashing-requests.js";
import type { ServerStart } from "../process/server-directory.js";

/** Whether a new connection to the server could be opened. */
export type ProbeResult =
    | "open"
    /** Accepted, but closed or reset at once, as by a server that is just ending, or that has too many connections. */
    | "closed"
    /** Nothing listens at the port. */
    | "refused"
    | "unknown";

/** Opens a connection to the server and closes it again. */
export type ServerProbe = () => Promise<ProbeResult>;

/** A request whose connection was lost before its response was complete. */
export interface LostRequest extends EndedRequest {
    /** Which run of the server it was sent to, as returned by {@link ServerEndDetector.currentRun}. */
    readonly run: number;
}

/** Collaborators of a detector. */
export interface ServerEndDetectorDependencies {
    readonly clock: Clock;
    readonly probe: ServerProbe;
    /** Called with the requests that were in flight when a run of the server ended; more than once if some are late. */
    readonly onEnded: (run: number, requests: readonly LostRequest[]) => void;
}

interface UnexplainedLoss {
    readonly request: LostRequest;
    readonly lostAtMs: number;
}

/** Probes of a server that accepts connections and closes them at once. */
const MAXIMUM_PROBES = 3;
/** Time within which a new instance explains connections that were lost before it was noticed. */
const UNEXPLAINED_LOSS_MS = 5_000;
const MAXIMUM_UNEXPLAINED_LOSSES = 256;
/** Time before an end within which a connection that was lost belongs to it. */
const JUST_BEFORE_END_MS = 100;
/** Time for which a server may work on a request after its connection was closed. */
const GIVEN_UP_RUN_MS = 1_000;
/** Time for which a new connection has to stay open before the server counts as alive. */
const PROBE_OPEN_MS = 30;
const PROBE_TIMEOUT_MS = 300;

/** Detects ends of the local backend server. */
export class ServerEndDetector {
    /** Counts the server's starts, as far as they are noticed. */
    private run = 1;
    private hasRunEnded = false;
    /** Start of the server that was named last. */
    private start: ServerStart | undefined;
    private pendingLosses: LostRequest[] = [];
    private unexplainedLosses: UnexplainedLoss[] = [];
    /** Requests whose connection this node closed before the response; the server may still work on them. */
    private givenUp: UnexplainedLoss[] = [];
    /** Resolves when it is known whether the server lives; undefined when nobody asks. */
    private check: Promise<boolean> | undefined;

    private constructor(private readonly dependencies: ServerEndDetectorDependencies) {}

    static create(dependencies: ServerEndDetectorDependencies): ServerEndDetector {
        return new ServerEndDetector(dependencies);
    }

    /** Number of the server's run; a later start has a higher one. */
    get currentRun(): number {
        return this.run;
    }

    /** Records that the server accepted a connection. */
    recordConnected(): void {
        if (this.hasRunEnded) {
            this.startRun();
        }
    }

    /**
     * Records a request whose connection was lost; resolves with whether the server has ended, once that is known. A
     * caller that waits for it does not send the request to the next server before it is a suspect.
     */
    async recordLoss(request: LostRequest): Promise<boolean> {
        this.pendingLosses.push(request);
        this.check ??= this.checkForEnd();
        const hasEnded = await this.check;
        return hasEnded || request.run < this.run;
    }

    /** Records a request that was given up after it was sent. */
    recordGivenUp(request: LostRequest): void {
        this.givenUp = [...this.recentGivenUp(), { request, lostAtMs: this.dependencies.clock.nowMs() }]
            .slice(-MAXIMUM_UNEXPLAINED_LOSSES);
    }

    /** Records that no connection could be opened: the server may have ended under a request that was given up. */
    recordNotConnected(): void {
        if (this.recentGivenUp().length > 0) {
            this.check ??= this.checkForEnd();
        }
    }

    /** Records which instance runs at the address; where it is another than before, the one before has ended. */
    recordInstance({ instance, startedAtMs }: ServerStart): void {
        const before = this.start;
        this.start = {
            instance,
            startedAtMs: startedAtMs ?? (before?.instance === instance ? before.startedAtMs : undefined),
        };
        if (!before || !isOtherStart(before, this.start) || this.hasRunEnded) {
            return;
        }
        const requests = this.takeUnexplained(UNEXPLAINED_LOSS_MS);
        if (requests.length > 0) {
            this.dependencies.onEnded(this.run, requests);
        }
        this.startRun();
    }

    private startRun(): void {
        this.run++;
        this.hasRunEnded = false;
    }

    private async checkForEnd(): Promise<boolean> {
        const result = await this.probeUntilCertain();
        const losses = this.pendingLosses.splice(0);
        this.check = undefined;
        const ofCurrentRun = losses.filter(({ run }) => run === this.run);
        this.report(losses.filter(({ run }) => run < this.run));
        if (result !== "refused") {
            this.keepUnexplained(ofCurrentRun);
            return false;
        }
        this.hasRunEnded = true;
        this.report([...this.takeUnexplained(JUST_BEFORE_END_MS), ...ofCurrentRun, ...this.takeGivenUp()]);
        return true;
    }

    /** A server that is ending may accept connections a moment longer than it serves them. */
    private async probeUntilCertain(): Promise<ProbeResult> {
        let result = await this.dependencies.probe();
        for (let probes = 1; result === "closed" && probes < MAXIMUM_PROBES; probes++) {
            result = await this.dependencies.probe();
        }
        return result;
    }

    private report(requests: readonly LostRequest[]): void {
        for (const run of new Set(requests.map(request => request.run))) {
            this.dependencies.onEnded(run, requests.filter(request => request.run === run));
        }
    }

    private keepUnexplained(requests: readonly LostRequest[]): void {
        const lostAtMs = this.dependencies.clock.nowMs();
        this.unexplainedLosses.push(...requests.map(request => ({ request, lostAtMs })));
        this.unexplainedLosses = this.unexplainedLosses.slice(-MAXIMUM_UNEXPLAINED_LOSSES);
    }

    private recentGivenUp(): UnexplainedLoss[] {
        const recentMs = this.dependencies.clock.nowMs() - GIVEN_UP_RUN_MS;
        return this.givenUp.filter(({ request, lostAtMs }) => request.run === this.run && lostAtMs > recentMs);
    }

    private takeGivenUp(): LostRequest[] {
        const requests = this.recentGivenUp().map(({ request }) => request);
        this.givenUp = [];
        return requests;
    }

    /** Removes and returns what was lost of the current run in the last `durationMs` while the server seemed to live. */
    private takeUnexplained(durationMs: number): LostRequest[] {
        const recentMs = this.dependencies.clock.nowMs() - durationMs;
        const requests = this.unexplainedLosses
            .filter(({ request, lostAtMs }) => request.run === this.run && lostAtMs > recentMs)
            .map(({ request }) => request);
        this.unexplainedLosses = [];
        return requests;
    }
}

function isOtherStart(before: ServerStart, after: ServerStart): boolean {
    const isOtherTime = before.startedAtMs !== undefined && after.startedAtMs !== before.startedAtMs;
    return before.instance !== after.instance || isOtherTime;
}

/** Creates a probe of the server at an address. */
export function createServerProbe(host: string, port: number): ServerProbe {
    return () =>
        new Promise(resolve => {
            const socket = connect({ host, port });
            let isOpen = false;
            const end = (result: ProbeResult) => {
                clearTimeout(timer);
                resolve(result);
                socket.destroy();
            };
            const timer = setTimeout(() => end(isOpen ? "open" : "unknown"), PROBE_TIMEOUT_MS);
            socket.once("connect", () => {
                isOpen = true;
                setTimeout(() => end("open"), PROBE_OPEN_MS);
            });
            socket.once("error", (error: NodeJS.ErrnoException) => {
                end(isOpen ? "closed" : error.code === "ECONNREFUSED" ? "refused" : "unknown");
            });
            socket.once("close", () => end("closed"));
            socket.resume();
        });
}
