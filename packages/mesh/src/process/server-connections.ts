/**
 * Connections of a node to its backend server.
 */

/** Connections at a time; each carries one request, so that no more are in flight there. */
export const MAXIMUM_SERVER_CONNECTIONS = 512;
