/**
 * Who got what when capacity ran short, over all nodes that answered.
 */
import { configurationSchema, nodeReportSchema } from "@radishrouter/core";
import type { Configuration, NodeReport, OrganisationOutcomes } from "@radishrouter/core";
import { z } from "zod";
import { askNodes, findUnreachable } from "../node/node-client.js";
import type { UnreachableNode } from "../node/node-client.js";
import { divideFairly } from "./fair-share.js";
import { addOutcomes, createOutcomes, subtractOutcomes, sumCounters } from "./outcome-sums.js";

/** What one organisation asked for and received. */
export interface OrganisationReport extends OrganisationOutcomes {
    readonly organisation: string;
    /** Published rate in requests a second; undefined for requests of no organisation. */
    readonly rate?: number;
    /** Completed requests as a part of those of all organisations that have a rate. */
    readonly receivedShare?: number;
    /** Part of the completed requests that the organisation would have received by its rate. */
    readonly fairShare?: number;
}

/** A node that started after the earlier report; what it counted between the two before that is lost. */
export interface RestartedNode {
    readonly host: string;
    readonly startedAt: string;
}

const nodeCountersSchema = nodeReportSchema.extend({ url: z.string() });

/** Counters of one node as it gave them, with the URL where it was asked. */
export type NodeCounters = z.infer<typeof nodeCountersSchema>;

/** An earlier report from which a new one counts on. */
export const earlierReportSchema = z.object({ nodes: z.array(nodeCountersSchema).readonly() });

/** Who got what, and what is missing from the answer. */
export interface FleetReport {
    /** Start of the earliest counter, in ISO 8601. */
    readonly from: string | undefined;
    readonly to: string | undefined;
    /** Whether every node answered and none restarted since the earlier report. */
    readonly complete: boolean;
    /** Requests that had not ended when the nodes were asked. */
    readonly openRequests: number;
    readonly organisations: readonly OrganisationReport[];
    /** Organisation with a rate that received the least of its fair share. */
    readonly worstServed: string | undefined;
    /** Nodes that did not answer; their requests are missing from the counters. */
    readonly unreachable: readonly UnreachableNode[];
    readonly restarted: readonly RestartedNode[];
    /** Counters since each process started; a later report can be made from here on. */
    readonly nodes: readonly NodeCounters[];
}

/** Asks nodes for their counters and adds them up. */
export async function collectReport(
    urls: readonly string[],
    earlier?: z.infer<typeof earlierReportSchema>,
): Promise<FleetReport> {
    const [reports, configurations] = await Promise.all([
        askNodes(urls, "/report", nodeReportSchema),
        askNodes(urls, "/configuration", configurationSchema),
    ]);
    const nodes = reports.flatMap(answer => answer.kind === "answered" ? [{ ...answer.value, url: answer.url }] : []);
    const unreachable = findUnreachable(reports);
    const documents = configurations.flatMap(answer => answer.kind === "answered" ? [answer.value] : []);
    const newest = documents.sort((left, right) => right.version - left.version)[0];
    return createReport(nodes, { unreachable, configuration: newest, earlier });
}

/** What a report is made of besides the counters. */
export interface ReportSources {
    readonly unreachable: readonly UnreachableNode[];
    /** Configuration in force, for the rates. */
    readonly configuration: Configuration | undefined;
    readonly earlier?: { readonly nodes: readonly NodeCounters[]; };
}

/** Adds up counters of nodes. */
export function createReport(nodes: readonly NodeCounters[], sources: ReportSources): FleetReport {
    const { earlier, unreachable } = sources;
    const restarted = earlier ? findRestarted(nodes, earlier.nodes) : [];
    const gone = earlier ? findGone(nodes, earlier.nodes, unreachable) : [];
    const missing = [...unreachable, ...gone];
    const organisations = addShares(addNodes(nodes, earlier?.nodes ?? []), sources.configuration);
    const starts = nodes.map(node => findStart(node, earlier?.nodes ?? []));
    return {
        from: starts.sort()[0],
        to: nodes.map(node => node.time).sort().at(-1),
        complete: missing.length === 0 && restarted.length === 0,
        openRequests: nodes.reduce((sum, node) => sum + node.openRequests, 0),
        organisations,
        worstServed: findWorstServed(organisations),
        unreachable: missing,
        restarted,
        nodes,
    };
}

