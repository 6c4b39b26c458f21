/**
 * Applies the list entry of the backend server on this node's host: its instance, its slots, and whether it drains.
 */
import type { Clock } from "@radishrouter/core";
import type { LocalInstance } from "./local-instance.js";
import type { KnownServer } from "./server-directory.js";
import type { ServerGate } from "./server-gate.js";

/** Collaborators and settings. */
export interface LocalServerStateOptions {
    readonly clock: Clock;
    readonly gate: ServerGate;
    readonly localInstance: LocalInstance;
    /** Time for which the server still gets requests that are on their way when it leaves. */
    readonly leavingUseMs: number;
}

/** State of the local backend server. */
export class LocalServerState {
    private draining = false;

    private constructor(private readonly options: LocalServerStateOptions) {}

    static create(options: LocalServerStateOptions): LocalServerState {
        return new LocalServerState(options);
    }

    /** Whether the server is draining, or is not listed, and gets no new requests from this node. */
    get isDraining(): boolean {
        return this.draining;
    }

    /** Applies the server's entry; undefined if it has none. */
    apply(server: KnownServer | undefined): void {
        const { gate, localInstance } = this.options;
        localInstance.setListed(server?.instance);
        if (server) {
            gate.setSlots(server.slots);
        }
        const isDraining = server === undefined || server.state === "draining";
        if (isDraining && !this.draining) {
            this.closeGateLater();
        }
        if (!isDraining) {
            gate.setDraining(false);
        }
        this.draining = isDraining;
    }

    /** Other nodes learn of the drain later, and their requests are on their way. */
    private closeGateLater(): void {
        const { clock, gate, leavingUseMs } = this.options;
        clock.setTimer(leavingUseMs, () => gate.setDraining(this.draining));
    }
}
