/**
 * What operators read and change on the metrics listener of a node, besides the metrics.
 */
import type { OperatorsView } from "../connection/status-server.js";
import type { CrashingRequests } from "./crashing-requests.js";
import type { EvacuatedDomains } from "./evacuated-domains.js";
import type { LifeCycle } from "./life-cycle.js";
import type { MeshNodeSettings } from "./mesh-node-settings.js";
import type { OrganisationUsageCounters } from "./organisation-usage-counters.js";
import type { ServerGate } from "./server-gate.js";

/** What is shown. */
export interface OperatorsViewSources {
    readonly settings: Pick<MeshNodeSettings, "host" | "service" | "failureDomain">;
    readonly gate: ServerGate;
    readonly lifeCycle: LifeCycle;
    readonly evacuations: EvacuatedDomains;
    readonly usageCounters: OrganisationUsageCounters;
    readonly crashing: CrashingRequests;
}

/** Creates the view of a node that starts now. */
export function createOperatorsView(
    sources: OperatorsViewSources,
    configurationVersion: () => number | undefined,
): OperatorsView {
    const { settings, gate, lifeCycle, evacuations, usageCounters, crashing } = sources;
    const { host, service, failureDomain } = settings;
    const startedAt = new Date().toISOString();
    return {
        usage: () => ({ host, service, startedAt, organisations: usageCounters.list() }),
        status: () => {
            const { open, waiting, limit } = gate.load();
            return {
                kind: "platform-node",
                host,
                service,
                failureDomain,
                startedAt,
                state: lifeCycle.isStopping ? "stopping" : "running",
                configurationVersion: configurationVersion(),
                load: { inFlight: open, queued: waiting, limit },
                evacuations: evacuations.list(),
            };
        },
        crashing,
    };
}
