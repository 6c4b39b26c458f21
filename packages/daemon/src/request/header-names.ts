/**
 * Headers with a meaning to nodes.
 */

/** Prefix of headers that only nodes may send. */
export const INTERNAL_HEADER_PREFIX = "radishrouter-";

/** Milliseconds that a caller gives a request. */
export const DEADLINE_HEADER = "deadline-ms";

/** Names a non-idempotent request across repeated sends. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

/** Header of an answer that was given to an earlier request with the same idempotency key. */
export const REPLAYED_HEADER = "idempotency-replayed";

/** Target at which callers get an idempotency key from a node. */
export const ISSUED_KEYS_TARGET = "/.radishrouter/idempotency-keys";

/** Names the request in flight for which a backend server makes an onward call. */
export const HANDLE_HEADER = "radishrouter-handle";

/** Headers of a request that one node forwards to another. */
export const forwardHeaders = {
    sender: "radishrouter-sender",
    proof: "radishrouter-proof",
    organisation: "radishrouter-organisation",
    importance: "radishrouter-importance",
    remainingMs: "radishrouter-remaining-ms",
    retries: "radishrouter-retries",
    /** Present when an earlier attempt may have run. */
    repeat: "radishrouter-repeat",
    /** Names one exchange; the answer repeats it, so that it cannot be taken for the answer to another request. */
    exchange: "radishrouter-exchange",
    /** Set when the receiver owns the idempotency key and has to decide whether the request may run. */
    keyOwner: "radishrouter-key-owner",
} as const;

/** Headers of the answer to a forwarded request. */
export const answerHeaders = {
    outcome: "radishrouter-outcome",
    retriesLeft: "radishrouter-retries-left",
    waitedMs: "radishrouter-waited-ms",
    load: "radishrouter-load",
    /** Calls that stood below the request one under the other. */
    callsBelow: "radishrouter-calls-below",
    /** Tightest admission level that the request met, such as `items=0.42`. */
    admission: "radishrouter-admission",
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

/** Whether a header ends at each connection. */
export function isHopByHop(name: string): boolean {
    return hopByHopHeaders.has(name);
}
