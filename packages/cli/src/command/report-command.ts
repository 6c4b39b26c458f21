/**
 * `radishrouter report`: outcomes of requests and fair share of each organisation.
 */
import { writeFileSync } from "node:fs";
import type { TableStyle } from "../output/text-table.js";
import { collectReport, earlierReportSchema } from "../report/fleet-report.js";
import type { FleetReport } from "../report/fleet-report.js";
import { createReportPage } from "../report/report-page.js";
import { formatReport } from "../report/report-table.js";
import { CommandError } from "./command-error.js";
import { readJsonFile } from "./read-files.js";

/** Options of `radishrouter report`. */
export interface ReportOptions {
    readonly json?: boolean;
    /** HTML file to write a page with charts to. */
    readonly html?: string;
    /** File with the JSON of an earlier report; only what was counted after it is reported. */
    readonly since?: string;
}

/** Collects a report from nodes. */
export function runReport(urls: readonly string[], options: ReportOptions): Promise<FleetReport> {
    const earlier = options.since === undefined ?
        undefined :
        readJsonFile(options.since, earlierReportSchema, "a report made with --json");
    return collectReport(urls, earlier);
}

/**
 * Formats a report as JSON or as text, and writes the HTML page if `options.html` is set.
 *
 * @throws CommandError when the page cannot be written.
 */
export function presentReport(report: FleetReport, options: ReportOptions, style: TableStyle): string {
    if (options.html !== undefined) {
        try {
            writeFileSync(options.html, createReportPage(report));
        }
        catch (error) {
            throw CommandError.create(`${options.html}: cannot be written: ${(error as Error).message}`);
        }
    }
    return options.json ? JSON.stringify(report) : formatReport(report, style);
}
