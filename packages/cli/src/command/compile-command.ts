/**
 * `radishrouter check` and `radishrouter compile`: check operators' files, and compile them into one document.
 */
import { compileSources, configurationSchema, findShareConflict } from "@radishrouter/core";
import type { CompileResult, Configuration, SourceProblem } from "@radishrouter/core";
import { renameSync, writeFileSync } from "node:fs";
import { CommandError, exitCodes } from "./command-error.js";
import { findDuplicateNames } from "./duplicate-names.js";
import { readJsonFile, readTextFile } from "./read-files.js";

/** The platform only stores values that are smaller than this. */
const PLATFORM_VALUE_LIMIT_BYTES = 1_000_000;
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
 * Checks files and finds every error, including names that are defined twice in one JSON object.
 *
 * @throws CommandError when a file cannot be read or none is given.
 */
export function checkFiles(files: readonly string[], version = FIRST_VERSION): CompileResult {
    if (files.length === 0) {
        throw CommandError.create("no files given; name the files to read", exitCodes.usage);
    }
    const sources = files.map(file => ({ file, text: readTextFile(file) }));
    const duplicates = sources.flatMap(findDuplicateNames);
    const result = compileSources(sources, version);
    if (duplicates.length === 0) {
        return result;
    }
    return { kind: "refused", problems: result.kind === "refused" ? [...duplicates, ...result.problems] : duplicates };
}

/** Formats errors and warnings, one per line. */
export function formatProblems(problems: readonly SourceProblem[]): string {
    return problems.map(formatProblem).join("\n");
}

function formatProblem({ file, path, message, severity }: SourceProblem): string {
    const place = path === "" ? file : `${file}: ${path}`;
    return severity === "warning" ? `${place}: warning: ${message}` : `${place}: ${message}`;
}

/**
 * Compiles operators' files into the document that they publish.
 *
 * @throws CommandError that lists every error, or gives the reason why the document cannot be published.
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
            rejectShareConflict(previous, result.configuration);
            return createDocument(result.configuration, result.warnings);
    }
}

function rejectShareConflict(previous: Configuration | undefined, next: Configuration): void {
    const conflict = previous ? findShareConflict(previous, next) : undefined;
    if (conflict !== undefined) {
        throw CommandError.create(`failureDomains: ${conflict}`);
    }
}

function createDocument(configuration: Configuration, warnings: readonly SourceProblem[]): CompiledDocument {
    const text = JSON.stringify(configuration);
    const bytes = Buffer.byteLength(text);
    if (bytes >= PLATFORM_VALUE_LIMIT_BYTES) {
        throw CommandError.create(
            `the document has ${bytes} bytes and the platform stores less than ${PLATFORM_VALUE_LIMIT_BYTES};` +
                " remove withdrawn keys and unused routes, or split the deployment",
        );
    }
    return { configuration, text, warnings };
}

function chooseVersion(requested: number | undefined, previous: number | undefined): number {
    const version = requested ?? (previous ?? FIRST_VERSION - 1) + 1;
    if (!Number.isSafeInteger(version) || version < FIRST_VERSION) {
        throw CommandError.create(`--version-number ${version}: must be a whole number of at least 1`, exitCodes.usage);
    }
    if (previous !== undefined && version <= previous) {
        throw CommandError.create(
            `--version-number ${version}: nodes only accept versions above ${previous}; use at least ${previous + 1}`,
        );
    }
    return version;
}

/** Replaces a file atomically with a document, so that readers see either the old file or the complete new one. */
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
