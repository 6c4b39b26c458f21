/**
 * HTTP servers of a node: starting and stopping them in order.
 */
import type { BacklogMonitor } from "@radishrouter/core";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";

/** Handles one request; errors that it throws are defects. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Starts a server on an address and resolves when it listens. */
export function listen(server: Server, port: number, address: string): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, () => {
            server.off("error", reject);
            resolve();
        });
    });
}

/** Time after which a client has closed an idle connection by itself: 5 s that callers are told, and a margin. */
const IDLE_CLIENT_MS = 5_500;

/** Ends connections whose other end has vanished, and checks the timeouts of requests each second. */
const livenessOptions: ServerOptions = {
    keepAlive: true,
    keepAliveInitialDelay: 1_000,
    connectionsCheckingInterval: 1_000,
};

/**
 * Creates a server whose handler is a task for each request. A request that may have waited unread is handled when what
 * came behind it has been read, and only if its sender has not closed the connection.
 */
export function createHttpServer(options: ServerOptions, backlog: BacklogMonitor, handler: RequestHandler): Server {
    const server = createServer({ ...livenessOptions, ...options }, (request, response) => {
        handleInTurn(backlog, handler, request, response).catch(() => response.destroy());
    });
    server.on("connection", socket => backlog.recordAccepted(socket));
    return server;
}

async function handleInTurn(
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
 * Stops accepting and resolves when all connections have ended.
 *
 * An idle connection is left to its client for as long as the server promised to keep it: closing it at once would cut a
 * request that is on its way.
 */
export function closeGracefully(server: Server): Promise<void> {
    return new Promise(resolve => {
        const idle = setTimeout(() => server.closeIdleConnections(), IDLE_CLIENT_MS);
        // The close of http.Server closes idle connections at once; that of net.Server does not.
        NetServer.prototype.close.call(server, () => {
            clearTimeout(idle);
            resolve();
        });
    });
}
