/**
 * Schemas of the JSON messages between the bench and a load process: the plan and the results.
 */
import { z } from "zod";

/** Constant demand during an interval of a run; times are in milliseconds from the start of the run. */
export const loadPhaseSchema = z.object({
    startMs: z.number().min(0),
    endMs: z.number().min(0),
    ratePerSecond: z.number().min(0),
});

/** Requests of one organisation to one route. */
export const loadFlowSchema = z.object({
    name: z.string(),
    key: z.string(),
    method: z.enum(["GET", "POST"]),
    path: z.string(),
    phases: z.array(loadPhaseSchema),
});

/** Plan of one load process. */
export const loadPlanSchema = z.object({
    seed: z.number().int(),
    /** Address from which the process connects. */
    localAddress: z.string(),
    /** URLs of the nodes, used in round-robin order. */
    urls: z.array(z.string()).min(1),
    flows: z.array(loadFlowSchema),
    /** Unix time at which the run starts, in milliseconds. */
    startAtMs: z.number(),
    /** Time in milliseconds that a caller waits for the response to one attempt. */
    deadlineMs: z.number().positive(),
    /** Maximum number of attempts for one request. */
    attempts: z.number().int().positive(),
    /** Delay in milliseconds between a failed attempt and the next. */
    retryDelayMs: z.number().min(0),
    connections: z.number().int().positive(),
});

/** Outcome of one request of a caller after its last attempt. */
export const loadResultSchema = z.object({
    id: z.string(),
    flow: z.string(),
    /** Scheduled send time of the request, in milliseconds from the start of the run. */
    intendedMs: z.number(),
    /** End of its last attempt, in milliseconds from the start of the run. */
    endMs: z.number(),
    attempts: z.number(),
    completed: z.boolean(),
    /** HTTP status of the last attempt; 0 when there was no response. */
    status: z.number(),
    /** Result code of the last attempt when a node responded instead of a backend server; otherwise 0. */
    code: z.number(),
});

/** Plan of one load process; see {@link loadPlanSchema}. */
export type LoadPlan = z.infer<typeof loadPlanSchema>;
/** Constant demand during an interval of a run; see {@link loadPhaseSchema}. */
export type LoadPhase = z.infer<typeof loadPhaseSchema>;
/** Requests of one organisation to one route; see {@link loadFlowSchema}. */
export type LoadFlow = z.infer<typeof loadFlowSchema>;
/** Outcome of one request; see {@link loadResultSchema}. */
export type LoadResult = z.infer<typeof loadResultSchema>;
