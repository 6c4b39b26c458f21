/**
 * Functions behind the commands of the command-line tool, for programs that call them in their own process.
 */
export { CommandError, exitCodes } from "./command/command-error.js";
export { runCommandLine } from "./command/command-line.js";
export { checkFiles, compileFiles, writeDocument } from "./command/compile-command.js";
export type { CompiledDocument, CompileOptions } from "./command/compile-command.js";
export { divideFairly } from "./report/fair-share.js";
export { collectReport, createReport } from "./report/fleet-report.js";
export type { FleetReport, NodeCounters, OrganisationReport } from "./report/fleet-report.js";
export { countEnded, sumCounters } from "./report/outcome-sums.js";
export { createReportPage } from "./report/report-page.js";
export { formatReport } from "./report/report-table.js";
