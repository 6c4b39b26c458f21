/**
 * Tracks which peers can be used, from what this node observes on its own connections.
 */
import type { Clock } from "@radishrouter/core";
import Emittery from "emittery";

/** Why a peer is avoided. */
export type PeerTrouble = "unreachable" | "silent" | "stopping";

/** A change of a peer's status at this node. */
export interface PeerChange {
    readonly address: string;
    /** Why the peer is avoided now; undefined when it may be used again. */
    readonly trouble: PeerTrouble | undefined;
}

interface PeerRecord {
    trouble: PeerTrouble;
    sinceMs: number;
}

/** Time after which a peer that announced a planned stop is used again. */
const STOPPING_EXPIRY_MS = 8_000;

/** Peers that are avoided; an unreachable or silent one is avoided until a probe on a new connection succeeds. */
export class PeerHealth {
    /** Emits `changed` when a peer becomes avoided or usable again. */
    readonly events: Emittery<{ changed: PeerChange; }> = new Emittery();
    private readonly records = new Map<string, PeerRecord>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): PeerHealth {
        return new PeerHealth(clock);
    }

    /** Why a peer is avoided; undefined when it may be used. */
    troubleOf(address: string): PeerTrouble | undefined {
        const record = this.records.get(address);
        if (record?.trouble === "stopping" && this.clock.nowMs() - record.sinceMs > STOPPING_EXPIRY_MS) {
            this.clear(address);
            return undefined;
        }
        return record?.trouble;
    }

    /** Whether a peer may be used, as far as is known. */
    isUsable(address: string): boolean {
        return this.troubleOf(address) === undefined;
    }

    /** Records why a peer is avoided from now on; returns true when it was usable before. */
    record(address: string, trouble: PeerTrouble): boolean {
        const before = this.records.get(address);
        if (before?.trouble === trouble) {
            return false;
        }
        this.records.set(address, { trouble, sinceMs: this.clock.nowMs() });
        void this.events.emit("changed", { address, trouble });
        return before === undefined;
    }

    /** Records that a peer may be used again. */
    clear(address: string): void {
        if (this.records.delete(address)) {
            void this.events.emit("changed", { address, trouble: undefined });
        }
    }
}
