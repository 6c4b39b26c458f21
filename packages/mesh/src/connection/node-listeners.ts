/**
 * HTTP servers of a node: opened at start-up, closed in order at shutdown.
 */
import type { Server } from "node:http";
import type { Server as NetServer } from "node:net";

/** Address and port that a node listens on. */
export interface ListenAddress {
    readonly address: string;
    readonly port: number;
}

/** Opens a server on an address; resolves when it listens. */
export function listenAt(server: NetServer, listenAddress: ListenAddress): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(listenAddress.port, listenAddress.address, resolve);
    });
}

/** HTTP servers that are opened and closed together. */
export class NodeListeners {
    private readonly servers: Server[] = [];

    private constructor() {}

    static create(): NodeListeners {
        return new NodeListeners();
    }

    /** Opens a server on an address. */
    async open(server: Server, listenAddress: ListenAddress): Promise<void> {
        this.servers.push(server);
        await listenAt(server, listenAddress);
    }

    /** Stops accepting connections and closes idle ones. */
    close(): void {
        this.servers.forEach(server => {
            server.close();
            server.closeIdleConnections();
        });
    }

    /** Closes all remaining connections. */
    closeConnections(): void {
        this.servers.forEach(server => server.closeAllConnections());
    }
}
