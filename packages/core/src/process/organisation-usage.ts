/**
 * Usage of a node by each organisation, which nodes on the platform serve and the command line sums up.
 */
import { z } from "zod";

const countSchema = z.number().int().min(0);

/** Requests of one organisation by outcome. */
export const organisationUsageSchema = z.object({
    /** Name of the organisation; empty for requests that need no key. */
    organisation: z.string(),
    /** Requests to which a backend server responded. */
    answered: countSchema,
    /** Requests to which a backend server responded with a server error. */
    failedByServer: countSchema,
    /** Requests that were refused because the organisation was above its rate. */
    refusedForRate: countSchema,
    /** Requests that were refused before they ran, for lack of capacity or of a backend server. */
    refusedForRoom: countSchema,
    /** Requests that ended without a response and may have run, or whose caller disconnected. */
    lost: countSchema,
});

/** Usage of one node by all organisations since the node started. */
export const nodeUsageSchema = z.object({
    host: z.string(),
    service: z.string(),
    startedAt: z.string(),
    organisations: z.array(organisationUsageSchema),
});

/** Usage by one organisation; see {@link organisationUsageSchema}. */
export type OrganisationUsage = z.infer<typeof organisationUsageSchema>;
/** Usage of one node; see {@link nodeUsageSchema}. */
export type NodeUsage = z.infer<typeof nodeUsageSchema>;
/** Outcome of one request, as it is counted. */
export type UsageOutcome = Exclude<keyof OrganisationUsage, "organisation">;

/** Path of a node's metrics listener that serves {@link NodeUsage}. */
export const NODE_USAGE_PATH = "/organisations";
