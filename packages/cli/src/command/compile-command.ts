/**
 * `radishrouter check` and `radishrouter compile`: from operators' files to the document that they publish.
 */
import { compileSources } from "@radishrouter/core";
import type { Configuration, SourceText } from "@radishrouter/core";
import { readFileSync, writeFileSync } from "node:fs";
import { CommandError, exitCodes } from "./command-error.js";

const MAXIMUM_VALUE_BYTES = 1_000_000;

function readSources(files: readonly string[]): SourceText[] {
    if (files.length === 0) {
        throw CommandError.create("give the files to read", exitCodes.usage);
    }
    return files.map(file => {
        try {
            return { file, text: readFileSync(file, "utf8") };
        }
        catch (error) {
            throw CommandError.create(`${file}: ${(error as Error).message}`);
        }
    });
}

/**
 * Compiles files to a configuration.
 *
 * @throws CommandError that lists every mistake.
 */
export function compileFiles(files: readonly string[], version: number): Configuration {
    const result = compileSources(readSources(files), version);
    switch (result.kind) {
        case "compiled":
            return result.configuration;
        case "refused":
            throw CommandError.create(
                result.problems.map(({ file, path, message }) => `${file}: ${path}: ${message}`).join("\n"),
            );
    }
}

/** Writes the document of files to a file, or returns it when no file is named. */
export function compileToFile(files: readonly string[], options: { version: number; out?: string; }): string {
    const text = JSON.stringify(compileFiles(files, options.version));
    if (Buffer.byteLength(text) > MAXIMUM_VALUE_BYTES) {
        throw CommandError.create(
            `the document has ${Buffer.byteLength(text)} bytes; the platform takes less than 1 MB`,
        );
    }
    if (options.out === undefined) {
        return text;
    }
    writeFileSync(options.out, text);
    return `wrote version ${options.version} to ${options.out}`;
}
