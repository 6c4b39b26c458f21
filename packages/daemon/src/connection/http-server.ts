/**
 * HTTP servers of a node: creating, starting and gracefully closing them.
 */
import type { BacklogMonitor } from "@radishrouter/core";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import type { WaitingRequests } from "./waiting-requests.js";

/** Handles one request, including expected errors. An error that it throws is a bug and closes the connection. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Starts a server on an address and port, and resolves when it accepts connections. */
export function listen(server: Server, port: number, address: string): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, () => {
            server.off("error", reject);
            resolve();
        });
    });
}

/** Time after which a client has closed an idle connection itself: the 5 s that callers are told, and a margin. */
const IDLE_CLIENT_CLOSE_MS = 5_500;

/** Closes connections whose remote end has disappeared, by TCP keep-alive, and checks request timeouts each second. */
const connectionCheckOptions: ServerOptions = {
    keepAlive: true,
    keepAliveInitialDelay: 1_000,
    connectionsCheckingInterval: 1_000,
};

/**
 * Creates an HTTP server that calls a handler for each request.
 *
 * A request that may have arrived while the event loop was blocked, or before its connection was accepted, is delayed
 * until the rest of the backlog has been read. It is not handled if its sender has closed the connection by then, or if
 * too many requests of the connection wait.
 */
export function createHttpServer(
    options: ServerOptions,
    backlog: BacklogMonitor,
    handler: RequestHandler,
    waitingRequests?: WaitingRequests,
): Server {
    const server = createServer({ ...connectionCheckOptions, ...options }, (request, response) => {
        if (waitingRequests?.admit(request, response) ?? true) {
            handleAfterBacklog(backlog, handler, request, response).catch(() => response.destroy());
        }
    });
    server.on("connection", socket => backlog.recordAccepted(socket));
    return server;
}

async function handleAfterBacklog(
    backlog: BacklogMonitor,
    handler: RequestHandler,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const { socket } = request;
    if (backlog.isReadingBacklog() || backlog.isNewlyAccepted(socket)) {
        await backlog.whenCaughtUp();
        if (socket.destroyed || socket.readableEnded) {
            return;
        }
    }
    await handler(request, response);
}

/**
 * Stops accepting connections and resolves when all connections are closed.
 *
 * Idle connections are left open until their clients have closed them, which callers do after the keep-alive time that
 * they are told. Closing them at once would lose requests that clients are just sending.
 */
export function closeGracefully(server: Server): Promise<void> {
    return new Promise(resolve => {
        const idleTimer = setTimeout(() => server.closeIdleConnections(), IDLE_CLIENT_CLOSE_MS);
        // http.Server.close() closes idle connections at once; net.Server.close() does not.
        NetServer.prototype.close.call(server, () => {
            clearTimeout(idleTimer);
            resolve();
        });
    });
}
