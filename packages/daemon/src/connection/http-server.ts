/**
 * HTTP servers of a node: starting and stopping them in order.
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from "node:http";

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

/** Ends connections whose other end has vanished, and checks the timeouts of requests each second. */
const livenessOptions: ServerOptions = {
    keepAlive: true,
    keepAliveInitialDelay: 1_000,
    connectionsCheckingInterval: 1_000,
};

/** Creates a server whose handler is a task for each request. */
export function createHttpServer(options: ServerOptions, handler: RequestHandler): Server {
    return createServer({ ...livenessOptions, ...options }, (request, response) => {
        handler(request, response).catch(() => response.destroy());
    });
}

/** Stops accepting, closes idle connections, and resolves when the requests on the others have ended. */
export function closeGracefully(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });
}
