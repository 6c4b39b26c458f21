/**
 * Connections to backend servers and other nodes, and what their errors say about a request.
 */
import { RequestError } from "@radishrouter/core";
import type { ResultName } from "@radishrouter/core";
import { Pool } from "undici";

const CONNECT_TIMEOUT_MS = 1_000;

/** Options of the connections to one server. */
export interface PoolOptions {
    readonly address: string;
    readonly port: number;
    readonly connections: number;
    /** Address of this host from which connections are made. */
    readonly localAddress: string;
}

/** Opens a pool of connections to one server; one that was idle for `idleMs` is closed, whatever the server allows. */
export function createPool(options: PoolOptions & { readonly idleMs: number; }): Pool {
    return new Pool(`http://${options.address}:${options.port}`, {
        connections: options.connections,
        pipelining: 1,
        keepAliveTimeout: options.idleMs,
        keepAliveMaxTimeout: options.idleMs,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        localAddress: options.localAddress,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
}

const beforeSendCodes = new Set(["UND_ERR_CONNECT_TIMEOUT", "UND_ERR_CLOSED", "UND_ERR_DESTROYED"]);

function hasCode(error: unknown): error is Error & { code: string; syscall?: string; } {
    return error instanceof Error && "code" in error && typeof error.code === "string";
}

/** Whether an error happened before the first byte of the request was sent. */
export function isBeforeSend(error: unknown): boolean {
    return hasCode(error) && (beforeSendCodes.has(error.code) || error.syscall === "connect");
}

/** Result of a request whose connection failed. */
export function createConnectionError(error: unknown, lost: ResultName): RequestError {
    if (error instanceof RequestError) {
        return error;
    }
    const detail = error instanceof Error ? error.message : String(error);
    if (isBeforeSend(error)) {
        return RequestError.create("no-backend-server", { detail });
    }
    return RequestError.create(lost, { detail });
}
