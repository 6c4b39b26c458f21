/**
 * Commands of the command-line tool, for programs that call them directly.
 */
export { CommandError, exitCodes } from "./command/command-error.js";
export { compileFiles, compileToFile } from "./command/compile-command.js";
export { collectReport, formatReport } from "./command/report-command.js";
export type { FleetReport } from "./command/report-command.js";
