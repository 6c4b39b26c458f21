/**
 * What the load process of the `overhead` scenario sends and reports.
 */
import { z } from "zod";

/** One way to the backend server. */
export const overheadPathSchema = z.object({
    name: z.string(),
    url: z.string(),
    target: z.string(),
    headers: z.record(z.string(), z.string()),
});

/** Everything that the load process needs. */
export const overheadPlanSchema = z.object({
    seed: z.number().int(),
    localAddress: z.string(),
    paths: z.array(overheadPathSchema).min(1),
    ratePerSecond: z.number().positive(),
    /** Length of the turns in which the paths are measured one after the other. */
    sliceMs: z.number().positive(),
    rounds: z.number().int().positive(),
    /** Requests that are open at once while the largest load is measured. */
    saturationRequests: z.number().int().positive(),
    saturationMs: z.number().positive(),
});

/** What was measured of one path. */
export const overheadResultSchema = z.object({
    path: z.string(),
    p50Ms: z.number(),
    p99Ms: z.number(),
    requests: z.number(),
    failed: z.number(),
    /** Requests per second when as many as planned are always open. */
    saturationPerSecond: z.number(),
});

/** One way to the backend server; see {@link overheadPathSchema}. */
export type OverheadPath = z.infer<typeof overheadPathSchema>;
/** What the load process needs; see {@link overheadPlanSchema}. */
export type OverheadPlan = z.infer<typeof overheadPlanSchema>;
/** What was measured of one path; see {@link overheadResultSchema}. */
export type OverheadResult = z.infer<typeof overheadResultSchema>;
