/**
 * What each organisation got from a node: what nodes on the platform give out and the command line adds up.
 */
import { z } from "zod";

const countSchema = z.number().int().min(0);

/** Requests of one organisation by how they ended. */
export const organisationUsageSchema = z.object({
    /** Name of the organisation; empty for requests that need no key. */
    organisation: z.string(),
    /** Requests that a backend server answered. */
    answered: countSchema,
    /** Requests that a backend server answered with a failure of its own. */
    failedByServer: countSchema,
    /** Requests that were refused because the organisation was above its rate. */
    refusedForRate: countSchema,
    /** Requests that were refused before they ran, for want of room or of a backend server. */
    refusedForRoom: countSchema,
    /** Requests that ended without an answer and may have run, or whose caller left. */
    lost: countSchema,
});

/** What one node says of the organisations since it started. */
export const nodeUsageSchema = z.object({
    host: z.string(),
    service: z.string(),
    startedAt: z.string(),
    organisations: z.array(organisationUsageSchema),
});

/** Requests of one organisation; see {@link organisationUsageSchema}. */
export type OrganisationUsage = z.infer<typeof organisationUsageSchema>;
/** What one node says; see {@link nodeUsageSchema}. */
export type NodeUsage = z.infer<typeof nodeUsageSchema>;
/** How one request ended, as it is counted. */
export type UsageOutcome = Exclude<keyof OrganisationUsage, "organisation">;

/** Path of a node's metrics listener at which it gives out {@link NodeUsage}. */
export const NODE_USAGE_PATH = "/organisations";
