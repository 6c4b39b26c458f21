/**
 * Formats of the published documents: how each kind is checked, split into records and joined from them.
 */
import { DocumentKind } from "@radishrouter/protocol";
import type { z } from "zod";
import type { Configuration } from "./configuration.js";
import { configurationSchema } from "./configuration.js";
import type { HostList } from "./host-list.js";
import { hostListSchema, hostSchema } from "./host-list.js";
import type { DocumentRecord } from "./published-document.js";

/** A valid document, or what is wrong with it. */
export type CheckedDocument<Content> =
    | { readonly kind: "valid"; readonly version: number; readonly content: Content; }
    | { readonly kind: "invalid"; readonly problem: string; };

/** Format of one kind of document. */
export interface DocumentFormat<Content> {
    readonly kind: DocumentKind;
    /** Checks a complete document in its published form. */
    check(value: unknown): CheckedDocument<Content>;
    /** Applies changed records to valid content and checks them; absent if only a complete document can be checked. */
    checkChange?(content: Content, version: number, changes: readonly DocumentRecord[]): CheckedDocument<Content>;
    /** Splits a valid document into its records. */
    toRecords(value: unknown): DocumentRecord[];
    /** Joins records into the published form of the document. */
    fromRecords(version: number, records: readonly DocumentRecord[]): unknown;
}

function checkAgainstSchema<Content>(
    schema: z.ZodType<Content>,
    value: unknown,
    versionOf: (content: Content) => number,
): CheckedDocument<Content> {
    const parsed = schema.safeParse(value);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        return { kind: "invalid", problem: issue ? `${issue.path.join(".")}: ${issue.message}` : "invalid" };
    }
    return { kind: "valid", version: versionOf(parsed.data), content: parsed.data };
}

const configurationSections = ["organisations", "services", "failureDomains"] as const;
/** Section and name of the record that holds the number of shares. */
const SHARE_COUNT = "shareCount";

/**
 * The configuration that operators publish; its records are organisations, services and failure domains, and the number
 * of shares if it is set.
 */
export const configurationFormat: DocumentFormat<Configuration> = {
    kind: DocumentKind.CONFIGURATION,
    check: value => checkAgainstSchema(configurationSchema, value, content => content.version),
    toRecords: value => {
        const document = value as Configuration;
        const records = configurationSections.flatMap(section =>
            Object.entries(document[section]).map(([name, content]) => ({
                section,
                name,
                json: JSON.stringify(content),
            }))
        );
        return document.shareCount === undefined ?
            records :
            [...records, { section: SHARE_COUNT, name: SHARE_COUNT, json: JSON.stringify(document.shareCount) }];
    },
    fromRecords: (version, records) => {
        const inSection = (section: string) =>
            Object.fromEntries(
                records.filter(record => record.section === section).map(record => [
                    record.name,
                    JSON.parse(record.json) as unknown,
                ]),
            );
        return {
            version,
            ...Object.fromEntries(configurationSections.map(name => [name, inSection(name)])),
            ...inSection(SHARE_COUNT),
        };
    },
};

const HOSTS_SECTION = "hosts";

/** The platform's list of hosts; its records are hosts. */
export const hostListFormat: DocumentFormat<HostList> = {
    kind: DocumentKind.HOST_LIST,
    check: value => checkAgainstSchema(hostListSchema, value, content => content.revision),
    checkChange: (list, revision, changes) => {
        const hosts = new Map(list.hosts.map(host => [host.name, host]));
        for (const { name, json } of changes) {
            hosts.delete(name);
            if (json !== "") {
                const checked = checkAgainstSchema(hostSchema, JSON.parse(json), () => revision);
                if (checked.kind === "invalid") {
                    return checked;
                }
                hosts.set(name, checked.content);
            }
        }
        return { kind: "valid", version: revision, content: { revision, hosts: [...hosts.values()] } };
    },
    toRecords: value =>
        (value as HostList).hosts.map(host => ({
            section: HOSTS_SECTION,
            name: host.name,
            json: JSON.stringify(host),
        })),
    fromRecords: (revision, records) => ({
        revision,
        hosts: records.map(record => JSON.parse(record.json) as unknown),
    }),
};
