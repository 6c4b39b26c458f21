/**
 * A report as text.
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

/** Formats a report for a terminal or a pipe; notes on what is missing come first. */
export function formatReport(report: FleetReport, style: TableStyle): string {
    return [...describeReport(report), formatTable({ head, rows: report.organisations.map(toRow) }, style)].join("\n");
}

/** What a reader has to know before the figures: range, open requests and what is missing. */
export function describeReport(report: FleetReport): string[] {
    const range = report.from === undefined ? "no node answered" : `from ${report.from} to ${report.to}`;
    return [
        `${range}; ${report.nodes.length} nodes answered`,
        ...(report.openRequests > 0 ? [`${report.openRequests} requests were still open`] : []),
        ...report.unreachable.map(({ url, reason }) => `missing: the requests of ${url}: ${reason}`),
        ...report.restarted.map(({ host, startedAt }) =>
            `missing: what ${host} counted after the earlier report and before it restarted at ${startedAt}`
        ),
        ...(report.worstServed === undefined ? [] : [`least served against its fair share: ${report.worstServed}`]),
    ];
}

function toRow(row: OrganisationReport): (string | number)[] {
    return [row.organisation, ...outcomeCells(row), formatCodes({ ...row.refused, ...row.unknown })];
}

/** Cells that the table and the page show alike: counts by outcome, and the shares. */
export function outcomeCells(row: OrganisationReport): (string | number)[] {
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

/** Formats a part of the whole in per cent. */
export function formatShare(share: number | undefined): string {
    return share === undefined ? "-" : `${(share * 100).toFixed(1)}%`;
}

/** Formats counters by result code with the names of the results. */
export function formatCodes(counters: Readonly<Record<string, number>>): string {
    const codes = Object.entries(counters).map(([code, count]) => `${code} ${nameOf(code)}: ${count}`);
    return codes.length === 0 ? "-" : codes.join(", ");
}

function nameOf(code: string): string {
    return resultNameOf(Number(code)) ?? "unnamed";
}
