/**
 * Performs the work of operators in the demo: edits the files of a deployment and compiles them for publishing.
 */
import { compileFiles, writeDocument } from "@radishrouter/cli";
import { createAccessKey, sourceFileSchema } from "@radishrouter/core";
import type { Configuration, SourceFile } from "@radishrouter/core";
import { mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const FILE_NAME = "radishrouter.json";
const ORGANISATIONS = "organisations";

/** A working copy of one deployment's files, and the access keys created for it. */
export class OperatorWorkspace {
    /** Access key of each organisation, by organisation name. */
    readonly keys = new Map<string, string>();

    private constructor(private readonly directory: string, private readonly sourceDirectories: readonly string[]) {}

    /** Copies the example files of a deployment and adds a new access key to each organisation. */
    static create(deployment: string): OperatorWorkspace {
        const source = fileURLToPath(new URL(`../../examples/${deployment}`, import.meta.url));
        const directory = mkdtempSync(join(tmpdir(), "radishrouter-desk-"));
        const sourceDirectories = readdirSync(source);
        for (const sourceDirectory of sourceDirectories) {
            mkdirSync(join(directory, sourceDirectory));
            writeFileSync(
                join(directory, sourceDirectory, FILE_NAME),
                readFileSync(join(source, sourceDirectory, FILE_NAME)),
            );
        }
        const workspace = new OperatorWorkspace(directory, sourceDirectories);
        workspace.addKeys();
        return workspace;
    }

    /** Compiles the files into the next version. */
    compile(): Configuration {
        const files = this.sourceDirectories.map(sourceDirectory => join(this.directory, sourceDirectory, FILE_NAME));
        const out = join(this.directory, "published.json");
        const previous = readdirSync(this.directory).includes("published.json") ? out : undefined;
        const document = compileFiles(files, { previous });
        writeDocument(out, document);
        return document.configuration;
    }

    /** Removes all keys of an organisation from its file. */
    withdrawKeys(organisation: string): void {
        this.editOrganisations(organisations => {
            organisations[organisation]!.keys = [];
        });
    }

    /** Removes the working copy. */
    close(): void {
        rmSync(this.directory, { recursive: true, force: true });
    }

    private addKeys(): void {
        this.editOrganisations(organisations => {
            for (const [name, organisation] of Object.entries(organisations)) {
                const { key, record } = createAccessKey();
                organisation.keys.push(record);
                this.keys.set(name, key);
            }
        });
    }

    private editOrganisations(edit: (organisations: NonNullable<SourceFile["organisations"]>) => void): void {
        const file = join(this.directory, ORGANISATIONS, FILE_NAME);
        const content = sourceFileSchema.parse(JSON.parse(readFileSync(file, "utf8")));
        edit(content.organisations ?? {});
        writeFileSync(file, JSON.stringify(content));
    }
}
