/**
 * Applies what is known of the backend server on this node's host: its instance, its slots, and whether it leaves.
 */
import type { Clock, Timer } from "@radishrouter/core";
import type { LocalInstance } from "./local-instance.js";
import type { RequestLog } from "./request-log.js";
import type { NamedRateLimit } from "./server-condition.js";
import type { KnownServer, ServerStart } from "./server-directory.js";
import type { ServerGate } from "./server-gate.js";

/** Collaborators and settings. */
export interface LocalServerStateOptions {
    readonly clock: Clock;
    readonly gate: ServerGate;
    readonly localInstance: LocalInstance;
    readonly log: RequestLog;
    /** Time for which a server that leaves may still get requests. */
    readonly drainMs: number;
}

/** Fraction of the drain time for which a server that leaves gets requests; the rest is for what is on its way. */
export const LEAVING_USE_FRACTION = 0.6;
/** The same from when the server can have begun to leave at the earliest; the rest is for the way to the server. */
const LATEST_USE_FRACTION = 0.9;

/** State of the local backend server. */
export class LocalServerState {
    private draining = false;
    private leavingStart: ServerStart | undefined;
    private closingTimer: Timer | undefined;
    /** Start that is listed. */
    private listedStart: ServerStart | undefined;
    /** Instance whose unusable rate limit was logged. */
    private loggedInstance: string | undefined;

    private constructor(private readonly options: LocalServerStateOptions) {}

    static create(options: LocalServerStateOptions): LocalServerState {
        return new LocalServerState(options);
    }

    /** Whether the server is draining, or is not listed, and gets no new requests from this node. */
    get isDraining(): boolean {
        return this.draining;
    }

    /** Start of the server that leaves, for other nodes; undefined if it does not leave or is not known. */
    get leaving(): ServerStart | undefined {
        return this.leavingStart;
    }

    /** Applies the server's entry, undefined if it has none; `maximumAgeMs` is the time since it changed at most. */
    apply(server: KnownServer | undefined, maximumAgeMs: number): void {
        const { gate, localInstance } = this.options;
        localInstance.setListed(server?.instance);
        if (server) {
            gate.setSlots(server.slots);
            this.forgetLimitOfOtherStart(server);
        }
        if (server?.state === "ready") {
            this.open();
        }
        else {
            this.leavingStart = server ? toStart(server) : this.leavingStart;
            this.drain(maximumAgeMs);
        }
    }

    /** Records that the server said in a response that it leaves. */
    recordLeaving(start: ServerStart): void {
        this.leavingStart = start;
        this.drain(0);
    }

    /** Applies the rate limit that an instance of the server names, or that it names none any more. */
    setRateLimit(instance: string, limit: NamedRateLimit): void {
        const { gate, log } = this.options;
        switch (limit.kind) {
            case "none":
                this.changeRateLimit(instance, undefined);
                return;
            case "limited":
                this.changeRateLimit(instance, limit.ratePerSecond);
                return;
            case "invalid":
                if (this.loggedInstance !== instance) {
                    this.loggedInstance = instance;
                    log.problem("server-rate-limit-refused", { instance, named: limit.text, held: gate.ratePerSecond });
                }
                return;
        }
    }

    private changeRateLimit(instance: string, ratePerSecond: number | undefined): void {
        const { gate, log } = this.options;
        const before = gate.ratePerSecond;
        if (before === ratePerSecond) {
            return;
        }
        gate.setRateLimit(ratePerSecond);
        log.decision("server-rate-limit", { instance, ratePerSecond, before });
    }

    /** A limit holds for the start of the server that named it. */
    private forgetLimitOfOtherStart(server: KnownServer): void {
        const before = this.listedStart;
        this.listedStart = toStart(server);
        if (before && (before.instance !== server.instance || before.startedAtMs !== server.startedAtMs)) {
            this.changeRateLimit(server.instance, undefined);
        }
    }

    private open(): void {
        this.draining = false;
        this.leavingStart = undefined;
        this.closingTimer?.cancel();
        this.closingTimer = undefined;
        this.options.gate.setDraining(false);
    }

    /** Other nodes learn of it later, and their requests are on their way: the gate closes some time after. */
    private drain(maximumAgeMs: number): void {
        if (this.draining) {
            return;
        }
        this.draining = true;
        const { clock, gate, drainMs } = this.options;
        const useMs = Math.min(drainMs * LEAVING_USE_FRACTION, drainMs * LATEST_USE_FRACTION - maximumAgeMs);
        this.closingTimer = clock.setTimer(Math.max(0, useMs), () => gate.setDraining(true));
    }
}

function toStart({ instance, startedAtMs }: ServerStart): ServerStart {
    return { instance, startedAtMs };
}
