/**
 * Opaque handles that stand for requests in flight on the local backend server.
 */
import { randomBytes } from "node:crypto";
import type { RequestContext } from "../request/request-context.js";

const HANDLE_BYTES = 18;

/** Resolves handles to requests in flight; a handle dies with its request. */
export class HandleTable {
    private readonly contexts = new Map<string, RequestContext>();

    private constructor() {}

    static create(): HandleTable {
        return new HandleTable();
    }

    /** Issues a handle for a request. */
    issue(context: RequestContext): string {
        const handle = randomBytes(HANDLE_BYTES).toString("base64url");
        this.contexts.set(handle, context);
        return handle;
    }

    /** Request of a handle; undefined when it never existed or its request has ended. */
    resolve(handle: string): RequestContext | undefined {
        return this.contexts.get(handle);
    }

    /** Ends a handle. */
    revoke(handle: string): void {
        this.contexts.delete(handle);
    }
}
