/**
 * Protects callers from each other: rejects input that is not valid HTTP, and limits the connections and requests that
 * one caller has in flight.
 */
import { RequestError } from "@radishrouter/core";
import type { Execution, OutcomeLedger } from "@radishrouter/core";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { createProblemDocument } from "../request/problem-document.js";

/** Limits on the connections of one address and on the requests in flight of one caller, at this node. */
export interface CallerLimits {
    readonly connectionsPerAddress: number;
    readonly requestsPerCaller: number;
}

/** Dependencies of the guard. */
export interface CallerGuardDependencies {
    readonly limits: CallerLimits;
    readonly ledger: OutcomeLedger;
}

/** Time for which a connection stays open after an error response, so that the sender can read the response. */
const LINGERING_CLOSE_MS = 1_000;
/** Delay after which a caller that exceeds a limit is told to retry. */
const RETRY_AFTER_MS = 1_000;

/** Counts what is in flight for each name, up to a maximum. A counter that reaches zero is removed. */
class InFlightCounters {
    private readonly counts = new Map<string, number>();

    private constructor(private readonly maximum: number) {}

    static create(maximum: number): InFlightCounters {
        return new InFlightCounters(maximum);
    }

    /** Adds one to a counter and returns the function that releases it; undefined when the maximum is reached. */
    tryAcquire(name: string): (() => void) | undefined {
        const count = this.counts.get(name) ?? 0;
        if (count >= this.maximum) {
            return undefined;
        }
        this.counts.set(name, count + 1);
        let isHeld = true;
        return () => {
            if (isHeld) {
                isHeld = false;
                this.decrement(name);
            }
        };
    }

    private decrement(name: string): void {
        const count = this.counts.get(name) ?? 0;
        if (count <= 1) {
            this.counts.delete(name);
        }
        else {
            this.counts.set(name, count - 1);
        }
    }
}

/** Limits and error handling of the listener for callers. */
export class CallerGuard {
    private readonly connections: InFlightCounters;
    private readonly requests: InFlightCounters;
    /** Responses in flight of each connection, the oldest first. */
    private readonly responsesInFlight = new WeakMap<Duplex, ServerResponse[]>();
    /** Responses to requests that a backend server may have begun to run. */
    private readonly mayHaveRun = new WeakSet<ServerResponse>();
    /** Error after which a connection gets no further responses. */
    private readonly connectionErrors = new WeakMap<Duplex, RequestError>();

    private constructor(private readonly dependencies: CallerGuardDependencies) {
        this.connections = InFlightCounters.create(dependencies.limits.connectionsPerAddress);
        this.requests = InFlightCounters.create(dependencies.limits.requestsPerCaller);
    }

    static create(dependencies: CallerGuardDependencies): CallerGuard {
        return new CallerGuard(dependencies);
    }

    /** Handles the connections, parser errors, CONNECT requests and expectations of a server. */
    attach(server: Server): void {
        server.maxHeadersCount = 0;
        server.on("connection", socket => this.admitConnection(socket));
        server.on("clientError", (error: NodeJS.ErrnoException, socket) => this.handleClientError(error, socket));
        server.on("connect", (_request: IncomingMessage, socket: Duplex) => {
            this.countRefused(this.refuse(socket, malformed("CONNECT is not supported")));
        });
        server.on("checkExpectation", (request: IncomingMessage, response: ServerResponse) => {
            delete request.headers.expect;
            server.emit("request", request, response);
        });
    }

    /**
     * Records a response in flight, so that an error on its connection is attributed to it. Returns false when the
     * connection was already refused.
     */
    trackResponse(request: IncomingMessage, response: ServerResponse): boolean {
        if (this.connectionErrors.has(request.socket)) {
            return false;
        }
        const inFlight = this.responsesInFlight.get(request.socket) ?? [];
        inFlight.push(response);
        this.responsesInFlight.set(request.socket, inFlight);
        response.once("close", () => inFlight.splice(inFlight.indexOf(response), 1));
        return true;
    }

    /**
     * Counts a request of a caller as in flight and returns the function that ends this.
     *
     * @throws RequestError when the caller has too many requests in flight.
     */
    acquireRequestSlot(caller: string): () => void {
        const release = this.requests.tryAcquire(caller);
        if (!release) {
            throw RequestError.create("too-many-requests-open", { retryAfterMs: RETRY_AFTER_MS });
        }
        return release;
    }

