/**
 * Schemas of the plan and the results of the load process of the `overhead` scenario.
 */
import { z } from "zod";

/** One path to the backend server: direct, through nodes or through a minimal forwarder. */
export const overheadPathSchema = z.object({
    name: z.string(),
    url: z.string(),
    target: z.string(),
    headers: z.record(z.string(), z.string()),
});

/** Plan of the load process. */
export const overheadPlanSchema = z.object({
    seed: z.number().int(),
    localAddress: z.string(),
    paths: z.array(overheadPathSchema).min(1),
    ratePerSecond: z.number().positive(),
    /** Length in milliseconds of a time slice; paths are measured one slice each in turn. */
    sliceMs: z.number().positive(),
    rounds: z.number().int().positive(),
    /** Number of requests kept in flight while the maximum throughput is measured. */
    saturationRequests: z.number().int().positive(),
    saturationMs: z.number().positive(),
});

/** Measurements of one path. */
export const overheadResultSchema = z.object({
    path: z.string(),
    p50Ms: z.number(),
    p99Ms: z.number(),
    requests: z.number(),
    failed: z.number(),
    /** Successful requests per second while `saturationRequests` requests are kept in flight. */
    saturationPerSecond: z.number(),
});

/** One path to the backend server; see {@link overheadPathSchema}. */
export type OverheadPath = z.infer<typeof overheadPathSchema>;
/** Plan of the load process; see {@link overheadPlanSchema}. */
export type OverheadPlan = z.infer<typeof overheadPlanSchema>;
/** Measurements of one path; see {@link overheadResultSchema}. */
export type OverheadResult = z.infer<typeof overheadResultSchema>;
