/**
 * One request to one server over HTTP/1.1, with its whole answer.
 */
import { connect as connectSocket } from "node:net";
import type { Socket } from "node:net";
import type { buildConnector, Dispatcher } from "undici";
// The whole library takes a third of the time in which a node starts; only this part of it is used.
import Pool from "undici/lib/dispatcher/pool.js";
import { CollectedBody } from "./collected-body.js";
import { AnswerBounds } from "./response-limits.js";
import type { IncompleteAnswer } from "./response-limits.js";

/** Request as it goes on the wire. */
export interface ExchangeRequest {
    readonly method: string;
    readonly path: string;
    /** Names and values by turns. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
}

/** Answer as it came from the wire; its body is complete. */
export interface ExchangeResponse {
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: Buffer;
}

/** End of an exchange. `sent` is false only if no byte of the request can have reached the server. */
export type ExchangeResult =
    | { readonly kind: "answered"; readonly response: ExchangeResponse; }
    | { readonly kind: "failed"; readonly sent: boolean; readonly reason: string; };

/** An exchange that runs. */
export interface Exchange {
    readonly result: Promise<ExchangeResult>;
    /** Ends the exchange by closing its connection. */
    abort(reason: string): void;
}

/** How connections are opened and kept. */
export interface PoolOptions {
    readonly hostAddress: string;
    readonly port: number;
    readonly maximumConnections: number;
    readonly connectTimeoutMs: number;
    /** Time for which an unused connection is kept. */
    readonly idleMs: number;
}

const FIRST_FINAL_STATUS = 200;

/** Header fields in the order in which they came. */
export class HeaderList {
    private constructor(
        /** Names and values by turns. */
        readonly fields: readonly string[],
    ) {}

    static create(fields: readonly string[]): HeaderList {
        return new HeaderList(fields);
    }

    /** First value of a header; the name is given in lower case. */
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

/** Connections to one server. */
export class ExchangePool {
    private readonly pool: Pool;
    private readonly bounds = AnswerBounds.create();
    /** Whether a connection of the pool is being reset right now. */
    private isResetting = false;

    private constructor(options: PoolOptions) {
        this.pool = new Pool(`http://${options.hostAddress}:${options.port}`, {
            connections: options.maximumConnections,
            pipelining: 1,
            keepAliveTimeout: options.idleMs,
            keepAliveMaxTimeout: options.idleMs,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: createConnector(options, socket => this.bounds.watch(socket), () => this.noteReset()),
        });
    }

    static create(options: PoolOptions): ExchangePool {
        return new ExchangePool(options);
    }

    /** Starts an exchange; `isWanted` is asked when its connection is ready. */
    start(request: ExchangeRequest, isWanted: () => boolean = () => true): Exchange {
        const handler = new ExchangeHandler(this.bounds, isWanted, () => this.isResetting);
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

    /**
     * The client takes an answer without a length as complete also when its connection is reset, and says so while the
     * reset is handled. Only a regular end of the connection ends such an answer.
     */
    private noteReset(): void {
        this.isResetting = true;
        queueMicrotask(() => {
            this.isResetting = false;
        });
    }

    /** Closes all connections; exchanges that run fail. */
    async destroy(): Promise<void> {
        await this.pool.destroy();
    }
}

/** Collects one answer. */
class ExchangeHandler implements Dispatcher.DispatchHandler, IncompleteAnswer {
    readonly result: Promise<ExchangeResult>;
    private settle: (result: ExchangeResult) => void = () => undefined;
    private abortRequest: ((error?: Error) => void) | undefined;
    private abortReason: string | undefined;
    private sent = false;
    private status = 0;
    private fields: string[] = [];
    private readonly body = CollectedBody.create();

    constructor(
        private readonly bounds: AnswerBounds,
        private readonly isWanted: () => boolean,
        private readonly isResetting: () => boolean,
    ) {
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
        if (!this.isWanted()) {
            this.abortReason ??= "the request is not wanted any more";
        }
        if (this.abortReason !== undefined) {
            abort(new Error(this.abortReason));
            return;
        }
        this.sent = true;
    }

    onHeaders(status: number, rawHeaders: Buffer[]): boolean {
        if (status < FIRST_FINAL_STATUS) {
            return true;
        }
        this.status = status;
        this.fields = rawHeaders.map(field => field.toString("latin1"));
        return true;
    }

    onData(chunk: Buffer): boolean {
        this.body.add(chunk);
        this.bounds.addBody(this, chunk.length);
        return true;
    }

    onComplete(): void {
        if (this.isResetting()) {
            this.onError(new Error("the connection was reset before the end of the answer"));
            return;
        }
        this.bounds.end(this);
        const response = { status: this.status, headers: HeaderList.create(this.fields), body: this.body.whole() };
        this.settle({ kind: "answered", response });
    }

    onError(error: Error): void {
        this.bounds.end(this);
        this.body.clear();
        this.settle({ kind: "failed", sent: this.sent, reason: this.abortReason ?? error.message });
    }
}

/** Opens connections with a time limit of its own, as the platform's links may swallow what is sent. */
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
            callback(...toConnected(socket));
        });
    };
}

/**
 * Whether a connection that ended was reset. A reset right behind the last data is reported as a regular end; only a
 * connection that was closed regularly still has a peer then. The address must not have been asked for before, as it
 * is remembered.
 */
function wasReset(socket: Socket): boolean {
    return socket.remoteAddress === undefined;
}

/* eslint-disable no-restricted-syntax -- the callback of undici marks what is absent by null */
function toConnectFailure(error: Error): [Error, null] {
    return [error, null];
}

function toConnected(socket: Socket): [null, Socket] {
    return [null, socket];
}
/* eslint-enable no-restricted-syntax */
