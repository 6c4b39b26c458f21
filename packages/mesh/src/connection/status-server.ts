/**
 * HTTP servers for the readiness, the metrics, the status and the organisation usage of a node.
 */
import { NODE_USAGE_PATH, PLATFORM_NODE_STATUS_PATH } from "@radishrouter/core";
import type { NodeUsage, PlatformNodeStatus } from "@radishrouter/core";
import { createServer } from "node:http";
import type { IncomingMessage, Server } from "node:http";
import type { CrashingRequests } from "../process/crashing-requests.js";
import type { MeshMetrics } from "../process/mesh-metrics.js";
import { guardedServerOptions, ListenerGuard } from "./listener-guard.js";
import type { ListenerGuardOptions } from "./listener-guard.js";

const OK_STATUS = 200;
const UNAVAILABLE_STATUS = 503;
const NOT_FOUND_STATUS = 404;
const IDLE_TIMEOUT_MS = 30_000;

/** Creates the server that reports whether callers may send new requests to this node. */
export function createReadinessServer(path: string, isReady: () => boolean, limits: ListenerGuardOptions): Server {
    const server = createServer(guardedServerOptions(limits.limits), (request, response) => {
        if (!guard.admit(request, response)) {
            return;
        }
        const status = request.url !== path ? NOT_FOUND_STATUS : isReady() ? OK_STATUS : UNAVAILABLE_STATUS;
        response.writeHead(status, ["content-length", "0"]);
        response.end();
    });
    const guard = ListenerGuard.attach(server, limits);
    server.keepAliveTimeout = IDLE_TIMEOUT_MS;
    return server;
}

/** What the operators' listener reads and changes. */
export interface OperatorsView {
    readonly usage: () => NodeUsage;
    readonly status: () => PlatformNodeStatus;
    readonly crashing: Pick<CrashingRequests, "listEnds" | "lift">;
}

/** Path of the ends of servers and of the requests that were in flight. */
const QUARANTINE_PATH = "/quarantine";

/** Creates the server for metrics, status and usage of each organisation, and for requests that end servers. */
export function createMetricsServer(
    path: string,
    metrics: MeshMetrics,
    view: OperatorsView,
    limits: ListenerGuardOptions,
): Server {
    const server = createServer(guardedServerOptions(limits.limits), (request, response) => {
        if (guard.admit(request, response)) {
            void answer(request, view, path, metrics).then(({ status, type, text }) => {
                if (guard.holdResponse(response, Buffer.byteLength(text))) {
                    response.writeHead(status, { "content-type": type }).end(text);
                }
            });
        }
    });
    const guard = ListenerGuard.attach(server, limits);
    return server;
}

/** Response of the metrics listener. */
interface StatusAnswer {
    readonly status: number;
    readonly type: string;
    readonly text: string;
}

async function answer(
    { url, method }: IncomingMessage,
    { usage, status, crashing }: OperatorsView,
    path: string,
    metrics: MeshMetrics,
): Promise<StatusAnswer> {
    if (url === NODE_USAGE_PATH) {
        return toJson(usage());
    }
    if (url === PLATFORM_NODE_STATUS_PATH) {
        return toJson(status());
    }
    if (url === QUARANTINE_PATH) {
        return toJson(crashing.listEnds());
    }
    if (method === "DELETE" && url?.startsWith(`${QUARANTINE_PATH}/`)) {
        return toJson({ wasHeld: crashing.lift(url.slice(QUARANTINE_PATH.length + 1)) });
    }
    if (url !== path) {
        return { status: NOT_FOUND_STATUS, type: "text/plain", text: "" };
    }
    return { status: OK_STATUS, type: "text/plain", text: await metrics.text() };
}

function toJson(value: unknown): StatusAnswer {
    return { status: OK_STATUS, type: "application/json", text: JSON.stringify(value) };
}
