/**
 * Minimal forwarder with express or node:http as its HTTP listener, to compare both as the listener for callers of a node.
 */
import express from "express";
import { createServer } from "node:http";
import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { Pool } from "undici";
import { z } from "zod";

const CONNECTIONS = 64;

const optionsSchema = z.object({
    variant: z.enum(["express", "http"]),
    address: z.string(),
    port: z.number(),
    backendUrl: z.string(),
});

/** Options of one forwarder. */
export type ListenerVariantOptions = z.infer<typeof optionsSchema>;

async function forward(pool: Pool, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const backendResponse = await pool.request({ method: "GET", path: request.url ?? "/" });
    response.writeHead(backendResponse.statusCode, { "content-type": "application/json" });
    await pipeline(backendResponse.body, response);
}

function createListener(options: ListenerVariantOptions): RequestListener {
    const pool = new Pool(options.backendUrl, { connections: CONNECTIONS });
    const handle = (request: IncomingMessage, response: ServerResponse) => {
        forward(pool, request, response).catch(() => response.destroy());
    };
    switch (options.variant) {
        case "http":
            return handle;
        case "express": {
            const application = express();
            application.use(handle);
            return application as RequestListener;
        }
    }
}

const options = optionsSchema.parse(JSON.parse(process.argv[2] ?? "{}"));
const server = createServer(createListener(options));
server.keepAliveTimeout = 60_000;
server.listen(options.port, options.address, () => process.stdout.write("ready\n"));
