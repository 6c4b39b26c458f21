/**
 * `radishrouter report`: who got what when capacity ran short.
 */
import { nodeReportSchema } from "@radishrouter/core";
import type { NodeReport, OrganisationOutcomes } from "@radishrouter/core";
import Table from "cli-table3";
import { request } from "undici";

/** Counters of all nodes that answered. */
export interface FleetReport {
    readonly organisations: Record<string, OrganisationOutcomes>;
    readonly nodes: readonly NodeReport[];
    /** Nodes that did not answer; their requests are missing from the counters. */
    readonly unreachable: readonly string[];
}

function addCounters(into: Record<string, number>, counters: Record<string, number>): void {
    for (const [name, count] of Object.entries(counters)) {
        into[name] = (into[name] ?? 0) + count;
    }
}

function addOutcomes(into: OrganisationOutcomes, outcomes: OrganisationOutcomes): void {
    into.offered += outcomes.offered;
    into.completed += outcomes.completed;
    into.delayed += outcomes.delayed;
    into.refusedWithinRate += outcomes.refusedWithinRate;
    addCounters(into.refused, outcomes.refused);
    addCounters(into.failed, outcomes.failed);
    addCounters(into.unknown, outcomes.unknown);
}

/** Asks nodes for their counters and adds them up. */
export async function collectReport(urls: readonly string[]): Promise<FleetReport> {
    const nodes: NodeReport[] = [];
    const unreachable: string[] = [];
    await Promise.all(urls.map(async url => {
        try {
            const answer = await request(`${url}/report`, { headersTimeout: 2_000 });
            nodes.push(nodeReportSchema.parse(await answer.body.json()));
        }
        catch {
            unreachable.push(url);
        }
    }));
    const organisations: Record<string, OrganisationOutcomes> = {};
    for (const [name, outcomes] of nodes.flatMap(node => Object.entries(node.organisations))) {
        const total = organisations[name];
        if (total) {
            addOutcomes(total, outcomes);
        }
        else {
            organisations[name] = structuredClone(outcomes);
        }
    }
    return { organisations, nodes, unreachable };
}

function sum(counters: Record<string, number>): number {
    return Object.values(counters).reduce((total, count) => total + count, 0);
}

/** Formats a report for a terminal. */
export function formatReport(report: FleetReport): string {
    const table = new Table({
        head: ["organisation", "offered", "completed", "delayed", "refused", "failed", "unknown"],
        style: { head: [], border: [] },
    });
    for (const [name, outcomes] of Object.entries(report.organisations).sort()) {
        const { offered, completed, delayed, refused, failed, unknown } = outcomes;
        table.push([name, offered, completed, delayed, sum(refused), sum(failed), sum(unknown)]);
    }
    const missing = report.unreachable.map(url => `no answer from ${url}: its requests are missing`);
    return [table.toString(), ...missing].join("\n");
}
