/**
 * Echo servers for the `transport` scenario; one process runs all of them on consecutive ports.
 */
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { ControlService } from "@radishrouter/protocol";
import type { ControlBatch } from "@radishrouter/protocol";
import express from "express";
import { createServer } from "node:http";
import { createServer as createHttp2Server } from "node:http2";
import { echoPortOffsets } from "./echo-ports.js";

async function* echoBatches(batches: AsyncIterable<ControlBatch>): AsyncGenerator<ControlBatch> {
    for await (const batch of batches) {
        yield batch;
    }
}

function main(address: string, firstPort: number): void {
    const plain = createServer((request, response) => request.pipe(response));
    const application = express();
    application.post("/echo", (request, response) => request.pipe(response));
    const connectHandler = connectNodeAdapter({
        routes: router => router.service(ControlService, { exchange: echoBatches }),
    });
    plain.listen(firstPort + echoPortOffsets.plain, address);
    createServer(application).listen(firstPort + echoPortOffsets.express, address);
    createHttp2Server(connectHandler).listen(
        firstPort + echoPortOffsets.connect,
        address,
        () => process.stdout.write("ready\n"),
    );
}

main(process.argv[2]!, Number(process.argv[3]));
