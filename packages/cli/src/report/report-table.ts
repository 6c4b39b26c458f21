/**
 * Formats a report as text.
 */
import { resultNameOf } from "@radishrouter/core";
import { formatTable } from "../output/text-table.js";
import type { TableStyle } from "../output/text-table.js";
import type { FleetReport, OrganisationReport } from "./fleet-report.js";
import { sumCounters } from "./outcome-sums.js";

const head = [
    "organisation",
    "offered",
    "completed",
    "delayed",
    "refused",
    "within rate",
    "failed",
    "unknown",
    "received",
    "fair share",
    "by result code",
];

/** Formats a report for a terminal or a pipe, with the notes of {@link describeReport} above the table. */
export function formatReport(report: FleetReport, style: TableStyle): string {
    return [...describeReport(report), formatTable({ head, rows: report.organisations.map(toRow) }, style)].join("\n");
}

/** Describes what the figures cover: time range, requests in flight, and nodes whose counters are missing. */
export function describeReport(report: FleetReport): string[] {
    const range = report.from === undefined ? "no node responded" : `from ${report.from} to ${report.to}`;
    return [
        `${range}; ${report.nodes.length} nodes responded`,
        ...(report.openRequests > 0 ? [`${report.openRequests} requests were still in flight`] : []),
        ...report.unreachable.map(({ url, reason }) => `missing: the requests of ${url}: ${reason}`),
        ...report.restarted.map(({ host, startedAt }) =>
            `missing: the counters of ${host} between the earlier report and its restart at ${startedAt}`
        ),
        ...(report.worstServed === undefined ?
            [] :
            [`lowest received share in relation to its fair share: ${report.worstServed}`]),
    ];
}

function toRow(row: OrganisationReport): (string | number)[] {
    return [row.organisation, ...toOutcomeCells(row), formatCodes({ ...row.refused, ...row.unknown })];
}

/** Returns the cells that the text table and the HTML page have in common: counts by outcome, and the shares. */
export function toOutcomeCells(row: OrganisationReport): (string | number)[] {
    return [
        row.offered,
        row.completed,
        row.delayed,
        sumCounters(row.refused),
        row.refusedWithinRate,
        sumCounters(row.failed),
        sumCounters(row.unknown),
        formatShare(row.receivedShare),
        formatShare(row.fairShare),
    ];
}

/** Formats a fraction as a percentage. */
export function formatShare(share: number | undefined): string {
    return share === undefined ? "-" : `${(share * 100).toFixed(1)}%`;
}

/** Formats counters by result code, each with the name of the code. */
export function formatCodes(counters: Readonly<Record<string, number>>): string {
    const codes = Object.entries(counters).map(([code, count]) => `${code} ${nameOf(code)}: ${count}`);
    return codes.length === 0 ? "-" : codes.join(", ");
}

function nameOf(code: string): string {
    return resultNameOf(Number(code)) ?? "unnamed";
}
