/**
 * The host list of the platform: schemas, and the types inferred from them.
 */
import { z } from "zod";
import { nameSchema } from "./configuration.js";

const portSchema = z.number().int().min(1).max(65_535);

/** One host and where its node listens. */
export const hostSchema = z.strictObject({
    name: nameSchema,
    address: z.string().min(1),
    failureDomain: nameSchema,
    region: nameSchema,
    service: nameSchema,
    /** Number of the host's slot in its failure domain. */
    seat: z.number().int().min(0).optional(),
    /** Port for requests of callers. */
    callerPort: portSchema,
    /** Port for requests that other nodes forward. */
    forwardPort: portSchema,
    /** Port for control streams of other nodes. */
    controlPort: portSchema,
    state: z.enum(["live", "leaving"]),
});

/** The host list at one revision; it may be older than the state of the hosts. */
export const hostListSchema = z.strictObject({
    revision: z.number().int().min(0),
    hosts: z.array(hostSchema),
});

/** One host; see {@link hostSchema}. */
export type Host = z.infer<typeof hostSchema>;
/** The host list; see {@link hostListSchema}. */
export type HostList = z.infer<typeof hostListSchema>;

/** Key of the platform under which it publishes the host list. */
export const HOST_LIST_KEY = "platform/hosts";
