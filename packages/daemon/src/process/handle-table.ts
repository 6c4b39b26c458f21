/**
 * Opaque handles that stand for requests in flight on the local backend server.
 */
import { randomBytes } from "node:crypto";
import type { DownstreamTime } from "../request/downstream-time.js";
import type { RequestContext } from "../request/request-context.js";

const HANDLE_BYTES = 18;

/** A request in flight on the local backend server. */
export interface RunningRequest {
    readonly context: RequestContext;
    readonly downstreamTime: DownstreamTime;
}

/** Resolves handles to requests in flight; a handle is valid until its request ends. */
export class HandleTable {
    private readonly running = new Map<string, RunningRequest>();

    private constructor() {}

    static create(): HandleTable {
        return new HandleTable();
    }

    /** Issues a handle for a request. */
    issue(running: RunningRequest): string {
        const handle = randomBytes(HANDLE_BYTES).toString("base64url");
        this.running.set(handle, running);
        return handle;
    }

    /** Request of a handle; undefined when the handle was never issued or its request has ended. */
    resolve(handle: string): RunningRequest | undefined {
        return this.running.get(handle);
    }

    /** Makes a handle invalid. */
    revoke(handle: string): void {
        this.running.delete(handle);
    }
}
