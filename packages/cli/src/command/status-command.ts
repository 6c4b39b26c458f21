/**
 * `radishrouter status`: status of each node.
 */
import { nodeStatusSchema } from "@radishrouter/core";
import type { NodeStatus } from "@radishrouter/core";
import { queryNodes } from "../node/node-client.js";
import type { NodeResult } from "../node/node-client.js";
import { formatTable } from "../output/text-table.js";
import type { TableStyle } from "../output/text-table.js";

/** Queries nodes for their status. */
export function collectStatus(urls: readonly string[]): Promise<NodeResult<NodeStatus>[]> {
    return queryNodes(urls, "/status", nodeStatusSchema);
}

/** Formats the status of nodes as a table with one row per node. */
export function formatStatus(results: readonly NodeResult<NodeStatus>[], style: TableStyle): string {
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
    return formatTable({ head, rows: results.map(toRow) }, style);
}

function toRow(result: NodeResult<NodeStatus>): (string | number)[] {
    switch (result.kind) {
        case "unreachable":
            return [result.url, "-", "-", `unreachable: ${result.reason}`, "-", "-", "-", "-", "-", "-"];
        case "answered": {
            const { host, service, failureDomain, state, configurationVersion, livePeers, load, startedAt } =
                result.value;
            const version = configurationVersion ?? "none";
            const { inFlight, limit, queued } = load;
            return [host, service, failureDomain, state, version, livePeers.length, inFlight, limit, queued, startedAt];
        }
    }
}
