/**
 * Requests in flight by their access key, so that they are aborted when the key is withdrawn.
 */
import type { ConfigurationVersion } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";
import type { RequestLifetime } from "../request/request-lifetime.js";

/** Index of requests in flight by the id of their key. */
export class OpenRequests {
    private readonly byKey = new Map<string, Set<RequestLifetime>>();

    private constructor() {}

    static create(): OpenRequests {
        return new OpenRequests();
    }

    /** Adds a request; the caller has to call the returned function when the request has ended. */
    add(keyId: string, lifetime: RequestLifetime): () => void {
        const lifetimes = this.byKey.get(keyId) ?? new Set();
        this.byKey.set(keyId, lifetimes.add(lifetime));
        return () => {
            lifetimes.delete(lifetime);
            if (lifetimes.size === 0 && this.byKey.get(keyId) === lifetimes) {
                this.byKey.delete(keyId);
            }
        };
    }

    /** Aborts all requests whose key a configuration version does not contain, with their downstream calls. */
    abortWithdrawn(version: ConfigurationVersion): void {
        for (const [keyId, lifetimes] of [...this.byKey]) {
            if (!version.keys.has(keyId)) {
                lifetimes.forEach(lifetime => lifetime.abort(RequestError.create("key-withdrawn-during-answer")));
            }
        }
    }
}
