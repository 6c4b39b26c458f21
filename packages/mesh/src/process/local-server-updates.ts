/**
 * Applies what a node learns of the backend server on its own host to the components that protect the server: from its
 * entry, from its responses, and from the evacuation of its failure domain.
 */
import type { ListenAddress } from "../connection/node-listeners.js";
import type { ColdServer } from "./cold-server.js";
import type { EvacuatedDomains } from "./evacuated-domains.js";
import type { LocalServerState } from "./local-server-state.js";
import type { NodeLoadBalancing } from "./node-load-balancing.js";
import type { ServerCondition } from "./server-condition.js";
import type { DirectoryChange, ServerDirectory, ServerStart } from "./server-directory.js";
import type { ServerGate } from "./server-gate.js";

/** Components that are kept up to date, and settings. */
export interface LocalServerUpdatesOptions {
    readonly hostAddress: string;
    /** Failure domain of the host, for as long as the server is not listed. */
    readonly failureDomain: string;
    readonly address: ListenAddress;
    readonly directory: ServerDirectory;
    readonly evacuations: EvacuatedDomains;
    readonly gate: ServerGate;
    readonly cold: ColdServer;
    readonly localServer: LocalServerState;
    readonly balancing: NodeLoadBalancing;
    /** Called with the start of the server that is listed. */
    readonly recordInstance: (start: ServerStart) => void;
    /** Tells the nodes that send requests to the server that its state has changed. */
    readonly announceState: () => void;
}

/** Updates of the local backend server. */
export class LocalServerUpdates {
    private constructor(private readonly options: LocalServerUpdatesOptions) {}

    static create(options: LocalServerUpdatesOptions): LocalServerUpdates {
        return new LocalServerUpdates(options);
    }

    /** Applies a change of a listed server, if it is the local one. */
    applyServerChange({ kind, server, maximumAgeMs }: DirectoryChange): void {
        const { hostAddress, gate, cold, localServer, recordInstance } = this.options;
        if (server.hostAddress !== hostAddress) {
            return;
        }
        const listed = this.findListed();
        localServer.apply(listed, maximumAgeMs);
        if ((kind === "joined" || kind === "restarted") && server.warmUpRemainingMs > 0) {
            gate.beginSlowStart("server-started");
        }
        if (listed) {
            recordInstance(listed);
            cold.recordEntry(listed);
        }
        this.applyEvacuations();
    }

    /** Leaves evacuated servers out of load balancing, and closes or opens the gate of the local server. */
    applyEvacuations(): void {
        const { directory, evacuations, gate, cold, failureDomain } = this.options;
        directory.applyEvacuations();
        const isEvacuated = evacuations.isEvacuated(this.findListed()?.failureDomain ?? failureDomain);
        gate.setEvacuated(isEvacuated);
        cold.setEvacuated(isEvacuated);
    }

    /** Applies what an instance of the server said of itself in a response. */
    applyCondition(instance: string, { isLeaving, rateLimit, load }: ServerCondition): void {
        const { localServer, balancing } = this.options;
        localServer.setRateLimit(instance, rateLimit);
        balancing.applyStated(instance, load);
        if (isLeaving) {
            this.recordLeaving(instance);
        }
    }

    private recordLeaving(instance: string): void {
        const { directory, localServer, announceState } = this.options;
        if (localServer.leaving?.instance === instance) {
            return;
        }
        const start = { instance, startedAtMs: directory.find(instance)?.startedAtMs };
        directory.recordLeaving(start, "said by the server in a response");
        localServer.recordLeaving(start);
        announceState();
    }

    private findListed() {
        const { directory, address } = this.options;
        return directory.findByAddress(address.address, address.port);
    }
}
