/**
 * What operators do in the demo: edit the files of a deployment and compile them for publishing.
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

/** A working copy of one deployment's files, and the keys that were handed out. */
export class OperatorsDesk {
    /** Key of each organisation, by name. */
    readonly keys = new Map<string, string>();

    private constructor(private readonly directory: string, private readonly parts: readonly string[]) {}

    /** Copies the example files of a deployment and adds a fresh key to each organisation. */
    static create(deployment: string): OperatorsDesk {
        const source = fileURLToPath(new URL(`../../examples/${deployment}`, import.meta.url));
        const directory = mkdtempSync(join(tmpdir(), "radishrouter-desk-"));
        const parts = readdirSync(source);
        for (const part of parts) {
            mkdirSync(join(directory, part));
            writeFileSync(join(directory, part, FILE_NAME), readFileSync(join(source, part, FILE_NAME)));
        }
        const desk = new OperatorsDesk(directory, parts);
        desk.addKeys();
        return desk;
    }

    /** Compiles the files into the next version. */
    compile(): Configuration {
        const files = this.parts.map(part => join(this.directory, part, FILE_NAME));
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
