/**
 * The commands of `radishrouter` and their options.
 */
import { createAccessKey } from "@radishrouter/core";
import { cac } from "cac";
import type { CAC } from "cac";
import { resolveNodeUrls } from "../node/node-client.js";
import { detectTableStyle } from "../output/text-table.js";
import { collectAudit, formatAudit } from "./audit-command.js";
import { CommandError, exitCodes } from "./command-error.js";
import { checkFiles, compileFiles, formatProblems, writeDocument } from "./compile-command.js";
import { formatExplanation, runExplain } from "./explain-command.js";
import { presentReport, runReport } from "./report-command.js";
import { collectStatus, formatStatus } from "./status-command.js";
import { formatTrace, traceRequest } from "./trace-command.js";
import { collectUsage, formatUsage } from "./use-command.js";

/** Output streams of a command. */
export interface CommandOutput {
    /** Writes a result to stdout. */
    readonly print: (text: string) => void;
    /** Writes an error or a note that is not part of the result to stderr. */
    readonly note: (text: string) => void;
}

/** Option value as parsed from the command line; a text that looks like a number arrives as a number. */
type RawOption = string | number | boolean | undefined;

interface NodeOptions {
    readonly json?: boolean;
    readonly hosts?: RawOption;
}

function readOption(name: string, value: RawOption): string | undefined {
    if (value === undefined) {
        return undefined;
    }
    if (typeof value === "boolean") {
        throw CommandError.create(`--${name} needs a value`, exitCodes.usage);
    }
    return String(value);
}

function readVersionNumber(text: string): number {
    const version = Number(text);
    if (!Number.isSafeInteger(version)) {
        throw CommandError.create(`--version-number ${text}: must be a whole number of at least 1`, exitCodes.usage);
    }
    return version;
}

function readNodeUrls(urls: readonly string[], options: NodeOptions): string[] {
    return resolveNodeUrls(urls.map(String), readOption("hosts", options.hosts));
}

/** Runs a command line and returns its exit code. */
export async function runCommandLine(args: readonly string[], output: CommandOutput): Promise<number> {
    const commandLine = cac("radishrouter");
    let exitCode: number = exitCodes.success;
    const setExitCode = (code: number) => {
        exitCode = code;
    };
    addFileCommands(commandLine, output, setExitCode);
    addExplainCommand(commandLine, output, setExitCode);
    addReportCommand(commandLine, output, setExitCode);
    addStatusCommands(commandLine, output, setExitCode);
    addTraceCommand(commandLine, output);
    addUseCommand(commandLine, output, setExitCode);
    commandLine.help(sections => [
        ...sections,
        {
            title: "Exit codes",
            body: "  0  success\n  1  an error was found, or the request is refused\n  2  invalid command line\n" +
                "  3  some nodes did not respond",
        },
    ]);
    try {
        commandLine.parse(["node", "radishrouter", ...args], { run: false });
        if (commandLine.options["help"]) {
            return exitCodes.success;
        }
        if (!commandLine.matchedCommand) {
            const name = commandLine.args[0];
            const problem = name === undefined ? "no command given" : `unknown command ${name}`;
            throw CommandError.create(`${problem}; see radishrouter --help`, exitCodes.usage);
        }
        await commandLine.runMatchedCommand();
        return exitCode;
    }
    catch (error) {
        output.note(`radishrouter: ${error instanceof Error ? error.message : String(error)}`);
        return error instanceof CommandError ? error.exitCode : exitCodes.usage;
    }
}

function addFileCommands(commandLine: CAC, output: CommandOutput, setExitCode: (code: number) => void): void {
    commandLine.command("check [...files]", "Check operators' files and list every error")
        .option("--json", "Print the errors and warnings as JSON")
        .example("radishrouter check catalogue/radishrouter.json organisations.json")
        .action((files: string[], options: { json?: boolean; }) => {
            const result = checkFiles(files);
            const problems = result.kind === "refused" ? result.problems : result.warnings;
            if (options.json) {
                output.print(JSON.stringify({ problems }));
            }
            else {
                output.print(problems.length === 0 ? "no errors found" : formatProblems(problems));
            }
            setExitCode(result.kind === "refused" ? exitCodes.problem : exitCodes.success);
        });
    commandLine.command("compile [...files]", "Compile operators' files into the document to publish")
        .option("--version-number <number>", "Version of the document (default: one above --previous, or 1)")
        .option("--previous <file>", "Document that was published last; the new version must be higher")
        .option("--out <file>", "File to write (default: standard output)")
        .action((files: string[], options: { versionNumber?: RawOption; previous?: RawOption; out?: RawOption; }) => {
            const version = readOption("version-number", options.versionNumber);
            const document = compileFiles(files, {
                versionNumber: version === undefined ? undefined : readVersionNumber(version),
                previous: readOption("previous", options.previous),
            });
            if (document.warnings.length > 0) {
                output.note(formatProblems(document.warnings));
            }
            const out = readOption("out", options.out);
            if (out === undefined) {
                output.print(document.text);
                return;
            }
            writeDocument(out, document);
            output.print(`wrote version ${document.configuration.version} to ${out}`);
        });
    commandLine.command("key", "Generate a key for a caller, and the record to publish for it").action(() => {
        output.print(JSON.stringify(createAccessKey(), undefined, 2));
    });
}