function findEarlier(node: NodeCounters, earlier: readonly NodeCounters[]): NodeCounters | undefined {
    return earlier.find(other => other.host === node.host && other.startedAt === node.startedAt);
}

function findStart(node: NodeCounters, earlier: readonly NodeCounters[]): string {
    return findEarlier(node, earlier)?.time ?? node.startedAt;
}

function findRestarted(nodes: readonly NodeCounters[], earlier: readonly NodeCounters[]): RestartedNode[] {
    return nodes.filter(node => earlier.some(other => other.host === node.host && other.startedAt !== node.startedAt))
        .map(({ host, startedAt }) => ({ host, startedAt }));
}

/** Nodes of the earlier report that were not asked now. */
function findGone(
    nodes: readonly NodeCounters[],
    earlier: readonly NodeCounters[],
    unreachable: readonly UnreachableNode[],
): UnreachableNode[] {
    const hosts = new Set(nodes.map(node => node.host));
    const named = new Set(unreachable.map(node => node.url));
    return earlier.filter(node => !hosts.has(node.host) && !named.has(node.url))
        .map(node => ({ url: node.url, reason: "it was in the earlier report and was not asked now" }));
}

function addNodes(
    nodes: readonly NodeCounters[],
    earlier: readonly NodeCounters[],
): ReadonlyMap<string, OrganisationOutcomes> {
    const totals = new Map<string, OrganisationOutcomes>();
    for (const node of nodes) {
        const before: NodeReport | undefined = findEarlier(node, earlier);
        for (const [name, outcomes] of Object.entries(node.organisations)) {
            const since = subtractOutcomes(outcomes, before?.organisations[name]);
            totals.set(name, addOutcomes(totals.get(name) ?? createOutcomes(), since));
        }
    }
    return new Map([...totals].filter(([, outcomes]) => outcomes.offered > 0 || sumCounters(outcomes.unknown) > 0));
}

function addShares(
    totals: ReadonlyMap<string, OrganisationOutcomes>,
    configuration: Configuration | undefined,
): OrganisationReport[] {
    const demands = [...totals].flatMap(([organisation, { offered }]) => {
        const rate = rateOf(configuration, organisation);
        return rate === undefined ? [] : [{ organisation, offered, rate }];
    });
    const completed = demands.reduce((sum, { organisation }) => sum + totals.get(organisation)!.completed, 0);
    const fair = divideFairly(completed, demands);
    return [...totals].sort(([left], [right]) => left < right ? -1 : 1).map(([organisation, outcomes]) => {
        const part = fair.get(organisation);
        const hasShare = part !== undefined && completed > 0;
        return {
            organisation,
            ...outcomes,
            rate: rateOf(configuration, organisation),
            receivedShare: hasShare ? outcomes.completed / completed : undefined,
            fairShare: hasShare ? part / completed : undefined,
        };
    });
}

function rateOf(configuration: Configuration | undefined, organisation: string): number | undefined {
    const organisations = configuration?.organisations ?? {};
    return Object.hasOwn(organisations, organisation) ? organisations[organisation]?.rate : undefined;
}

function findWorstServed(organisations: readonly OrganisationReport[]): string | undefined {
    const ratios = organisations.flatMap(({ organisation, receivedShare, fairShare }) =>
        receivedShare === undefined || !fairShare ? [] : [{ organisation, ratio: receivedShare / fairShare }]
    );
    return ratios.sort((left, right) => left.ratio - right.ratio)[0]?.organisation;
}
