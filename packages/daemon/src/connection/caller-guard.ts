/**
 * Keeps callers from harming each other: answers what is not HTTP, and bounds what one caller holds open.
 */
import { RequestError } from "@radishrouter/core";
import type { Execution, OutcomeLedger } from "@radishrouter/core";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { createProblemDocument } from "../request/problem-document.js";

/** Bounds on what one caller holds open at this node. */
export interface CallerLimits {
    readonly connectionsPerAddress: number;
    readonly requestsPerCaller: number;
}

/** Parts that a guard works with. */
export interface CallerGuardParts {
    readonly limits: CallerLimits;
    readonly ledger: OutcomeLedger;
}

/** Time that a refused sender gets to read its answer. */
const LINGER_MS = 1_000;
const RETRY_AFTER_MS = 1_000;

/** Counts that disappear when they reach zero. */
class OpenCounts {
    private readonly counts = new Map<string, number>();

    private constructor(private readonly maximum: number) {}

    static create(maximum: number): OpenCounts {
        return new OpenCounts(maximum);
    }

    /** Counts one more and returns how to count it off; undefined when there are too many. */
    tryAdd(name: string): (() => void) | undefined {
        const count = this.counts.get(name) ?? 0;
        if (count >= this.maximum) {
            return undefined;
        }
        this.counts.set(name, count + 1);
        let isOpen = true;
        return () => {
            if (isOpen) {
                isOpen = false;
                this.remove(name);
            }
        };
    }

    private remove(name: string): void {
        const count = this.counts.get(name) ?? 0;
        if (count <= 1) {
            this.counts.delete(name);
        }
        else {
            this.counts.set(name, count - 1);
        }
    }
}

/** Guards the listener for callers. */
export class CallerGuard {
    private readonly connections: OpenCounts;
    private readonly requests: OpenCounts;
    /** Responses of each connection that have not ended, the oldest first. */
    private readonly openResponses = new WeakMap<Duplex, ServerResponse[]>();
    /** Responses to requests that may have begun to run. */
    private readonly sent = new WeakSet<ServerResponse>();
    /** Why a connection gets no further answers. */
    private readonly failures = new WeakMap<Duplex, RequestError>();

    private constructor(private readonly parts: CallerGuardParts) {
        this.connections = OpenCounts.create(parts.limits.connectionsPerAddress);
        this.requests = OpenCounts.create(parts.limits.requestsPerCaller);
    }

    static create(parts: CallerGuardParts): CallerGuard {
        return new CallerGuard(parts);
    }

    /** Watches a server for what never becomes a request. */
    protect(server: Server): void {
        server.maxHeadersCount = 0;
        server.on("connection", socket => this.admitConnection(socket));
        server.on("clientError", (error: NodeJS.ErrnoException, socket) => this.refuseMalformed(error, socket));
        server.on("connect", (_request: IncomingMessage, socket: Duplex) => {
            this.countRefused(this.refuse(socket, malformed("CONNECT is not supported")));
        });
        server.on("checkExpectation", (request: IncomingMessage, response: ServerResponse) => {
            delete request.headers.expect;
            server.emit("request", request, response);
        });
    }

    /** Notes a request, so that an error on its connection finds it; false when the connection was refused. */
    begin(request: IncomingMessage, response: ServerResponse): boolean {
        if (this.failures.has(request.socket)) {
            return false;
        }
        const open = this.openResponses.get(request.socket) ?? [];
        open.push(response);
        this.openResponses.set(request.socket, open);
        response.once("close", () => open.splice(open.indexOf(response), 1));
        return true;
    }

    /**
     * Counts a request of a caller as open and returns how to count it off.
     *
     * @throws RequestError when the caller has too many open.
     */
    openRequest(caller: string): () => void {
        const close = this.requests.tryAdd(caller);
        if (!close) {
            throw RequestError.create("too-many-requests-open", { retryAfterMs: RETRY_AFTER_MS });
        }
        return close;
    }

    /** Notes that a request may run from now on, so that it is no longer said not to have run. */
    markSent(response: ServerResponse): void {
        this.sent.add(response);
    }

    /** Why the body of a request could not be read; the request has not run. */
    bodyFailure(request: IncomingMessage): RequestError {
        return this.failures.get(request.socket) ?? RequestError.create("caller-gone", { execution: "not-run" });
    }

    private admitConnection(socket: Socket): void {
        const close = this.connections.tryAdd(socket.remoteAddress ?? "");
        if (close) {
            socket.once("close", close);
            return;
        }
        const detail = "This address has too many connections open.";
        this.refuse(socket, RequestError.create("too-many-requests-open", { detail, retryAfterMs: RETRY_AFTER_MS }));
    }

    private refuseMalformed(error: NodeJS.ErrnoException, socket: Duplex): void {
        if (this.failures.has(socket)) {
            return;
        }
        if (error.code === "ECONNRESET" || error.code === "EPIPE" || !socket.writable) {
            socket.destroy();
            return;
        }
        const open = this.openResponses.get(socket) ?? [];
        const last = open.at(-1);
        const mayHaveRun = last !== undefined && !last.req.complete && this.sent.has(last);
        const failure = classify(error, mayHaveRun ? "unknown" : "not-run");
        if (!last) {
            if ((socket as Socket).bytesRead > 0) {
                this.countRefused(failure);
            }
            this.refuse(socket, failure);
        }
        else if (last.req.complete) {
            this.countRefused(failure);
            this.failures.set(socket, failure);
            last.once("finish", () => this.end(socket, failure));
        }
        else if (open.length === 1 && !last.headersSent) {
            this.refuse(socket, failure);
        }
        else {
            this.failures.set(socket, failure);
            socket.destroy();
        }
    }

    private countRefused(failure: RequestError): void {
        this.parts.ledger.offer().close({ kind: "refused", code: failure.result.code });
    }

    private refuse(socket: Duplex, failure: RequestError): RequestError {
        this.failures.set(socket, failure);
        this.end(socket, failure);
        return failure;
    }

    /** Sends the answer and reads on for a while, so that a sender in full flow can read it. */
    private end(socket: Duplex, failure: RequestError): void {
        socket.on("error", () => socket.destroy());
        socket.end(formatAnswer(failure));
        socket.resume();
        const timer = setTimeout(() => socket.destroy(), LINGER_MS);
        timer.unref();
        socket.once("close", () => clearTimeout(timer));
    }
}

function malformed(detail: string): RequestError {
    return RequestError.create("malformed-request", { detail });
}

function classify(error: NodeJS.ErrnoException, execution: Execution): RequestError {
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

/** An answer as bytes, for connections on which no request was understood. */
function formatAnswer(failure: RequestError): string {
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
