/**
 * Connections to the local backend server, as many as are published for its service.
 */
import type { Pool } from "undici";
import { createPool } from "./http-pools.js";
import type { PoolOptions } from "./http-pools.js";

/** Keeps one pool of connections and replaces it when the published number changes. */
export class BackendConnections {
    private current: Pool;
    private limit: number;

    private constructor(private readonly options: PoolOptions) {
        this.limit = options.connections;
        this.current = createPool(options);
    }

    static create(options: PoolOptions): BackendConnections {
        return new BackendConnections(options);
    }

    /** Pool for new requests. */
    get pool(): Pool {
        return this.current;
    }

    /** Changes the published number; requests on the old connections end before these are closed. */
    setConnections(connections: number): void {
        if (connections === this.limit) {
            return;
        }
        const old = this.current;
        this.limit = connections;
        this.current = createPool({ ...this.options, connections });
        void old.close();
    }
}
