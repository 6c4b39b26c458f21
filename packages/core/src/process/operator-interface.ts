/**
 * What a node answers to operators.
 */
import { z } from "zod";
import { organisationOutcomesSchema } from "./outcome-ledger.js";

/** What a node says of itself. */
export const nodeStatusSchema = z.object({
    host: z.string(),
    service: z.string(),
    failureDomain: z.string(),
    startedAt: z.string(),
    state: z.enum(["running", "stopping"]),
    configurationVersion: z.number().optional(),
    livePeers: z.array(z.string()),
    /** Time until the node's seat mints its share of the rates; 0 when it does. */
    rateReadyInMs: z.number(),
    load: z.object({ inFlight: z.number(), queued: z.number(), limit: z.number(), admittedRank: z.number() }),
});

/** What a node counted since it started. */
export const nodeReportSchema = z.object({
    host: z.string(),
    startedAt: z.string(),
    time: z.string(),
    openRequests: z.number(),
    organisations: z.record(z.string(), organisationOutcomesSchema),
});

/** What a node says of itself; see {@link nodeStatusSchema}. */
export type NodeStatus = z.infer<typeof nodeStatusSchema>;
/** What a node counted; see {@link nodeReportSchema}. */
export type NodeReport = z.infer<typeof nodeReportSchema>;
