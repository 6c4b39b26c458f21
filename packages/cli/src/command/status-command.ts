/**
 * `radishrouter status`: status of each node.
 */
import { nodeStatusSchema, PLATFORM_NODE_STATUS_PATH, platformNodeStatusSchema } from "@radishrouter/core";
import type { FailureDomainEvacuation, NodeStatus, PlatformNodeStatus } from "@radishrouter/core";
import { z } from "zod";
import { queryNodes } from "../node/node-client.js";
import type { NodeResult } from "../node/node-client.js";
import { formatTable } from "../output/text-table.js";
import type { TableStyle } from "../output/text-table.js";

/** Status of a node with the own interface, or of one on the platform. */
export type AnyNodeStatus = NodeStatus | PlatformNodeStatus;

const anyNodeStatusSchema = z.union([platformNodeStatusSchema, nodeStatusSchema]);
const MS_PER_SECOND = 1_000;

/** Queries nodes for their status; both kinds of node serve it at the same path. */
export function collectStatus(urls: readonly string[]): Promise<NodeResult<AnyNodeStatus>[]> {
    return queryNodes(urls, PLATFORM_NODE_STATUS_PATH, anyNodeStatusSchema);
}

/** Formats the status of nodes as a table with one row per node, followed by the evacuated failure domains. */
export function formatStatus(results: readonly NodeResult<AnyNodeStatus>[], style: TableStyle): string {
    const head = [
        "host",
        "service",
        "failure domain",
        "state",
        "version",
        "peers",
        "running",
        "limit",
        "waiting",
        "started",
    ];
    return [formatTable({ head, rows: results.map(toRow) }, style), ...describeEvacuations(results)].join("\n");
}

/** One line for each evacuated failure domain; the nodes that do not know of the evacuation are named. */
function describeEvacuations(results: readonly NodeResult<AnyNodeStatus>[]): string[] {
    const nodes = results.flatMap(result =>
        result.kind === "answered" && "evacuations" in result.value ? [result.value] : []
    );
    const evacuations = nodes.flatMap(node => node.evacuations);
    const names = [...new Set(evacuations.map(({ failureDomain }) => failureDomain))].sort();
    return names.map(name => {
        const known = evacuations.filter(({ failureDomain }) => failureDomain === name);
        const unaware = nodes.filter(node => !node.evacuations.some(({ failureDomain }) => failureDomain === name));
        const notes = [
            ...known.some(({ isKept }) => isKept) ? ["not in the store's older copy"] : [],
            ...unaware.length > 0 ? [`not known at ${unaware.map(({ host }) => host).join(", ")}`] : [],
        ];
        return [`evacuated: ${name} ${describeStart(known)}`, ...notes].join("; ");
    });
}

/** The node that learned of it first shows best when the evacuation began. */
function describeStart(evacuations: readonly FailureDomainEvacuation[]): string {
    const [first] = [...evacuations].sort((left, right) => right.elapsedMs - left.elapsedMs);
    return first ? `since ${first.since} (${Math.round(first.elapsedMs / MS_PER_SECOND)} s)` : "";
}

function toRow(result: NodeResult<AnyNodeStatus>): (string | number)[] {
    switch (result.kind) {
        case "unreachable":
            return [result.url, "-", "-", `unreachable: ${result.reason}`, "-", "-", "-", "-", "-", "-"];
        case "answered": {
            const { host, service, failureDomain, state, configurationVersion, load, startedAt } = result.value;
            const version = configurationVersion ?? "none";
            const peers = "livePeers" in result.value ? result.value.livePeers.length : "-";
            const { inFlight, limit, queued } = load;
            return [host, service, failureDomain, state, version, peers, inFlight, limit, queued, startedAt];
        }
    }
}
