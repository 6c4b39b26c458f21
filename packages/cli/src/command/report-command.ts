/**
 * `radishrouter report`: who got what when capacity ran short.
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
    /** File to write a page to. */
    readonly html?: string;
    /** File with the JSON of an earlier report, from which to count on. */
    readonly since?: string;
}

/** Collects a report. */
export function runReport(urls: readonly string[], options: ReportOptions): Promise<FleetReport> {
    const earlier = options.since === undefined ?
        undefined :
        readJsonFile(options.since, earlierReportSchema, "a report made with --json");
    return collectReport(urls, earlier);
}

/**
 * Formats a report as the options ask for it; writes the page if one is asked for.
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
