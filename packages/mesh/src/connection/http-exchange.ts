/**
 * HTTP/1.1 client: sends one request to one server and reads the complete response.
 */
import { connect as connectSocket } from "node:net";
import type { Socket } from "node:net";
import type { buildConnector, Dispatcher } from "undici";
// Only this module of undici is loaded: loading the whole library takes a third of the start-up time of a node.
import Pool from "undici/lib/dispatcher/pool.js";
import { CollectedBody } from "./collected-body.js";
import { ResponseLimits } from "./response-limits.js";
import type { IncompleteResponse } from "./response-limits.js";

/** Request as it is sent. */
export interface ExchangeRequest {
    readonly method: string;
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /** Identifies the request in its response; undefined if responses need not name it. */
    readonly id?: string;
}

/** Response as it was received, with its complete body. */
export interface ExchangeResponse {
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** Position of its head among those that the pool received; undefined if another node received it. */
    readonly order?: number;
}

/** Outcome of an exchange. `sent` is false only if no byte of the request can have reached the server. */
export type ExchangeResult = { readonly kind: "answered"; readonly response: ExchangeResponse; } | FailedExchange;

/** Outcome of an exchange without a usable response. */
export interface FailedExchange {
    readonly kind: "failed";
    readonly sent: boolean;
    readonly reason: string;
}

/** An exchange in flight. */
export interface Exchange {
    readonly result: Promise<ExchangeResult>;
    /** Ends the exchange and closes its connection. */
    abort(reason: string): void;
}

/** Settings of a connection pool. */
export interface PoolOptions {
    readonly hostAddress: string;
    readonly port: number;
    readonly maximumConnections: number;
    readonly connectTimeoutMs: number;
    /** Time after which an unused connection is closed. */
    readonly idleTimeoutMs: number;
    /** Response header, in lower case, that names the request; undefined if responses name none. */
    readonly idHeader?: string;
    /** Called when the server has accepted a connection, before a request is written on it. */
    readonly onConnected?: (socket: Socket) => void;
}

const FIRST_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/** Header fields in the order in which they were received. */
export class HeaderList {
    private constructor(
        /** Alternating names and values. */
        readonly fields: readonly string[],
    ) {}

    static create(fields: readonly string[]): HeaderList {
        return new HeaderList(fields);
    }

    /** First value of a header; `name` must be in lower case. */
    get(name: string): string | undefined {
        for (let index = 0; index < this.fields.length; index += 2) {
            const field = this.fields[index]!;
            if (field.length === name.length && field.toLowerCase() === name) {
                return this.fields[index + 1];
            }
        }
        return undefined;
    }
}

/** Connection pool for one server. */
export class ExchangePool {
    private readonly pool: Pool;
    private readonly responseLimits = ResponseLimits.create();
    /** Whether a connection of the pool is being reset right now. */
    private isResetting = false;
    /** Number of response heads that were received. */
    private headCount = 0;

    private constructor(private readonly options: PoolOptions) {
        this.pool = new Pool(`http://${options.hostAddress}:${options.port}`, {
            connections: options.maximumConnections,
            pipelining: 1,
            keepAliveTimeout: options.idleTimeoutMs,
            keepAliveMaxTimeout: options.idleTimeoutMs,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: createConnector(options, socket => this.responseLimits.watch(socket), () => this.recordReset()),
        });
    }

    static create(options: PoolOptions): ExchangePool {
        return new ExchangePool(options);
    }

    /** Starts an exchange; `shouldSend` decides, when the connection is ready, whether the request is sent. */
    start(request: ExchangeRequest, shouldSend: () => boolean = () => true): Exchange {
        const handler = new ExchangeHandler({
            responseLimits: this.responseLimits,
            shouldSend,
            isResetting: () => this.isResetting,
            nextOrder: () => ++this.headCount,
            namesOtherRequest: headers => this.namesOtherRequest(headers, request.id),
        });
        try {
            this.pool.dispatch(
                {
                    method: request.method as Dispatcher.HttpMethod,
                    path: request.path,
                    headers: request.headers,
                    ...(request.body ? { body: request.body } : {}),
                },
                handler,
            );
        }
        catch (error) {
            handler.onError(error instanceof Error ? error : new Error(String(error)));
        }
        return { result: handler.result, abort: reason => handler.abort(reason) };
    }

    /** Whether a response is the copy of one to an earlier request on its connection. */
    private namesOtherRequest(headers: HeaderList, id: string | undefined): boolean {
        const named = this.options.idHeader === undefined ? undefined : headers.get(this.options.idHeader);
        return named !== undefined && id !== undefined && named !== id;
    }

    /**
     * Marks a reset, so that it does not complete a response that has no length. Undici reports such a response as
     * complete while the reset is handled; only a regular close of the connection may end it.
     */
    private recordReset(): void {
        this.isResetting = true;
        queueMicrotask(() => {
            this.isResetting = false;
        });
    }

