/**
 * HTTP servers for the readiness, the metrics and the organisation usage of a node.
 */
import { NODE_USAGE_PATH } from "@radishrouter/core";
import type { NodeUsage } from "@radishrouter/core";
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { MeshMetrics } from "../process/mesh-metrics.js";

const OK_STATUS = 200;
const UNAVAILABLE_STATUS = 503;
const NOT_FOUND_STATUS = 404;
const IDLE_TIMEOUT_MS = 30_000;

/** Creates the server that reports whether callers may send new requests to this node. */
export function createReadinessServer(path: string, isReady: () => boolean): Server {
    const server = createServer((request, response) => {
        const status = request.url !== path ? NOT_FOUND_STATUS : isReady() ? OK_STATUS : UNAVAILABLE_STATUS;
        response.writeHead(status, ["content-length", "0"]);
        response.end();
    });
    server.keepAliveTimeout = IDLE_TIMEOUT_MS;
    return server;
}

/** Creates the server for metrics and for the usage of each organisation. */
export function createMetricsServer(path: string, metrics: MeshMetrics, getUsage: () => NodeUsage): Server {
    return createServer((request, response) => {
        if (request.url === NODE_USAGE_PATH) {
            response.writeHead(OK_STATUS, { "content-type": "application/json" }).end(JSON.stringify(getUsage()));
            return;
        }
        if (request.url !== path) {
            response.writeHead(NOT_FOUND_STATUS).end();
            return;
        }
        void metrics.text().then(text => response.writeHead(OK_STATUS, { "content-type": "text/plain" }).end(text));
    });
}