    /** Records that a backend server may run a request from now on, so that errors no longer report it as not run. */
    markMayHaveRun(response: ServerResponse): void {
        this.mayHaveRun.add(response);
    }

    /** Creates the error for a request whose body could not be read; no backend server ran the request. */
    createBodyReadError(request: IncomingMessage): RequestError {
        return this.connectionErrors.get(request.socket) ??
            RequestError.create("caller-gone", { execution: "not-run" });
    }

    private admitConnection(socket: Socket): void {
        const release = this.connections.tryAcquire(socket.remoteAddress ?? "");
        if (release) {
            socket.once("close", release);
            return;
        }
        const detail = "This address has too many connections open.";
        this.refuse(socket, RequestError.create("too-many-requests-open", { detail, retryAfterMs: RETRY_AFTER_MS }));
    }

    /**
     * Handles an error of the HTTP parser. The error response is sent after the response to the last complete request of
     * the connection, or at once when no other request is in flight and no response has begun. In all other cases the
     * connection is closed without an error response.
     */
    private handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
        if (this.connectionErrors.has(socket)) {
            return;
        }
        if (error.code === "ECONNRESET" || error.code === "EPIPE" || !socket.writable) {
            socket.destroy();
            return;
        }
        const inFlight = this.responsesInFlight.get(socket) ?? [];
        const last = inFlight.at(-1);
        const mayHaveRun = last !== undefined && !last.req.complete && this.mayHaveRun.has(last);
        const failure = toClientError(error, mayHaveRun ? "unknown" : "not-run");
        if (!last) {
            if ((socket as Socket).bytesRead > 0) {
                this.countRefused(failure);
            }
            this.refuse(socket, failure);
        }
        else if (last.req.complete) {
            this.countRefused(failure);
            this.connectionErrors.set(socket, failure);
            last.once("finish", () => this.end(socket, failure));
        }
        else if (inFlight.length === 1 && !last.headersSent) {
            this.refuse(socket, failure);
        }
        else {
            this.connectionErrors.set(socket, failure);
            socket.destroy();
        }
    }

    private countRefused(failure: RequestError): void {
        this.dependencies.ledger.offer().close({ kind: "refused", code: failure.result.code });
    }

    private refuse(socket: Duplex, failure: RequestError): RequestError {
        this.connectionErrors.set(socket, failure);
        this.end(socket, failure);
        return failure;
    }

    /**
     * Sends an error response and closes the connection, at the latest after `LINGERING_CLOSE_MS`. Input is read and
     * dropped meanwhile, so that a sender that is still sending gets to read the response.
     */
    private end(socket: Duplex, failure: RequestError): void {
        socket.on("error", () => socket.destroy());
        socket.end(formatResponse(failure));
        socket.resume();
        const timer = setTimeout(() => socket.destroy(), LINGERING_CLOSE_MS);
        timer.unref();
        socket.once("close", () => clearTimeout(timer));
    }
}

function malformed(detail: string): RequestError {
    return RequestError.create("malformed-request", { detail });
}

function toClientError(error: NodeJS.ErrnoException, execution: Execution): RequestError {
    switch (error.code) {
        case "HPE_HEADER_OVERFLOW":
            return RequestError.create("headers-too-large", { execution });
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return RequestError.create("sender-too-slow", { execution });
        default:
            return RequestError.create("malformed-request", {
                detail: "The request is not valid HTTP/1.1.",
                execution,
            });
    }
}

/** Formats an error as an HTTP/1.1 response, for connections on which no request could be parsed. */
function formatResponse(failure: RequestError): string {
    const document = createProblemDocument(failure);
    const body = JSON.stringify(document);
    const retryAfter = document.retryAfterMs === undefined ?
        [] :
        [`retry-after: ${Math.max(1, Math.ceil(document.retryAfterMs / 1000))}`];
    return [
        `HTTP/1.1 ${document.status} ${STATUS_CODES[document.status] ?? "Refused"}`,
        "content-type: application/problem+json",
        `content-length: ${Buffer.byteLength(body)}`,
        ...retryAfter,
        "connection: close",
        "",
        body,
    ].join("\r\n");
}
