/**
 * Connections to one server, in separate pools for idempotent and non-idempotent requests.
 *
 * An idle connection may no longer work, and a request that is lost on it can be retried only if it is idempotent. So
 * non-idempotent requests use new connections or those that were in use shortly before.
 */
import type { Pool } from "undici";
import { createPool } from "./http-pools.js";
import type { PoolOptions } from "./http-pools.js";

/** Idle time after which a connection is closed in the pool for idempotent requests. */
const IDEMPOTENT_IDLE_TIMEOUT_MS = 4_000;
/** Idle time after which a connection is closed in the pool for non-idempotent requests: it may no longer work. */
const NON_IDEMPOTENT_IDLE_TIMEOUT_MS = 500;

/** Pools of connections to one server. */
export class ServerConnections {
    private idempotent: Pool;
    private nonIdempotent: Pool;

    private constructor(private options: PoolOptions) {
        this.idempotent = createHalfSizePool(options, IDEMPOTENT_IDLE_TIMEOUT_MS);
        this.nonIdempotent = createHalfSizePool(options, NON_IDEMPOTENT_IDLE_TIMEOUT_MS);
    }

    static create(options: PoolOptions): ServerConnections {
        return new ServerConnections(options);
    }

    /** Pool for an idempotent or a non-idempotent request. */
    poolFor(isIdempotent: boolean): Pool {
        return isIdempotent ? this.idempotent : this.nonIdempotent;
    }

    /** Changes the maximum number of connections; old connections close after their requests have ended. */
    setConnections(connections: number): void {
        if (connections !== this.options.connections) {
            this.options = { ...this.options, connections };
            this.renew();
        }
    }

    /** Replaces all open connections by new ones for further requests; requests in flight may complete. */
    renew(): void {
        void this.close();
        this.idempotent = createHalfSizePool(this.options, IDEMPOTENT_IDLE_TIMEOUT_MS);
        this.nonIdempotent = createHalfSizePool(this.options, NON_IDEMPOTENT_IDLE_TIMEOUT_MS);
    }

    /** Closes all connections after the requests on them have ended. */
    async close(): Promise<void> {
        await Promise.all([this.idempotent.close(), this.nonIdempotent.close()]);
    }
}

/** Opens one of the two pools with half of the connections that the server accepts (at least one). */
function createHalfSizePool(options: PoolOptions, idleTimeoutMs: number): Pool {
    return createPool({ ...options, connections: Math.max(1, Math.floor(options.connections / 2)), idleTimeoutMs });
}
