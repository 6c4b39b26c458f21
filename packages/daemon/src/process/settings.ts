/**
 * Settings of one node, read from a JSON file at start.
 */
import { nameSchema } from "@radishrouter/core";
import { readFileSync } from "node:fs";
import { z } from "zod";
import { policySchema } from "./policy.js";

const portSchema = z.number().int().min(1).max(65_535);

/** Schema of a node's settings file. */
export const settingsSchema = z.strictObject({
    /** Name of this host in the platform's host list. */
    host: nameSchema,
    /** IP address on which callers and other nodes reach this host. */
    address: z.union([z.ipv4(), z.ipv6()]),
    /** Loopback address on which the backend server and operators of this host reach the node. */
    loopbackAddress: z.ipv4().regex(/^127\./, "use an address in 127.0.0.0/8").default("127.0.0.1"),
    failureDomain: nameSchema,
    region: nameSchema,
    /** Service whose backend server runs on this host. */
    service: nameSchema,
    /** Seat number: position of this host in its failure domain; no two live hosts of a failure domain share one. */
    seat: z.number().int().min(0),
    ports: z.strictObject({
        callers: portSchema,
        forward: portSchema,
        control: portSchema,
        backend: portSchema,
        operators: portSchema,
    }),
    backendServer: z.strictObject({
        address: z.union([z.ipv4(), z.ipv6()]),
        port: portSchema,
    }),
    /** Hosts of the fleet that a starting node asks first, so that it can start without the platform. */
    seeds: z.array(z.strictObject({
        host: nameSchema,
        address: z.union([z.ipv4(), z.ipv6()]),
        controlPort: portSchema,
    })).default([]),
    platform: z.strictObject({ url: z.url({ protocol: /^https?$/ }) }),
    /** `static` gives each seat a fixed fraction of every rate; all nodes of a deployment have to use the same kind. */
    rateLimiter: z.enum(["leased", "static"]).default("leased"),
    /** Secret that all nodes of the deployment share; proves that a peer belongs to it. */
    deploymentSecret: z.string().min(16),
    statsd: z.strictObject({ address: z.string().min(1), port: portSchema }).optional(),
    /** Active overload policies; values other than `full` are for measuring the effect of the policies. */
    policy: policySchema.default("full"),
    limits: z.strictObject({
        /** Largest request body in bytes. */
        bodyBytes: z.number().int().positive().default(10_485_760),
        /** Largest request body that is buffered so that the request can be retried, in bytes. */
        replayBytes: z.number().int().min(0).default(65_536),
        /** Time for a caller to send the headers of a request. */
        headersTimeoutMs: z.number().int().positive().default(5_000),
        /** Time for a caller to send a complete request. */
        requestTimeoutMs: z.number().int().positive().default(30_000),
        /** Time for which an idempotency key is stored after its request has ended. */
        idempotencyKeyMs: z.number().int().positive().default(600_000),
        /** Maximum number of stored idempotency keys. */
        idempotencyKeys: z.number().int().positive().default(20_000),
        /** Maximum total size of the responses that are stored with idempotency keys, in bytes. */
        idempotencyAnswerBytes: z.number().int().min(0).default(8_388_608),
        /** Maximum number of open connections from one caller address. */
        connectionsPerAddress: z.number().int().positive().default(4_096),
        /** Maximum number of requests in flight of one key, or of one address without a key. */
        requestsPerCaller: z.number().int().positive().default(4_096),
        /** Unanswered requests of one connection from which it is not read; at four times as many it is closed. */
        waitingRequests: z.number().int().positive().default(16),
        /** Time at a planned stop after which requests that are still in flight are aborted. */
        shutdownMs: z.number().int().positive().default(30_000),
    }).prefault({}),
});

/** Settings of one node; see {@link settingsSchema}. */
export type Settings = z.infer<typeof settingsSchema>;

/** A settings file that cannot be used; the message has one line for each invalid setting. */
export class SettingsError extends Error {
    private constructor(message: string) {
        super(message);
        this.name = "SettingsError";
    }

    static create(file: string, problems: readonly string[]): SettingsError {
        return new SettingsError([`${file}: the settings cannot be used`, ...problems].join("\n  "));
    }
}

/**
 * Reads and checks a settings file.
 *
 * @throws SettingsError when the file cannot be read or parsed, or a setting is invalid.
 */
export function readSettings(file: string): Settings {
    let content: unknown;
    try {
        content = JSON.parse(readFileSync(file, "utf8"));
    }
    catch (error) {
        throw SettingsError.create(file, [error instanceof Error ? error.message : String(error)]);
    }
    const parsed = settingsSchema.safeParse(content);
    if (!parsed.success) {
        throw SettingsError.create(file, parsed.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`));
    }
    return parsed.data;
}
