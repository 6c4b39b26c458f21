/**
 * Compiles the configuration files beside the services' code into the document that operators publish.
 */
import { configurationSchema, sourceFileSchema } from "./configuration.js";
import type { Configuration, SourceFile } from "./configuration.js";
import { checkConfiguration } from "./source-checks.js";
import { toSourceProblems } from "./source-problem.js";
import type { SourceProblem } from "./source-problem.js";

/** Name and text of one file. */
export interface SourceText {
    readonly file: string;
    readonly text: string;
}

/** Result of compiling: a configuration with warnings, or every mistake that was found. */
export type CompileResult =
    | {
        readonly kind: "compiled";
        readonly configuration: Configuration;
        readonly warnings: readonly SourceProblem[];
    }
    | { readonly kind: "refused"; readonly problems: readonly SourceProblem[]; };

type Section = Exclude<keyof SourceFile, "shareCount">;

/** Definitions of all files together, before the configuration as a whole is checked. */
interface JoinedFiles extends Record<Section, Record<string, unknown>> {
    shareCount?: number;
}

/** Named as the file of a problem whose path no file defines. */
const JOINED_FILES = "the joined files";
const sections: readonly Section[] = ["organisations", "services", "failureDomains"];

/** Checks the files and joins them into one version of the configuration. */
export function compileSources(sources: readonly SourceText[], version: number): CompileResult {
    const problems: SourceProblem[] = [];
    const joined: JoinedFiles = { organisations: {}, services: {}, failureDomains: {} };
    const origins = new Map<string, string>();
    for (const source of sources) {
        const content = parseSource(source, problems);
        const target = { file: source.file, joined, origins, problems };
        for (const section of sections) {
            joinSection(section, content?.[section] ?? {}, target);
        }
        if (content?.shareCount !== undefined && recordOrigin("shareCount", target)) {
            joined.shareCount = content.shareCount;
        }
    }
    if (problems.length > 0) {
        return { kind: "refused", problems };
    }
    const parsed = configurationSchema.safeParse({ version, ...joined });
    if (!parsed.success) {
        const found = toSourceProblems(JOINED_FILES, parsed.error);
        return {
            kind: "refused",
            problems: found.map(problem => ({ ...problem, file: origins.get(problem.path) ?? JOINED_FILES })),
        };
    }
    return finish(parsed.data, checkConfiguration(parsed.data, path => origins.get(path) ?? JOINED_FILES));
}

function finish(configuration: Configuration, found: readonly SourceProblem[]): CompileResult {
    return found.some(problem => problem.severity === "error") ?
        { kind: "refused", problems: found } :
        { kind: "compiled", configuration, warnings: found };
}

interface JoinTarget {
    readonly file: string;
    readonly joined: JoinedFiles;
    readonly origins: Map<string, string>;
    readonly problems: SourceProblem[];
}

function joinSection(section: Section, records: Record<string, unknown>, target: JoinTarget): void {
    for (const [name, record] of Object.entries(records)) {
        if (recordOrigin(`${section}.${name}`, target)) {
            target.joined[section][name] = record;
        }
    }
}

/** Records which file defines a path; reports a problem and returns false if another file defines it already. */
function recordOrigin(path: string, target: JoinTarget): boolean {
    const otherFile = target.origins.get(path);
    if (otherFile !== undefined) {
        const message = `is already defined in ${otherFile}; keep one of the two`;
        target.problems.push({ file: target.file, path, message, severity: "error" });
        return false;
    }
    target.origins.set(path, target.file);
    return true;
}

function parseSource(source: SourceText, problems: SourceProblem[]): SourceFile | undefined {
    let content: unknown;
    try {
        content = JSON.parse(source.text);
    }
    catch (error) {
        const message = `is not JSON; correct it here: ${(error as Error).message}`;
        problems.push({ file: source.file, path: "", message, severity: "error" });
        return undefined;
    }
    const parsed = sourceFileSchema.safeParse(content);
    if (!parsed.success) {
        problems.push(...toSourceProblems(source.file, parsed.error));
        return undefined;
    }
    return parsed.data;
}
