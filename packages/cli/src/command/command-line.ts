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
import { collectUse, formatUse } from "./use-command.js";

/** Where a command writes. */
export interface CommandOutput {
    /** Writes a result. */
    readonly print: (text: string) => void;
    /** Writes a note that is not part of the result. */
    readonly note: (text: string) => void;
}

/** Options as the command line gives them: numbers and texts look alike there. */
type RawOption = string | number | boolean | undefined;

interface NodeOptions {
    readonly json?: boolean;
    readonly hosts?: RawOption;
}

function readText(name: string, value: RawOption): string | undefined {
    if (value === undefined) {
        return undefined;
    }
    if (typeof value === "boolean") {
        throw CommandError.create(`--${name} needs a value`, exitCodes.usage);
    }
    return String(value);
}

function readNodes(urls: readonly string[], options: NodeOptions): string[] {
    return resolveNodeUrls(urls.map(String), readText("hosts", options.hosts));
}

/** Runs a command line and gives its exit code. */
export async function runCommandLine(args: readonly string[], output: CommandOutput): Promise<number> {
    const commandLine = cac("radishrouter");
    let exitCode: number = exitCodes.success;
    const finish = (code: number) => {
        exitCode = code;
    };
    addFileCommands(commandLine, output, finish);
    addExplainCommand(commandLine, output, finish);
    addReportCommand(commandLine, output, finish);
    addStatusCommands(commandLine, output, finish);
    addTraceCommand(commandLine, output);
    addUseCommand(commandLine, output, finish);
    commandLine.help(sections => [
        ...sections,
        {
            title: "Exit codes",
            body: "  0  done\n  1  a mistake or refusal was found\n  2  the command line is wrong\n" +
                "  3  some nodes did not answer",
        },
    ]);
    try {
        commandLine.parse(["node", "radishrouter", ...args], { run: false });
        if (commandLine.options["help"]) {
            return exitCodes.success;
        }
        if (!commandLine.matchedCommand) {
            const name = commandLine.args[0];
            const problem = name === undefined ? "name a command" : `there is no command ${name}`;
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

function addFileCommands(commandLine: CAC, output: CommandOutput, finish: (code: number) => void): void {
    commandLine.command("check [...files]", "Find every mistake in operators' files")
        .option("--json", "Print the mistakes as JSON")
        .example("radishrouter check catalogue/radishrouter.json organisations.json")
        .action((files: string[], options: { json?: boolean; }) => {
            const result = checkFiles(files);
            const problems = result.kind === "refused" ? result.problems : result.warnings;
            if (options.json) {
                output.print(JSON.stringify({ problems }));
            }
            else {
                output.print(problems.length === 0 ? "no mistakes found" : formatProblems(problems));
            }
            finish(result.kind === "refused" ? exitCodes.problem : exitCodes.success);
        });
    commandLine.command("compile [...files]", "Make the document that operators publish")
        .option("--version-number <number>", "Version of the document; one above --previous, or 1, by default")
        .option("--previous <file>", "Document that was published last; the new version has to be higher")
        .option("--out <file>", "File to write; the standard output by default")
        .action((files: string[], options: { versionNumber?: RawOption; previous?: RawOption; out?: RawOption; }) => {
            const version = readText("version-number", options.versionNumber);
            const document = compileFiles(files, {
                versionNumber: version === undefined ? undefined : Number(version),
                previous: readText("previous", options.previous),
            });
            if (document.warnings.length > 0) {
                output.note(formatProblems(document.warnings));
            }
            const out = readText("out", options.out);
            if (out === undefined) {
                output.print(document.text);
                return;
            }
            writeDocument(out, document);
            output.print(`wrote version ${document.configuration.version} to ${out}`);
        });
    commandLine.command("key", "Make a key for a caller, and the record to publish for it").action(() => {
        output.print(JSON.stringify(createAccessKey(), undefined, 2));
    });
}

function addExplainCommand(commandLine: CAC, output: CommandOutput, finish: (code: number) => void): void {
    interface ExplainOptions {
        readonly key?: RawOption;
        readonly organisation?: RawOption;
        readonly document?: RawOption;
        readonly node?: RawOption;
        readonly json?: boolean;
    }
    commandLine.command("explain <method> <target>", "Say what would happen to a request, and why")
        .option("--document <file>", "Compiled document to explain by")
        .option("--node <url>", "Node to explain by, at its operators' listener")
        .option("--key <key>", "Key of the caller; it is not sent anywhere")
        .option("--organisation <name>", "Organisation of the caller, when no key is at hand")
        .option("--json", "Print JSON")
        .action(async (method: string, target: string, options: ExplainOptions) => {
            const explanation = await runExplain({
                method: method.toUpperCase(),
                target,
                key: readText("key", options.key),
                organisation: readText("organisation", options.organisation),
            }, { document: readText("document", options.document), node: readText("node", options.node) });
            output.print(
                options.json ? JSON.stringify(explanation) : formatExplanation(explanation, detectTableStyle()),
            );
            finish(explanation.refusedWith === undefined ? exitCodes.success : exitCodes.problem);
        });
}

function addReportCommand(commandLine: CAC, output: CommandOutput, finish: (code: number) => void): void {
    interface CommandOptions extends NodeOptions {
        readonly html?: RawOption;
        readonly since?: RawOption;
    }
    commandLine.command("report [...urls]", "Show who got what when capacity ran short")
        .option("--hosts <file>", "JSON list of the URLs of nodes' operators' listeners")
        .option("--since <file>", "Earlier report made with --json, from which to count on")
        .option("--html <file>", "Write a page with charts")
        .option("--json", "Print JSON")
        .action(async (urls: string[], options: CommandOptions) => {
            const reportOptions = {
                json: options.json,
                html: readText("html", options.html),
                since: readText("since", options.since),
            };
            const report = await runReport(readNodes(urls, options), reportOptions);
            output.print(presentReport(report, reportOptions, detectTableStyle()));
            finish(report.complete ? exitCodes.success : exitCodes.incomplete);
        });
}

function addStatusCommands(commandLine: CAC, output: CommandOutput, finish: (code: number) => void): void {
    commandLine.command("status [...urls]", "Show what each node says of itself")
        .option("--hosts <file>", "JSON list of the URLs of nodes' operators' listeners")
        .option("--json", "Print JSON")
        .action(async (urls: string[], options: NodeOptions) => {
            const answers = await collectStatus(readNodes(urls, options));
            output.print(options.json ? JSON.stringify(answers) : formatStatus(answers, detectTableStyle()));
            const isComplete = answers.every(answer => answer.kind === "answered");
            finish(isComplete ? exitCodes.success : exitCodes.incomplete);
        });
    commandLine.command("audit [...urls]", "Show the changes that nodes put in force")
        .option("--hosts <file>", "JSON list of the URLs of nodes' operators' listeners")
        .option("--change <name>", "Only changes of one kind, such as key-withdrawn")
        .option("--json", "Print JSON")
        .action(async (urls: string[], options: NodeOptions & { change?: RawOption; }) => {
            const audit = await collectAudit(readNodes(urls, options), readText("change", options.change));
            output.print(options.json ? JSON.stringify(audit) : formatAudit(audit, detectTableStyle()));
            for (const { url, reason } of audit.unreachable) {
                output.note(`radishrouter: ${url}: ${reason}`);
            }
            finish(audit.unreachable.length === 0 ? exitCodes.success : exitCodes.incomplete);
        });
}

function addTraceCommand(commandLine: CAC, output: CommandOutput): void {
    commandLine.command("trace <request> [...files]", "Show what nodes logged about a request, from their log files")
        .option("--json", "Print JSON")
        .example("radishrouter trace 9c41d07be2a35f68 host-1.log host-2.log")
        .action((request: string, files: string[], options: { json?: boolean; }) => {
            if (files.length === 0) {
                throw CommandError.create("name the log files of the nodes", exitCodes.usage);
            }
            const trace = traceRequest(String(request), files);
            output.print(options.json ? JSON.stringify(trace) : formatTrace(trace, detectTableStyle()));
        });
}

function addUseCommand(commandLine: CAC, output: CommandOutput, finish: (code: number) => void): void {
    commandLine.command("use [...urls]", "Show what each organisation got from nodes on the platform")
        .option("--hosts <file>", "JSON list of the URLs of nodes' metrics listeners")
        .option("--json", "Print JSON")
        .example("radishrouter use http://10.1.0.26:7015 http://10.1.0.27:7015")
        .action(async (urls: string[], options: NodeOptions) => {
            const use = await collectUse(readNodes(urls, options));
            output.print(options.json ? JSON.stringify(use) : formatUse(use, detectTableStyle()));
            finish(use.missing.length === 0 ? exitCodes.success : exitCodes.incomplete);
        });
}
