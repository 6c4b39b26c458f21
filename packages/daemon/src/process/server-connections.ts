/**
 * Connections to one server, kept apart by what a request needs to know of a connection before it is put on it.
 */
import type { Pool } from "undici";
import { createPool } from "./http-pools.js";
import type { PoolOptions } from "./http-pools.js";

/** Idle time after which a connection is not used again for an idempotent request. */
const IDLE_MS = 4_000;
/** Idle time after which a connection counts as unproven, so that a non-idempotent request gets a new one. */
const UNPROVEN_MS = 500;

/** Pools of connections to one server. */
export class ServerConnections {
    private idempotent: Pool;
    private nonIdempotent: Pool;

    private constructor(private options: PoolOptions) {
        this.idempotent = createHalf(options, IDLE_MS);
        this.nonIdempotent = createHalf(options, UNPROVEN_MS);
    }

    static create(options: PoolOptions): ServerConnections {
        return new ServerConnections(options);
    }

    /** Pool for a request. */
    poolFor(isIdempotent: boolean): Pool {
        return isIdempotent ? this.idempotent : this.nonIdempotent;
    }

    /** Changes the number of connections; requests on the old ones end before these are closed. */
    setConnections(connections: number): void {
        if (connections !== this.options.connections) {
            this.options = { ...this.options, connections };
            this.renew();
        }
    }

    /** Puts no further request on the connections that are open now; those that run may end. */
    renew(): void {
        void this.close();
        this.idempotent = createHalf(this.options, IDLE_MS);
        this.nonIdempotent = createHalf(this.options, UNPROVEN_MS);
    }

    /** Closes all connections after the requests on them have ended. */
    async close(): Promise<void> {
        await Promise.all([this.idempotent.close(), this.nonIdempotent.close()]);
    }
}

/** Opens one of the two pools, which together stay within the number of connections that the server accepts. */
function createHalf(options: PoolOptions, idleMs: number): Pool {
    return createPool({ ...options, connections: Math.max(1, Math.floor(options.connections / 2)), idleMs });
}
