/**
 * The published configuration: schemas, and the types inferred from them.
 */
import { z } from "zod";

const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/;

/** Name of an organisation, service, failure domain or host. */
export const nameSchema = z.string().regex(
    namePattern,
    "use 1 to 63 of a-z, 0-9 and -, starting with a letter or digit",
);

/** One key of an organisation; only its hash is published. */
export const keyRecordSchema = z.strictObject({
    /** Public part of the key, which identifies it in the audit trail. */
    id: z.string().regex(/^[A-Za-z0-9]{8,32}$/, "use the id that `radishrouter key` printed"),
    /** SHA-256 of the complete key, in hexadecimal. */
    hash: z.string().regex(/^[0-9a-f]{64}$/, "use the hash that `radishrouter key` printed"),
});

/** Limits and keys of one organisation. */
export const organisationSchema = z.strictObject({
    /** Requests per second over all hosts together. */
    rate: z.number().positive(),
    /** Requests that may arrive at once in excess of the rate, over all hosts together. */
    burst: z.number().min(1),
    keys: z.array(keyRecordSchema).max(64),
});

/** Order in which requests are kept under overload; `critical` is shed last. */
export const importanceSchema = z.enum(["critical", "normal", "background"]);

/** One route of a service. */
export const routeSchema = z.strictObject({
    method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]),
    /** Path below the service; `*` at the end matches any remainder, `:name` matches one segment. */
    path: z.string().regex(/^\//, "start the path with /"),
    /** Whether running the request twice has the same effect as running it once. */
    idempotent: z.boolean(),
    /** Whether the route needs no key. */
    open: z.boolean().default(false),
    importance: importanceSchema,
    /** Time within which a request must be answered, in milliseconds, unless the caller sets a shorter deadline. */
    deadlineMs: z.number().int().positive().max(600_000),
    /** Organisations that may use the route; all when absent. */
    organisations: z.array(nameSchema).optional(),
});

/** One service and the capacity of each of its backend servers. */
export const serviceSchema = z.strictObject({
    /** Requests that one backend server runs concurrently. */
    slots: z.number().int().positive(),
    /** Connections that one backend server accepts. */
    connections: z.number().int().positive(),
    /** Retries that one root request may cause over its complete call chain. */
    retryBudget: z.number().int().min(0).max(16).default(2),
    routes: z.array(routeSchema).min(1),
});

/** One failure domain and the number of rate seats in it. */
export const failureDomainSchema = z.strictObject({
    region: nameSchema,
    /** Host slots of the failure domain; each generates the tokens of an equal share of every rate. */
    seats: z.number().int().positive(),
});

/** The document that operators publish, as one version. */
export const configurationSchema = z.strictObject({
    version: z.number().int().positive(),
    organisations: z.record(nameSchema, organisationSchema),
    services: z.record(nameSchema, serviceSchema),
    failureDomains: z.record(nameSchema, failureDomainSchema),
    /** Shares into which each rate is divided, at least one for each seat; the number of seats when absent. */
    shareCount: z.number().int().positive().optional(),
}).refine(
    ({ shareCount, failureDomains }) =>
        shareCount === undefined ||
        shareCount >= Object.values(failureDomains).reduce((sum, { seats }) => sum + seats, 0),
    { path: ["shareCount"], message: "must be at least the number of seats of all failure domains" },
);

/** One configuration file kept beside a service's code; the files are compiled into the configuration. */
export const sourceFileSchema = z.strictObject({
    organisations: z.record(nameSchema, organisationSchema).optional(),
    services: z.record(nameSchema, serviceSchema).optional(),
    failureDomains: z.record(nameSchema, failureDomainSchema).optional(),
    shareCount: z.number().int().positive().optional(),
});

/** Id and hash of a key; see {@link keyRecordSchema}. */
export type KeyRecord = z.infer<typeof keyRecordSchema>;
/** Limits and keys of one organisation; see {@link organisationSchema}. */
export type Organisation = z.infer<typeof organisationSchema>;
/** Importance of a request; see {@link importanceSchema}. */
export type Importance = z.infer<typeof importanceSchema>;
/** One route of a service; see {@link routeSchema}. */
export type Route = z.infer<typeof routeSchema>;
/** One service; see {@link serviceSchema}. */
export type Service = z.infer<typeof serviceSchema>;
/** One failure domain; see {@link failureDomainSchema}. */
export type FailureDomain = z.infer<typeof failureDomainSchema>;
/** The published document; see {@link configurationSchema}. */
export type Configuration = z.infer<typeof configurationSchema>;
/** One configuration file beside a service's code; see {@link sourceFileSchema}. */
export type SourceFile = z.infer<typeof sourceFileSchema>;

/** Importances from the first to be shed to the last. */
export const importancesByRank: readonly Importance[] = ["background", "normal", "critical"];

/** Rank of an importance; a higher rank is shed later. */
export function importanceRank(importance: Importance): number {
    return importancesByRank.indexOf(importance);
}

/** Key of the platform under which operators publish the configuration. */
export const CONFIGURATION_KEY = "radishrouter/configuration";

/** Finds an organisation by its name, which may be that of a property that all objects have. */
export function findOrganisation(
    { organisations }: Pick<Configuration, "organisations">,
    name: string,
): Organisation | undefined {
    return Object.hasOwn(organisations, name) ? organisations[name] : undefined;
}
