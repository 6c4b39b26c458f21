/**
 * `radishrouter check` and `radishrouter compile`: from operators' files to the document that they publish.
 */
import { compileSources, configurationSchema, findShareConflict } from "@radishrouter/core";
import type { CompileResult, Configuration, SourceProblem } from "@radishrouter/core";
import { renameSync, writeFileSync } from "node:fs";
import { CommandError, exitCodes } from "./command-error.js";
import { readJsonFile, readText } from "./read-files.js";
import { findRepeatedNames } from "./repeated-names.js";

/** The platform takes values of less than this. */
const PLATFORM_VALUE_BYTES = 1_000_000;
const FIRST_VERSION = 1;

/** Options of `radishrouter compile`. */
export interface CompileOptions {
    /** Version of the document. */
    readonly versionNumber?: number;
    /** File with the document that was published last. */
    readonly previous?: string;
    /** File to write. */
    readonly out?: string;
}

/** A document that can be published. */
export interface CompiledDocument {
    readonly configuration: Configuration;
    readonly text: string;
    readonly warnings: readonly SourceProblem[];
}

/**
 * Checks files and finds every mistake.
 *
 * @throws CommandError when a file cannot be read or none is given.
 */
export function checkFiles(files: readonly string[], version = FIRST_VERSION): CompileResult {
    if (files.length === 0) {
        throw CommandError.create("give the files to read", exitCodes.usage);
    }
    const sources = files.map(file => ({ file, text: readText(file) }));
    const repeated = sources.flatMap(findRepeatedNames);
    const result = compileSources(sources, version);
    if (repeated.length === 0) {
        return result;
    }
    return { kind: "refused", problems: result.kind === "refused" ? [...repeated, ...result.problems] : repeated };
}

/** Formats mistakes, one a line. */
export function formatProblems(problems: readonly SourceProblem[]): string {
    return problems.map(formatProblem).join("\n");
}

function formatProblem({ file, path, message, severity }: SourceProblem): string {
    const place = path === "" ? file : `${file}: ${path}`;
    return severity === "warning" ? `${place}: warning: ${message}` : `${place}: ${message}`;
}

/**
 * Makes the document that operators publish.
 *
 * @throws CommandError that lists every mistake, or says why the document cannot be published.
 */
export function compileFiles(files: readonly string[], options: CompileOptions = {}): CompiledDocument {
    const previous = options.previous === undefined ?
        undefined :
        readJsonFile(options.previous, configurationSchema, "a compiled document");
    const version = chooseVersion(options.versionNumber, previous?.version);
    const result = checkFiles(files, version);
    switch (result.kind) {
        case "refused":
            throw CommandError.create(formatProblems(result.problems));
        case "compiled":
            refuseShareConflict(previous, result.configuration);
            return createDocument(result.configuration, result.warnings);
    }
}

function refuseShareConflict(previous: Configuration | undefined, next: Configuration): void {
    const conflict = previous ? findShareConflict(previous, next) : undefined;
    if (conflict !== undefined) {
        throw CommandError.create(`failureDomains: ${conflict}`);
    }
}

function createDocument(configuration: Configuration, warnings: readonly SourceProblem[]): CompiledDocument {
    const text = JSON.stringify(configuration);
    const bytes = Buffer.byteLength(text);
    if (bytes >= PLATFORM_VALUE_BYTES) {
        throw CommandError.create(
            `the document has ${bytes} bytes and the platform takes less than ${PLATFORM_VALUE_BYTES};` +
                " remove withdrawn keys and unused routes, or split the deployment",
        );
    }
    return { configuration, text, warnings };
}

function chooseVersion(wanted: number | undefined, previous: number | undefined): number {
    const version = wanted ?? (previous ?? FIRST_VERSION - 1) + 1;
    if (!Number.isSafeInteger(version) || version < FIRST_VERSION) {
        throw CommandError.create(`--version-number ${version}: use a whole number from 1`, exitCodes.usage);
    }
    if (previous !== undefined && version <= previous) {
        throw CommandError.create(
            `--version-number ${version}: nodes keep version ${previous}, which is not lower; use at least ${
                previous + 1
            }`,
        );
    }
    return version;
}

/** Writes a document so that readers see the old file or the whole new one. */
export function writeDocument(file: string, document: CompiledDocument): void {
    const temporary = `${file}.${process.pid}.tmp`;
    try {
        writeFileSync(temporary, document.text);
        renameSync(temporary, file);
    }
    catch (error) {
        throw CommandError.create(`${file}: cannot be written: ${(error as Error).message}`);
    }
}