function addExplainCommand(commandLine: CAC, output: CommandOutput, setExitCode: (code: number) => void): void {
    interface ExplainOptions {
        readonly key?: RawOption;
        readonly organisation?: RawOption;
        readonly document?: RawOption;
        readonly node?: RawOption;
        readonly json?: boolean;
    }
    commandLine.command("explain <method> <target>", "Explain what would happen to a request, and why")
        .option("--document <file>", "Compiled document to evaluate the request against")
        .option("--node <url>", "URL of the operators' listener of a node to evaluate the request against")
        .option("--key <key>", "Key of the caller; it is not sent anywhere")
        .option("--organisation <name>", "Organisation of the caller, if its key is not known")
        .option("--json", "Print JSON")
        .action(async (method: string, target: string, options: ExplainOptions) => {
            const explanation = await runExplain({
                method: method.toUpperCase(),
                target,
                key: readOption("key", options.key),
                organisation: readOption("organisation", options.organisation),
            }, { document: readOption("document", options.document), node: readOption("node", options.node) });
            output.print(
                options.json ? JSON.stringify(explanation) : formatExplanation(explanation, detectTableStyle()),
            );
            setExitCode(explanation.refusedWith === undefined ? exitCodes.success : exitCodes.problem);
        });
}

function addReportCommand(commandLine: CAC, output: CommandOutput, setExitCode: (code: number) => void): void {
    interface CommandOptions extends NodeOptions {
        readonly html?: RawOption;
        readonly since?: RawOption;
    }
    commandLine.command("report [...urls]", "Show who got what when capacity ran short")
        .option("--hosts <file>", "JSON list of the URLs of nodes' operators' listeners")
        .option("--since <file>", "Earlier report made with --json; count only what happened after it")
        .option("--html <file>", "Write a page with charts to an HTML file")
        .option("--json", "Print JSON")
        .action(async (urls: string[], options: CommandOptions) => {
            const reportOptions = {
                json: options.json,
                html: readOption("html", options.html),
                since: readOption("since", options.since),
            };
            const report = await runReport(readNodeUrls(urls, options), reportOptions);
            output.print(presentReport(report, reportOptions, detectTableStyle()));
            setExitCode(report.complete ? exitCodes.success : exitCodes.incomplete);
        });
}

function addStatusCommands(commandLine: CAC, output: CommandOutput, setExitCode: (code: number) => void): void {
    commandLine.command("status [...urls]", "Show the status of each node")
        .option("--hosts <file>", "JSON list of the URLs of nodes' operators' listeners")
        .option("--json", "Print JSON")
        .action(async (urls: string[], options: NodeOptions) => {
            const results = await collectStatus(readNodeUrls(urls, options));
            output.print(options.json ? JSON.stringify(results) : formatStatus(results, detectTableStyle()));
            const isComplete = results.every(result => result.kind === "answered");
            setExitCode(isComplete ? exitCodes.success : exitCodes.incomplete);
        });
    commandLine.command("audit [...urls]", "Show the changes that nodes activated")
        .option("--hosts <file>", "JSON list of the URLs of nodes' operators' listeners")
        .option("--change <name>", "Show only changes of one kind, such as key-withdrawn")
        .option("--json", "Print JSON")
        .action(async (urls: string[], options: NodeOptions & { change?: RawOption; }) => {
            const audit = await collectAudit(readNodeUrls(urls, options), readOption("change", options.change));
            output.print(options.json ? JSON.stringify(audit) : formatAudit(audit, detectTableStyle()));
            for (const { url, reason } of audit.unreachable) {
                output.note(`radishrouter: ${url}: ${reason}`);
            }
            setExitCode(audit.unreachable.length === 0 ? exitCodes.success : exitCodes.incomplete);
        });
}

function addTraceCommand(commandLine: CAC, output: CommandOutput): void {
    commandLine.command(
        "trace <request> [...files]",
        "Show what nodes logged about a request, from the given log files",
    )
        .option("--json", "Print JSON")
        .example("radishrouter trace 9c41d07be2a35f68 host-1.log host-2.log")
        .action((request: string, files: string[], options: { json?: boolean; }) => {
            if (files.length === 0) {
                throw CommandError.create(
                    "no log files given; name the log files of the nodes after the request",
                    exitCodes.usage,
                );
            }
            const trace = traceRequest(String(request), files);
            output.print(options.json ? JSON.stringify(trace) : formatTrace(trace, detectTableStyle()));
        });
}

function addUseCommand(commandLine: CAC, output: CommandOutput, setExitCode: (code: number) => void): void {
    commandLine.command("use [...urls]", "Show the usage of nodes on the platform by each organisation")
        .option("--hosts <file>", "JSON list of the URLs of nodes' metrics listeners")
        .option("--json", "Print JSON")
        .example("radishrouter use http://10.1.0.26:7015 http://10.1.0.27:7015")
        .action(async (urls: string[], options: NodeOptions) => {
            const usage = await collectUsage(readNodeUrls(urls, options));
            output.print(options.json ? JSON.stringify(usage) : formatUsage(usage, detectTableStyle()));
            setExitCode(usage.missing.length === 0 ? exitCodes.success : exitCodes.incomplete);
        });
}
