/**
 * `radishrouter use`: what each organisation got from nodes on the platform.
 */
import { NODE_USAGE_PATH, nodeUsageSchema } from "@radishrouter/core";
import type { NodeUsage, OrganisationUsage } from "@radishrouter/core";
import { askNodes, findUnreachable } from "../node/node-client.js";
import type { UnreachableNode } from "../node/node-client.js";
import { formatTable } from "../output/text-table.js";
import type { TableStyle } from "../output/text-table.js";

/** Counts over all nodes that answered. */
export interface FleetUse {
    /** Start of the youngest process: what was counted before on its host is not in the sums. */
    readonly youngestStart: string | undefined;
    readonly organisations: readonly OrganisationUsage[];
    readonly missing: readonly UnreachableNode[];
}

const PERCENT = 100;

/** Asks nodes, at their metrics listeners, and adds up what they say. */
export async function collectUse(urls: readonly string[]): Promise<FleetUse> {
    const answers = await askNodes(urls, NODE_USAGE_PATH, nodeUsageSchema);
    const uses = answers.flatMap(answer => answer.kind === "answered" ? [answer.value] : []);
    return {
        youngestStart: uses.map(({ startedAt }) => startedAt).sort().at(-1),
        organisations: addUses(uses),
        missing: findUnreachable(answers),
    };
}

/** Formats the use of a fleet for people. */
export function formatUse(use: FleetUse, style: TableStyle): string {
    const head = ["organisation", "asked", "answered", "share", "failed by server", "over rate", "no room", "lost"];
    const rows = use.organisations.map(counts => {
        const asked = countAsked(counts);
        const share = asked === 0 ? "-" : `${(counts.answered / asked * PERCENT).toFixed(1)}%`;
        return [
            counts.organisation === "" ? "(calls without a key)" : counts.organisation,
            asked,
            counts.answered,
            share,
            counts.failedByServer,
            counts.refusedForRate,
            counts.refusedForRoom,
            counts.lost,
        ];
    });
    const notes = use.missing.map(({ url, reason }) => `missing: ${url}: ${reason}`);
    const since = use.youngestStart === undefined ? [] : [`youngest process started ${use.youngestStart}`];
    return [formatTable({ head, rows }, style), ...since, ...notes].join("\n");
}

function addUses(uses: readonly NodeUsage[]): OrganisationUsage[] {
    const sums = new Map<string, OrganisationUsage>();
    for (const counts of uses.flatMap(({ organisations }) => organisations)) {
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

function countAsked(counts: OrganisationUsage): number {
    return counts.answered + counts.failedByServer + counts.refusedForRate + counts.refusedForRoom + counts.lost;
}
