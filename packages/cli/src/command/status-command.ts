/**
 * `radishrouter status`: what each node says of itself.
 */
import { nodeStatusSchema } from "@radishrouter/core";
import type { NodeStatus } from "@radishrouter/core";
import { askNodes } from "../node/node-client.js";
import type { NodeAnswer } from "../node/node-client.js";
import { formatTable } from "../output/text-table.js";
import type { TableStyle } from "../output/text-table.js";

/** Asks nodes for their status. */
export function collectStatus(urls: readonly string[]): Promise<NodeAnswer<NodeStatus>[]> {
    return askNodes(urls, "/status", nodeStatusSchema);
}

/** Formats the status of nodes, one a line. */
export function formatStatus(answers: readonly NodeAnswer<NodeStatus>[], style: TableStyle): string {
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
    return formatTable({ head, rows: answers.map(toRow) }, style);
}

function toRow(answer: NodeAnswer<NodeStatus>): (string | number)[] {
    switch (answer.kind) {
        case "unreachable":
            return [answer.url, "-", "-", `unreachable: ${answer.reason}`, "-", "-", "-", "-", "-", "-"];
        case "answered": {
            const { host, service, failureDomain, state, configurationVersion, livePeers, load, startedAt } =
                answer.value;
            const version = configurationVersion ?? "none";
            const { inFlight, limit, queued } = load;
            return [host, service, failureDomain, state, version, livePeers.length, inFlight, limit, queued, startedAt];
        }
    }
}
