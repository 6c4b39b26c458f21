/**
 * Status of a node on the platform, which its metrics listener serves and `radishrouter status` shows.
 */
import { z } from "zod";

/** A failure domain whose servers get no requests because operators have evacuated it. */
export const failureDomainEvacuationSchema = z.object({
    failureDomain: z.string(),
    /** Time of day at which the node learned of the evacuation. */
    since: z.string(),
    elapsedMs: z.number(),
    /** Whether an older copy of the store lacks the key, so that the evacuation lasts until a later change of it. */
    isKept: z.boolean(),
});

/** Status of a node on the platform. */
export const platformNodeStatusSchema = z.object({
    kind: z.literal("platform-node"),
    host: z.string(),
    service: z.string(),
    failureDomain: z.string(),
    startedAt: z.string(),
    state: z.enum(["running", "stopping"]),
    configurationVersion: z.number().optional(),
    load: z.object({ inFlight: z.number(), queued: z.number(), limit: z.number() }),
    evacuations: z.array(failureDomainEvacuationSchema),
});

/** Evacuation of a failure domain; see {@link failureDomainEvacuationSchema}. */
export type FailureDomainEvacuation = z.infer<typeof failureDomainEvacuationSchema>;
/** Status of a node on the platform; see {@link platformNodeStatusSchema}. */
export type PlatformNodeStatus = z.infer<typeof platformNodeStatusSchema>;

/** Path of a node's metrics listener that serves {@link PlatformNodeStatus}. */
export const PLATFORM_NODE_STATUS_PATH = "/status";
