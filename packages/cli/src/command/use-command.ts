/**
 * `radishrouter use`: usage of nodes on the platform by each organisation.
 */
import { NODE_USAGE_PATH, nodeUsageSchema } from "@radishrouter/core";
import type { NodeUsage, OrganisationUsage } from "@radishrouter/core";
import { findUnreachable, queryNodes } from "../node/node-client.js";
import type { UnreachableNode } from "../node/node-client.js";
import { formatTable } from "../output/text-table.js";
import type { TableStyle } from "../output/text-table.js";

/** Usage summed over all nodes that responded. */
export interface FleetUsage {
    /** Start of the process that started last. What was counted on its host before that is not in the sums. */
    readonly youngestStart: string | undefined;
    readonly organisations: readonly OrganisationUsage[];
    readonly missing: readonly UnreachableNode[];
}

const PERCENT = 100;

/** Queries the metrics listeners of nodes and sums up the usage that they report. */
export async function collectUsage(urls: readonly string[]): Promise<FleetUsage> {
    const results = await queryNodes(urls, NODE_USAGE_PATH, nodeUsageSchema);
    const usages = results.flatMap(result => result.kind === "answered" ? [result.value] : []);
    return {
        youngestStart: usages.map(({ startedAt }) => startedAt).sort().at(-1),
        organisations: sumUsages(usages),
        missing: findUnreachable(results),
    };
}

/** Formats usage as a table with one row per organisation, followed by notes on missing nodes. */
export function formatUsage(usage: FleetUsage, style: TableStyle): string {
    const head = ["organisation", "asked", "answered", "share", "failed by server", "over rate", "no room", "lost"];
    const rows = usage.organisations.map(counts => {
        const requests = countRequests(counts);
        const share = requests === 0 ? "-" : `${(counts.answered / requests * PERCENT).toFixed(1)}%`;
        return [
            counts.organisation === "" ? "(calls without a key)" : counts.organisation,
            requests,
            counts.answered,
            share,
            counts.failedByServer,
            counts.refusedForRate,
            counts.refusedForRoom,
            counts.lost,
        ];
    });
    const notes = usage.missing.map(({ url, reason }) => `missing: ${url}: ${reason}`);
    const since = usage.youngestStart === undefined ? [] : [`youngest process started ${usage.youngestStart}`];
    return [formatTable({ head, rows }, style), ...since, ...notes].join("\n");
}

function sumUsages(usages: readonly NodeUsage[]): OrganisationUsage[] {
    const sums = new Map<string, OrganisationUsage>();
    for (const counts of usages.flatMap(({ organisations }) => organisations)) {
        const sum = sums.get(counts.organisation);
        sums.set(counts.organisation, sum ? add(sum, counts) : counts);
    }
    return [...sums.values()].sort((left, right) => left.organisation < right.organisation ? -1 : 1);
}

function add(left: OrganisationUsage, right: OrganisationUsage): OrganisationUsage {
    return {
        organisation: left.organisation,
        answered: left.answered + right.answered,
        failedByServer: left.failedByServer + right.failedByServer,
        refusedForRate: left.refusedForRate + right.refusedForRate,
        refusedForRoom: left.refusedForRoom + right.refusedForRoom,
        lost: left.lost + right.lost,
    };
}

function countRequests(counts: OrganisationUsage): number {
    return counts.answered + counts.failedByServer + counts.refusedForRate + counts.refusedForRoom + counts.lost;
}
