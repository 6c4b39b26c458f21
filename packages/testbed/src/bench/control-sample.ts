/**
 * Samples that the worker processes of the scenario `control` print.
 */
import { z } from "zod";

/**
 * Resource usage of one worker process and the nodes in it: processor time and traffic since the start, memory and
 * sockets at the time of the sample.
 */
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
    /** Lowest number of live peers that any node of the process knows. */
    fewestPeers: z.number(),
    /** Lowest configuration version that is active on any node of the process; 0 while a node has none. */
    lowestVersion: z.number(),
});

/** Resource usage of one worker process; see {@link controlSampleSchema}. */
export type ControlSample = z.infer<typeof controlSampleSchema>;