    /** Closes all connections; exchanges in flight fail. */
    async destroy(): Promise<void> {
        await this.pool.destroy();
    }
}

/** What a handler needs to know of its pool and of its request. */
interface ExchangeContext {
    readonly responseLimits: ResponseLimits;
    readonly shouldSend: () => boolean;
    readonly isResetting: () => boolean;
    readonly nextOrder: () => number;
    readonly namesOtherRequest: (headers: HeaderList) => boolean;
}

/** Collects one response. */
class ExchangeHandler implements Dispatcher.DispatchHandler, IncompleteResponse {
    readonly result: Promise<ExchangeResult>;
    private settle: (result: ExchangeResult) => void = () => undefined;
    private abortRequest: ((error?: Error) => void) | undefined;
    private abortReason: string | undefined;
    private sent = false;
    private status = 0;
    private order = 0;
    private headers = HeaderList.create([]);
    private readonly body = CollectedBody.create();

    constructor(private readonly context: ExchangeContext) {
        this.result = new Promise(settle => {
            this.settle = settle;
        });
    }

    get receivedBytes(): number {
        return this.body.length;
    }

    abort(reason: string): void {
        this.abortReason ??= reason;
        if (this.abortRequest) {
            this.abortRequest(new Error(reason));
        }
        else {
            this.settle({ kind: "failed", sent: false, reason });
        }
    }

    onConnect(abort: (error?: Error) => void): void {
        this.abortRequest = abort;
        if (!this.context.shouldSend()) {
            this.abortReason ??= "the request was cancelled before it was sent";
        }
        if (this.abortReason !== undefined) {
            abort(new Error(this.abortReason));
            return;
        }
        this.sent = true;
    }

    onHeaders(status: number, rawHeaders: Buffer[]): boolean {
        if (status < FIRST_STATUS || status > LAST_STATUS) {
            // Closes the connection. The end of a response below 100 would raise an assertion in undici.
            this.abort(`the answer has the status ${status}, which is none`);
            return true;
        }
        if (status < FIRST_FINAL_STATUS) {
            return true;
        }
        this.status = status;
        this.order = this.context.nextOrder();
        this.headers = HeaderList.create(rawHeaders.map(field => field.toString("latin1")));
        if (this.context.namesOtherRequest(this.headers)) {
            // The connection is closed: the response that belongs to this request may still come on it.
            this.abort("the answer names another request");
        }
        return true;
    }

    onData(chunk: Buffer): boolean {
        this.body.add(chunk);
        this.context.responseLimits.addBody(this, chunk.length);
        return true;
    }

    onComplete(): void {
        if (this.context.isResetting()) {
            this.onError(new Error("the connection was reset before the end of the answer"));
            return;
        }
        this.context.responseLimits.complete(this);
        const response = { status: this.status, headers: this.headers, body: this.body.toBuffer(), order: this.order };
        this.settle({ kind: "answered", response });
    }

    onError(error: Error): void {
        this.context.responseLimits.abandon(this);
        this.body.clear();
        this.settle({ kind: "failed", sent: this.sent, reason: this.abortReason ?? error.message });
    }
}

/** Opens connections with a timeout, because the platform's network links may drop packets without an error. */
function createConnector(
    options: PoolOptions,
    watch: (socket: Socket) => void,
    onReset: () => void,
): buildConnector.connector {
    return (_target, callback) => {
        const socket = connectSocket({ host: options.hostAddress, port: options.port, noDelay: true });
        const timer = setTimeout(
            () => socket.destroy(new Error("the connection could not be opened in time")),
            options.connectTimeoutMs,
        );
        const onError = (error: Error) => {
            clearTimeout(timer);
            callback(...toConnectFailure(error));
        };
        socket.on("error", onReset);
        socket.on("end", () => {
            if (wasReset(socket)) {
                onReset();
            }
        });
        socket.once("error", onError);
        socket.once("connect", () => {
            clearTimeout(timer);
            socket.off("error", onError);
            watch(socket);
            options.onConnected?.(socket);
            callback(...toConnected(socket));
        });
    };
}

/**
 * Whether a connection that ended was reset. Node reports a reset directly after the last data as a regular end, but
 * only a connection that was closed regularly still has a remote address then. Nothing may read the address earlier,
 * because the socket caches it.
 */
function wasReset(socket: Socket): boolean {
    return socket.remoteAddress === undefined;
}

/* eslint-disable no-restricted-syntax -- the callback of undici uses null for absent values */
function toConnectFailure(error: Error): [Error, null] {
    return [error, null];
}

function toConnected(socket: Socket): [null, Socket] {
    return [null, socket];
}
/* eslint-enable no-restricted-syntax */
