/**
 * Schemas of a node's responses to operators.
 */
import { z } from "zod";
import { organisationOutcomesSchema } from "./outcome-ledger.js";

/** Status of a node. */
export const nodeStatusSchema = z.object({
    host: z.string(),
    service: z.string(),
    failureDomain: z.string(),
    startedAt: z.string(),
    state: z.enum(["running", "stopping"]),
    configurationVersion: z.number().optional(),
    livePeers: z.array(z.string()),
    /** Milliseconds until the node's seat generates tokens for its share of the rates; 0 when it already does. */
    rateReadyInMs: z.number(),
    load: z.object({ inFlight: z.number(), queued: z.number(), limit: z.number(), admittedRank: z.number() }),
});

/** Counters of a node since it started. */
export const nodeReportSchema = z.object({
    host: z.string(),
    startedAt: z.string(),
    time: z.string(),
    openRequests: z.number(),
    organisations: z.record(z.string(), organisationOutcomesSchema),
});

/** Status of a node; see {@link nodeStatusSchema}. */
export type NodeStatus = z.infer<typeof nodeStatusSchema>;
/** Counters of a node; see {@link nodeReportSchema}. */
export type NodeReport = z.infer<typeof nodeReportSchema>;
