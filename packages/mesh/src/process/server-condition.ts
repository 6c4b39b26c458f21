/**
 * What a backend server says of itself in its responses.
 */

/** Limit that a server names for the requests it gets from all nodes together. */
export type NamedRateLimit =
    | { readonly kind: "none"; }
    | { readonly kind: "limited"; readonly ratePerSecond: number; }
    /** What the server named is no usable rate, and counts as not said. */
    | { readonly kind: "invalid"; readonly text: string; };

/** Load that a server states; a figure that is missing or cannot be used is left out. */
export interface StatedLoad {
    readonly running?: number;
    readonly waiting?: number;
    readonly slots?: number;
    /** How long work takes now, as a multiple of the usual time. */
    readonly slowness?: number;
}

/** Statements of one response. */
export interface ServerCondition {
    /** Whether the server leaves and is to get no new requests. */
    readonly isLeaving: boolean;
    readonly rateLimit: NamedRateLimit;
    /** Undefined if the server states no load. */
    readonly load?: StatedLoad;
}

/** Time in ms for which a server says that it is cold, in a response to a health check; undefined if it does not say. */
export type ColdTimeDecoder = (headers: { get(name: string): string | undefined; }) => number | undefined;

/** Reads the statements from the header fields of a response; `get` takes names in lower case. */
export type ServerConditionDecoder = (headers: { get(name: string): string | undefined; }) => ServerCondition;
