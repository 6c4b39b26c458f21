/**
 * Runs one stand-in in its own process, with options given as JSON in the first argument.
 */
import { z } from "zod";
import { startFaultProxy } from "../proxy/fault-proxy.js";
import { backendBehaviourSchema, StandInBackend } from "./backend-server.js";
import { startPlatform } from "./platform.js";

const optionsSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("platform"), address: z.string(), port: z.number() }),
    z.object({
        kind: z.literal("backend"),
        host: z.string(),
        address: z.string(),
        port: z.number(),
        nodeAddress: z.string(),
        nodePort: z.number(),
        behaviour: backendBehaviourSchema,
    }),
    z.object({
        kind: z.literal("proxy"),
        controlAddress: z.string(),
        controlPort: z.number(),
        routes: z.array(z.object({ address: z.string(), port: z.number(), toAddress: z.string(), toPort: z.number() })),
    }),
]);

/** Options of one stand-in process. */
export type StandInOptions = z.input<typeof optionsSchema>;

async function main(): Promise<void> {
    const options = optionsSchema.parse(JSON.parse(process.argv[2] ?? "{}"));
    switch (options.kind) {
        case "platform":
            await startPlatform(options.address, options.port);
            break;
        case "backend":
            await StandInBackend.create(options).start();
            break;
        case "proxy":
            await startFaultProxy(options);
            break;
    }
    process.stdout.write("ready\n");
}

await main();
