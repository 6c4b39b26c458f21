/**
 * What the scenario `control` reads from its processes.
 */
import { z } from "zod";

/** What the parts of one process have cost so far. */
export const controlSampleSchema = z.object({
    timeMs: z.number(),
    processorMs: z.number(),
    residentBytes: z.number(),
    heapBytes: z.number(),
    sentBytes: z.number(),
    receivedBytes: z.number(),
    sentBatches: z.number(),
    sentMessages: z.number(),
    openSockets: z.number(),
    /** Fewest live peers that a node knows, and the lowest version in force. */
    fewestPeers: z.number(),
    lowestVersion: z.number(),
});

/** What the parts of one process have cost so far; see {@link controlSampleSchema}. */
export type ControlSample = z.infer<typeof controlSampleSchema>;
