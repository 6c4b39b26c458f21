/**
 * Names of the HTTP headers that nodes read or write, and the request target that nodes serve themselves.
 */

/** Prefix of headers that only nodes may send. */
export const INTERNAL_HEADER_PREFIX = "radishrouter-";

/** Deadline of a request in milliseconds, set by the caller. */
export const DEADLINE_HEADER = "deadline-ms";

/** Identifies a non-idempotent request across repeated attempts of the caller. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

/** Marks a response that is the stored one of an earlier request with the same idempotency key. */
export const REPLAYED_HEADER = "idempotency-replayed";

/** Request target at which a node issues idempotency keys to callers. */
export const IDEMPOTENCY_KEYS_TARGET = "/.radishrouter/idempotency-keys";

/** Identifies the request in flight for which a backend server makes a downstream call. */
export const HANDLE_HEADER = "radishrouter-handle";

/** Headers of a request that one node forwards to another. */
export const forwardHeaders = {
    sender: "radishrouter-sender",
    proof: "radishrouter-proof",
    organisation: "radishrouter-organisation",
    importance: "radishrouter-importance",
    remainingMs: "radishrouter-remaining-ms",
    retries: "radishrouter-retries",
    /** Identifies one exchange. The response repeats it, so that it cannot be taken for that to another request. */
    exchange: "radishrouter-exchange",
    /** Present when an earlier attempt may have run. */
    repeat: "radishrouter-repeat",
    /** Present when the receiver owns the idempotency key and has to decide whether the request may run. */
    keyOwner: "radishrouter-key-owner",
} as const;

/** Headers of the response to a forwarded request. */
export const forwardResponseHeaders = {
    outcome: "radishrouter-outcome",
    retriesLeft: "radishrouter-retries-left",
    waitedMs: "radishrouter-waited-ms",
    load: "radishrouter-load",
    /** Depth of the downstream calls of the request: the length of their longest chain. */
    downstreamDepth: "radishrouter-calls-below",
    /** Highest admission level that the request met, with the service that reported it, such as `items=0.42`. */
    admission: "radishrouter-admission",
    /** Present when the responding node is draining and must get no new requests. */
    draining: "radishrouter-draining",
} as const;

const hopByHopHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
]);

/** Whether a header applies to a single connection and must not be forwarded. */
export function isHopByHop(name: string): boolean {
    return hopByHopHeaders.has(name);
}
