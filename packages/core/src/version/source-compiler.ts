/**
 * Joins the files beside the services' code into the document that operators publish.
 */
import type { z } from "zod";
import { configurationSchema, sourceFileSchema } from "./configuration.js";
import type { Configuration, SourceFile } from "./configuration.js";

/** One file as it was read. */
export interface SourceText {
    readonly file: string;
    readonly text: string;
}

/** One mistake in a file. */
export interface SourceProblem {
    readonly file: string;
    /** Path to the value within the file, such as `services.items.slots`. */
    readonly path: string;
    readonly message: string;
}

/** What compiling gave: a document, or every mistake that was found. */
export type CompileResult =
    | { readonly kind: "compiled"; readonly configuration: Configuration; }
    | { readonly kind: "refused"; readonly problems: readonly SourceProblem[]; };

type Section = keyof SourceFile;

const sections: readonly Section[] = ["organisations", "services", "failureDomains"];

/** Checks files and joins them into one version of the configuration. */
export function compileSources(sources: readonly SourceText[], version: number): CompileResult {
    const problems: SourceProblem[] = [];
    const joined = {
        organisations: {} as Record<string, unknown>,
        services: {} as Record<string, unknown>,
        failureDomains: {} as Record<string, unknown>,
    };
    const origins = new Map<string, string>();
    for (const source of sources) {
        const content = parseSource(source, problems);
        for (const section of sections) {
            joinSection(section, content?.[section] ?? {}, { file: source.file, joined, origins, problems });
        }
    }
    if (problems.length > 0) {
        return { kind: "refused", problems };
    }
    const parsed = configurationSchema.safeParse({ version, ...joined });
    return parsed.success ?
        { kind: "compiled", configuration: parsed.data } :
        { kind: "refused", problems: toProblems("the joined files", parsed.error) };
}

interface JoinTarget {
    readonly file: string;
    readonly joined: Record<Section, Record<string, unknown>>;
    readonly origins: Map<string, string>;
    readonly problems: SourceProblem[];
}

function joinSection(section: Section, records: Record<string, unknown>, target: JoinTarget): void {
    for (const [name, record] of Object.entries(records)) {
        const path = `${section}.${name}`;
        const other = target.origins.get(path);
        if (other !== undefined) {
            const message = `is already defined in ${other}; keep one of the two`;
            target.problems.push({ file: target.file, path, message });
            continue;
        }
        target.origins.set(path, target.file);
        target.joined[section][name] = record;
    }
}

function parseSource(source: SourceText, problems: SourceProblem[]): SourceFile | undefined {
    let content: unknown;
    try {
        content = JSON.parse(source.text);
    }
    catch (error) {
        problems.push({ file: source.file, path: "", message: `is not JSON: ${(error as Error).message}` });
        return undefined;
    }
    const parsed = sourceFileSchema.safeParse(content);
    if (!parsed.success) {
        problems.push(...toProblems(source.file, parsed.error));
        return undefined;
    }
    return parsed.data;
}

function toProblems(file: string, error: z.ZodError): SourceProblem[] {
    return error.issues.map(issue => ({ file, path: issue.path.join("."), message: issue.message }));
}
