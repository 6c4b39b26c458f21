/**
 * What each organisation got from a node: what nodes on the platform give out and the command line adds up.
 */
import { z } from "zod";

const countSchema = z.number().int().min(0);

/** Requests of one organisation by how they ended. */
export const organisationUseSchema = z.object({
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
export const nodeUseSchema = z.object({
    host: z.string(),
    service: z.string(),
    startedAt: z.string(),
    organisations: z.array(organisationUseSchema),
});

/** Requests of one organisation; see {@link organisationUseSchema}. */
export type OrganisationUse = z.infer<typeof organisationUseSchema>;
/** What one node says; see {@link nodeUseSchema}. */
export type NodeUse = z.infer<typeof nodeUseSchema>;
/** How one request ended, as it is counted. */
export type UseOutcome = Exclude<keyof OrganisationUse, "organisation">;

/** Path of a node's metrics listener at which it gives out {@link NodeUse}. */
export const NODE_USE_PATH = "/organisations";
