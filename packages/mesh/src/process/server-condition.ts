/**
 * What a backend server says of itself in its responses.
 */

/** Limit that a server names for the requests it gets from all nodes together. */
export type NamedRateLimit =
    | { readonly kind: "none"; }
    | { readonly kind: "limited"; readonly ratePerSecond: number; }
    /** What the server named is no usable rate, and counts as not said. */
    | { readonly kind: "invalid"; readonly text: string; };

/** Statements of one response. */
export interface ServerCondition {
    /** Whether the server leaves and is to get no new requests. */
    readonly isLeaving: boolean;
    readonly rateLimit: NamedRateLimit;
}

/** Reads the statements from the header fields of a response; `get` takes names in lower case. */
export type ServerConditionDecoder = (headers: { get(name: string): string | undefined; }) => ServerCondition;
