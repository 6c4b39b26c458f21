/**
 * Outcomes of requests and fair share of each organisation, summed over all nodes that responded.
 */
import { configurationSchema, findOrganisation, nodeReportSchema } from "@radishrouter/core";
import type { Configuration, NodeReport, OrganisationOutcomes } from "@radishrouter/core";
import { z } from "zod";
import { findUnreachable, queryNodes } from "../node/node-client.js";
import type { UnreachableNode } from "../node/node-client.js";
import { divideFairly } from "./fair-share.js";
import { addOutcomes, createOutcomes, subtractOutcomes, sumCounters } from "./outcome-sums.js";

/** Requests of one organisation by outcome, and its share of the completed requests. */
export interface OrganisationReport extends OrganisationOutcomes {
    readonly organisation: string;
    /** Published rate in requests per second; undefined for requests that belong to no organisation with a rate. */
    readonly rate?: number;
    /** Completed requests as a fraction of those of all organisations that have a rate. */
    readonly receivedShare?: number;
    /** Fraction of these completed requests that the organisation would have received by its rate. */
    readonly fairShare?: number;
}

/** A node that restarted after the earlier report. What it counted between that report and the restart is lost. */
export interface RestartedNode {
    readonly host: string;
    readonly startedAt: string;
}

const nodeCountersSchema = nodeReportSchema.extend({ url: z.string() });

/** Counters of one node as it reported them, with the URL at which it was queried. */
export type NodeCounters = z.infer<typeof nodeCountersSchema>;

/** Schema of an earlier report; a new report can be limited to what was counted after it. */
export const earlierReportSchema = z.object({ nodes: z.array(nodeCountersSchema).readonly() });

/** Report of a fleet, with the nodes whose counters are missing from it. */
export interface FleetReport {
    /** Time from which the earliest counter counts, in ISO 8601. */
    readonly from: string | undefined;
    /** Time of the latest response, in ISO 8601. */
    readonly to: string | undefined;
    /** Whether every node responded and none restarted since the earlier report. */
    readonly complete: boolean;
    /** Requests that were in flight when the nodes were queried. */
    readonly openRequests: number;
    readonly organisations: readonly OrganisationReport[];
    /** Organisation whose received share is the lowest in relation to its fair share. */
    readonly worstServed: string | undefined;
    /** Nodes that did not respond or were not queried; their requests are missing from the counters. */
    readonly unreachable: readonly UnreachableNode[];
    readonly restarted: readonly RestartedNode[];
    /** Counters of each node since its process started, from which a later report can subtract. */
    readonly nodes: readonly NodeCounters[];
}

/** Queries nodes for their counters and configuration, and creates a report from them. */
export async function collectReport(
    urls: readonly string[],
    earlier?: z.infer<typeof earlierReportSchema>,
): Promise<FleetReport> {
    const [reports, configurations] = await Promise.all([
        queryNodes(urls, "/report", nodeReportSchema),
        queryNodes(urls, "/configuration", configurationSchema),
    ]);
    const nodes = reports.flatMap(result => result.kind === "answered" ? [{ ...result.value, url: result.url }] : []);
    const unreachable = findUnreachable(reports);
    const documents = configurations.flatMap(result => result.kind === "answered" ? [result.value] : []);
    const newest = documents.sort((left, right) => right.version - left.version)[0];
    return createReport(nodes, { unreachable, configuration: newest, earlier });
}

/** Inputs of a report besides the counters. */
export interface ReportSources {
    readonly unreachable: readonly UnreachableNode[];
    /** Active configuration, which contains the rates. */
    readonly configuration: Configuration | undefined;
    readonly earlier?: { readonly nodes: readonly NodeCounters[]; };
}

/** Creates a report from the counters of nodes. */
export function createReport(nodes: readonly NodeCounters[], sources: ReportSources): FleetReport {
    const { earlier, unreachable } = sources;
    const restarted = earlier ? findRestarted(nodes, earlier.nodes) : [];
    const notQueried = earlier ? findNotQueried(nodes, earlier.nodes, unreachable) : [];
    const missing = [...unreachable, ...notQueried];
    const organisations = addShares(sumNodes(nodes, earlier?.nodes ?? []), sources.configuration);
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

/** Finds nodes of the earlier report that were not queried for this one. */
function findNotQueried(
    nodes: readonly NodeCounters[],
    earlier: readonly NodeCounters[],
    unreachable: readonly UnreachableNode[],
): UnreachableNode[] {
    const hosts = new Set(nodes.map(node => node.host));
    const unreachableUrls = new Set(unreachable.map(node => node.url));
    return earlier.filter(node => !hosts.has(node.host) && !unreachableUrls.has(node.url))
        .map(node => ({ url: node.url, reason: "it is in the earlier report but was not queried for this one" }));
}

function sumNodes(
    nodes: readonly NodeCounters[],
    earlier: readonly NodeCounters[],
): ReadonlyMap<string, OrganisationOutcomes> {
    const totals = new Map<string, OrganisationOutcomes>();
    for (const node of nodes) {
        const earlierReport: NodeReport | undefined = findEarlier(node, earlier);
        for (const [name, outcomes] of Object.entries(node.organisations)) {
            const since = subtractOutcomes(outcomes, earlierReport?.organisations[name]);
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
    const fairRequests = divideFairly(completed, demands);
    return [...totals].sort(([left], [right]) => left < right ? -1 : 1).map(([organisation, outcomes]) => {
        const fairCount = fairRequests.get(organisation);
        const hasShare = fairCount !== undefined && completed > 0;
        return {
            organisation,
            ...outcomes,
            rate: rateOf(configuration, organisation),
            receivedShare: hasShare ? outcomes.completed / completed : undefined,
            fairShare: hasShare ? fairCount / completed : undefined,
        };
    });
}

function rateOf(configuration: Configuration | undefined, organisation: string): number | undefined {
    return configuration && findOrganisation(configuration, organisation)?.rate;
}

function findWorstServed(organisations: readonly OrganisationReport[]): string | undefined {
    const ratios = organisations.flatMap(({ organisation, receivedShare, fairShare }) =>
        receivedShare === undefined || !fairShare ? [] : [{ organisation, ratio: receivedShare / fairShare }]
    );
    return ratios.sort((left, right) => left.ratio - right.ratio)[0]?.organisation;
}
