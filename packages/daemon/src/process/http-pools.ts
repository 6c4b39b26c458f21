/**
 * Connections to backend servers and other nodes, and the request results of connection errors.
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
    /** Local address that connections are made from. */
    readonly localAddress: string;
}

/**
 * Opens a pool of connections to one server. A connection that was idle for `idleTimeoutMs` is closed, even if the
 * server allows a longer time.
 */
export function createPool(options: PoolOptions & { readonly idleTimeoutMs: number; }): Pool {
    return new Pool(`http://${options.address}:${options.port}`, {
        connections: options.connections,
        pipelining: 1,
        keepAliveTimeout: options.idleTimeoutMs,
        keepAliveMaxTimeout: options.idleTimeoutMs,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        localAddress: options.localAddress,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
}

/** Codes of errors at which no byte of the request was sent. */
const connectFailureCodes = new Set(["UND_ERR_CONNECT_TIMEOUT", "UND_ERR_CLOSED"]);

function hasErrorCode(error: unknown): error is Error & { code: string; syscall?: string; } {
    return error instanceof Error && "code" in error && typeof error.code === "string";
}

/** Whether an error happened before the first byte of the request was sent. */
export function failedBeforeSend(error: unknown): boolean {
    return hasErrorCode(error) && (connectFailureCodes.has(error.code) || error.syscall === "connect");
}

/** Result of a request whose connection failed; `lost` is the result when part of the request may have been sent. */
export function createConnectionError(error: unknown, lost: ResultName): RequestError {
    if (error instanceof RequestError) {
        return error;
    }
    const detail = error instanceof Error ? error.message : String(error);
    if (failedBeforeSend(error)) {
        return RequestError.create("no-backend-server", { detail });
    }
    return RequestError.create(lost, { detail });
}
