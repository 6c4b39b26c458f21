/**
 * What a load process sends and what it reports, as JSON between it and the bench.
 */
import { z } from "zod";

/** Constant demand during part of a run; times count from the start of the run. */
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

/** Everything that one load process needs. */
export const loadPlanSchema = z.object({
    seed: z.number().int(),
    /** Address from which the process connects. */
    localAddress: z.string(),
    /** Nodes that the process sends to, in turn. */
    urls: z.array(z.string()).min(1),
    flows: z.array(loadFlowSchema),
    /** Unix time at which the run starts, in milliseconds. */
    startAtMs: z.number(),
    /** Time that a caller waits for the answer to one attempt. */
    deadlineMs: z.number().positive(),
    /** Attempts that a caller makes for one request. */
    attempts: z.number().int().positive(),
    /** Time between a failed attempt and the next. */
    retryDelayMs: z.number().min(0),
    connections: z.number().int().positive(),
});

/** How one request of a caller ended, after all its attempts. */
export const loadResultSchema = z.object({
    id: z.string(),
    flow: z.string(),
    /** Milliseconds from the start of the run at which the request was due. */
    intendedMs: z.number(),
    /** Milliseconds from the start of the run at which its last attempt ended. */
    endMs: z.number(),
    attempts: z.number(),
    completed: z.boolean(),
    /** Status of the last attempt; 0 when there was no answer. */
    status: z.number(),
    /** Number of the result, when the last attempt was answered by a node in place of a backend server; otherwise 0. */
    code: z.number(),
});

/** What a load process sends; see {@link loadPlanSchema}. */
export type LoadPlan = z.infer<typeof loadPlanSchema>;
/** Demand during part of a run; see {@link loadPhaseSchema}. */
export type LoadPhase = z.infer<typeof loadPhaseSchema>;
/** Requests of one organisation to one route; see {@link loadFlowSchema}. */
export type LoadFlow = z.infer<typeof loadFlowSchema>;
/** How one request ended; see {@link loadResultSchema}. */
export type LoadResult = z.infer<typeof loadResultSchema>;
