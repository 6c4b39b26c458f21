#!/usr/bin/env node
/**
 * Command-line tool for operators.
 */
import { runCommandLine } from "../command/command-line.js";

process.stdout.on("error", (error: NodeJS.ErrnoException) => {
    // The reader of a pipe, such as `head`, may stop early; that is no failure of the command.
    process.exit(error.code === "EPIPE" ? 0 : 1);
});

process.exitCode = await runCommandLine(process.argv.slice(2), {
    print: text => process.stdout.write(`${text}\n`),
    note: text => process.stderr.write(`${text}\n`),
});
