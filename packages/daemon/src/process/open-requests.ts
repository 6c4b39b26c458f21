/**
 * Requests in progress by the key that they came with, so that they end when the key is withdrawn.
 */
import type { ConfigurationVersion } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";
import type { RequestLifetime } from "../request/request-lifetime.js";

/** Index of open requests by the id of their key. */
export class OpenRequests {
    private readonly byKey = new Map<string, Set<RequestLifetime>>();

    private constructor() {}

    static create(): OpenRequests {
        return new OpenRequests();
    }

    /** Adds a request; call the result when it has ended. */
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

    /** Ends all requests whose key is not in a version; work further down the chain ends with them. */
    endWithdrawn(version: ConfigurationVersion): void {
        for (const [keyId, lifetimes] of [...this.byKey]) {
            if (!version.keys.has(keyId)) {
                lifetimes.forEach(lifetime => lifetime.abort(RequestError.create("key-withdrawn-during-answer")));
            }
        }
    }
}
