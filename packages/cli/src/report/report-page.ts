/**
 * A report as one self-contained HTML page with charts.
 */
import { resultNameOf } from "@radishrouter/core";
import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { chartScript } from "./chart-script.js";
import type { FleetReport, OrganisationReport } from "./fleet-report.js";
import { sumCounters } from "./outcome-sums.js";
import { pageStyle } from "./page-style.js";
import { describeReport, formatCodes, toOutcomeCells } from "./report-table.js";

const htmlEntities: Readonly<Record<string, string>> = {
    "&": "&amp;",
    "<": "&lt;",
    ">": "&gt;",
    '"': "&quot;",
    "'": "&#39;",
};

function escapeHtml(text: string): string {
    return text.replace(/[&<>"']/g, character => htmlEntities[character]!);
}

/** Serializes a value as JSON that is safe inside a script element, whatever names it contains. */
function escapeJson(value: unknown): string {
    return JSON.stringify(value).replace(
        /[<\u2028\u2029]/g,
        character => `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`,
    );
}

function readChartLibrary(): string {
    const main = createRequire(import.meta.url).resolve("chart.js");
    return readFileSync(join(dirname(main), "chart.umd.min.js"), "utf8")
        .replace(/\/\/# sourceMappingURL=.*$/m, "");
}

/** Returns the values that the charts show for one organisation; the chart script reads them by these names. */
function toChartRow(row: OrganisationReport): Record<string, string | number | boolean> {
    return {
        organisation: row.organisation,
        prompt: row.completed - row.delayed,
        delayed: row.delayed,
        refused: sumCounters(row.refused),
        failed: sumCounters(row.failed),
        unknown: sumCounters(row.unknown),
        hasShare: row.fairShare !== undefined,
        received: (row.receivedShare ?? 0) * 100,
        fair: (row.fairShare ?? 0) * 100,
    };
}

/** Creates the page, which loads no other file. */
export function createReportPage(report: FleetReport): string {
    const rows = report.organisations.map(toChartRow);
    const height = 120 + rows.length * 34;
    const sharesHeight = 120 + rows.filter(row => row["hasShare"]).length * 34;
    return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Who got what when capacity ran short</title>
<style>${pageStyle}</style>
</head>
<body>
<main>
<h1>Who got what when capacity ran short</h1>
${createNotes(report)}
<h2>What became of the requests of each organisation</h2>
<div class="chart" style="height:${height}px"><canvas id="outcomes"></canvas></div>
<h2>Share of the completed requests, received and fair</h2>
<p>The fair share divides the completed requests by the published rates; nobody gets more than was offered, and what
one organisation does not need goes to the others by their rates.</p>
<div class="chart" style="height:${sharesHeight}px"><canvas id="shares"></canvas></div>
<h2>Counters</h2>
${createOutcomeTable(report)}
<h2>Refusals by result code</h2>
${createRefusalTable(report)}
<h2>Nodes</h2>
${createNodeTable(report)}
</main>
<script>${readChartLibrary()}</script>
<script>const rows = ${escapeJson(rows)};${chartScript}</script>
</body>
</html>
`;
}

function createNotes(report: FleetReport): string {
    const items = describeReport(report).map(note => {
        const isMissing = note.startsWith("missing:");
        return `<li${isMissing ? ' class="missing"' : ""}>${escapeHtml(note)}</li>`;
    });
    return `<ul class="notes">${items.join("")}</ul>`;
}

function createRow(cells: readonly (string | number)[]): string {
    return `<tr>${cells.map(cell => `<td>${escapeHtml(String(cell))}</td>`).join("")}</tr>`;
}

function createTableElement(head: readonly string[], rows: readonly string[]): string {
    const cells = head.map(name => `<th scope="col">${escapeHtml(name)}</th>`).join("");
    return `<div class="scroll"><table><thead><tr>${cells}</tr></thead><tbody>${rows.join("\n")}</tbody></table></div>`;
}

function createOutcomeTable(report: FleetReport): string {
    const head = [
        "organisation",
        "rate a second",
        "offered",
        "completed",
        "of these delayed",
        "refused",
        "refused within rate",
        "failed",
        "unknown",
        "received",
        "fair share",
    ];
    const rows = report.organisations.map(row =>
        createRow([row.organisation, row.rate ?? "-", ...toOutcomeCells(row)])
    );
    return createTableElement(head, rows);
}

function createRefusalTable(report: FleetReport): string {
    const codes = [...new Set(report.organisations.flatMap(row => Object.keys(row.refused)))].sort();
    if (codes.length === 0) {
        return "<p>No request was refused.</p>";
    }
    const head = ["organisation", ...codes.map(code => `${code} ${resultNameOf(Number(code)) ?? ""}`)];
    const organisationsWithRefusals = report.organisations.filter(row => sumCounters(row.refused) > 0);
    return createTableElement(
        head,
        organisationsWithRefusals.map(row =>
            createRow([row.organisation, ...codes.map(code => row.refused[code] ?? 0)])
        ),
    );
}

function createNodeTable(report: FleetReport): string {
    const rows = report.nodes.map(node => {
        const outcomes = Object.values(node.organisations);
        const offered = outcomes.reduce((sum, row) => sum + row.offered, 0);
        const unknown = outcomes.map(row => formatCodes(row.unknown)).filter(text => text !== "-").join("; ");
        return createRow([node.host, node.startedAt, offered, node.openRequests, unknown === "" ? "-" : unknown]);
    });
    return createTableElement(["host", "started", "offered here", "open", "unknown by code"], rows);
}
