/**
 * Limits on what connections that a node accepts may take of its process.
 *
 * Protect a process from callers outside its control: bodies and heads that stop half-way, pipelined requests, responses
 * that are not read, and connections without requests.
 */
import { readFileSync } from "node:fs";

/** Limits of the listeners of a node; see docs/OPERATIONS-PLATFORM.md. */
export interface ListenerLimits {
    /** Bytes of request bodies, heads, waiting requests and unread responses that the process holds at once. */
    readonly heldBytes: number;
    /** Open connections of callers. */
    readonly connections: number;
    /** Open connections of other nodes. */
    readonly peerConnections: number;
    /** Open connections of each listener for readiness and metrics. */
    readonly statusConnections: number;
    /** Unanswered requests of one connection from which it is not read any more. */
    readonly waitingRequests: number;
    /** Header fields of a request. */
    readonly headerFields: number;
    /** Time in which the head of a request arrives. */
    readonly headerTimeoutMs: number;
    /** Time without progress after which a request or a response is given up. */
    readonly stallTimeoutMs: number;
    /** Mean rate below which a body or a response is given up once it has taken the time above. */
    readonly minimumBytesPerSecond: number;
}

const MEBIBYTE = 1024 * 1024;
/** Descriptors that are assumed where the system does not tell the limit. */
const ASSUMED_DESCRIPTORS = 1_024;
/** Of 4,096 descriptors, 512 are for connections to the backend server and 450 for links to other nodes. */
const CALLER_DESCRIPTOR_SHARE = 0.5;
const PEER_DESCRIPTOR_SHARE = 0.25;

/**
 * The limits for a process with a number of descriptors. No caller within the platform's limits reaches one: connections
 * are opened up to 12 s (four fifths of `IdleTimeout`) before their first request, heads take up to 3 s (`HeaderTimeout`).
 */
export function defaultListenerLimits(descriptors = readDescriptorLimit()): ListenerLimits {
    return {
        heldBytes: 80 * MEBIBYTE,
        connections: Math.floor(descriptors * CALLER_DESCRIPTOR_SHARE),
        peerConnections: Math.floor(descriptors * PEER_DESCRIPTOR_SHARE),
        statusConnections: 64,
        waitingRequests: 16,
        headerFields: 256,
        headerTimeoutMs: 20_000,
        stallTimeoutMs: 20_000,
        minimumBytesPerSecond: 256,
    };
}

/** Descriptors that this process may open. */
function readDescriptorLimit(): number {
    try {
        const limit = /^Max open files\s+(\d+)/m.exec(readFileSync("/proc/self/limits", "latin1"))?.[1];
        return limit === undefined ? ASSUMED_DESCRIPTORS : Number(limit);
    }
    catch {
        return ASSUMED_DESCRIPTORS;
    }
}
