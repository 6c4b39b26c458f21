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
import { describeReport, formatCodes, outcomeCells } from "./report-table.js";

const entities: Readonly<Record<string, string>> = {
    "&": "&amp;",
    "<": "&lt;",
    ">": "&gt;",
    '"': "&quot;",
    "'": "&#39;",
};

function escapeText(text: string): string {
    return text.replace(/[&<>"']/g, character => entities[character]!);
}

/** JSON that can stand in a script element whatever names it holds. */
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

/** What the charts show of one organisation. */
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

/** Makes the page; it loads nothing from elsewhere. */
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
${createTable(report)}
<h2>Refusals by result code</h2>
${createCodes(report)}
<h2>Nodes</h2>
${createNodes(report)}
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
        return `<li${isMissing ? ' class="missing"' : ""}>${escapeText(note)}</li>`;
    });
    return `<ul class="notes">${items.join("")}</ul>`;
}

function createRow(cells: readonly (string | number)[]): string {
    return `<tr>${cells.map(cell => `<td>${escapeText(String(cell))}</td>`).join("")}</tr>`;
}

function wrapTable(head: readonly string[], rows: readonly string[]): string {
    const cells = head.map(name => `<th scope="col">${escapeText(name)}</th>`).join("");
    return `<div class="scroll"><table><thead><tr>${cells}</tr></thead><tbody>${rows.join("\n")}</tbody></table></div>`;
}

function createTable(report: FleetReport): string {
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
    const rows = report.organisations.map(row => createRow([row.organisation, row.rate ?? "-", ...outcomeCells(row)]));
    return wrapTable(head, rows);
}

function createCodes(report: FleetReport): string {
    const codes = [...new Set(report.organisations.flatMap(row => Object.keys(row.refused)))].sort();
    if (codes.length === 0) {
        return "<p>No request was refused.</p>";
    }
    const head = ["organisation", ...codes.map(code => `${code} ${resultNameOf(Number(code)) ?? ""}`)];
    const refusing = report.organisations.filter(row => sumCounters(row.refused) > 0);
    return wrapTable(
        head,
        refusing.map(row => createRow([row.organisation, ...codes.map(code => row.refused[code] ?? 0)])),
    );
}

function createNodes(report: FleetReport): string {
    const rows = report.nodes.map(node => {
        const outcomes = Object.values(node.organisations);
        const offered = outcomes.reduce((sum, row) => sum + row.offered, 0);
        const unknown = outcomes.map(row => formatCodes(row.unknown)).filter(text => text !== "-").join("; ");
        return createRow([node.host, node.startedAt, offered, node.openRequests, unknown === "" ? "-" : unknown]);
    });
    return wrapTable(["host", "started", "offered here", "open", "unknown by code"], rows);
}
