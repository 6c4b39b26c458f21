#!/usr/bin/env node
/**
 * Command-line tool for operators.
 */
import { runCommandLine } from "../command/command-line.js";

process.stdout.on("error", (error: NodeJS.ErrnoException) => {
    // A reader such as `head` may close the pipe early. That is not an error of the command.
    process.exit(error.code === "EPIPE" ? 0 : 1);
});

process.exitCode = await runCommandLine(process.argv.slice(2), {
    print: text => process.stdout.write(`${text}\n`),
    note: text => process.stderr.write(`${text}\n`),
});
