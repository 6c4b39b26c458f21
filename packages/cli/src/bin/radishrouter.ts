#!/usr/bin/env node
/**
 * Command-line tool for operators.
 */
import { createAccessKey } from "@radishrouter/core";
import { cac } from "cac";
import { CommandError, exitCodes } from "../command/command-error.js";
import { compileFiles, compileToFile } from "../command/compile-command.js";
import { collectReport, formatReport } from "../command/report-command.js";

function print(text: string): void {
    process.stdout.write(`${text}\n`);
}

const commandLine = cac("radishrouter");

commandLine.command("check [...files]", "Check operators' files").action((files: string[]) => {
    compileFiles(files, 1);
    print("no mistakes found");
});

commandLine.command("compile [...files]", "Make the document that operators publish")
    .option("--version-number <number>", "Version of the document; has to grow with each one")
    .option("--out <file>", "File to write; the standard output by default")
    .action((files: string[], options: { versionNumber?: number; out?: string; }) => {
        print(compileToFile(files, { version: options.versionNumber ?? 1, out: options.out }));
    });

commandLine.command("key", "Make a key for a caller, and the record to publish for it").action(() => {
    print(JSON.stringify(createAccessKey(), undefined, 2));
});

commandLine.command("report [...urls]", "Show who got what when capacity ran short")
    .option("--json", "Print JSON")
    .action(async (urls: string[], options: { json?: boolean; }) => {
        const report = await collectReport(urls);
        print(options.json ? JSON.stringify(report) : formatReport(report));
    });

commandLine.help();

try {
    commandLine.parse(process.argv, { run: false });
    await commandLine.runMatchedCommand();
}
catch (error) {
    process.stderr.write(`radishrouter: ${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = error instanceof CommandError ? error.exitCode : exitCodes.usage;
}
