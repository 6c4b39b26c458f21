/**
 * Keeps the connections of an HTTP listener within the limits of a node: their number, the requests that wait on each,
 * the size and the fields of heads, and the time for which a response may stay unread.
 *
 * Answers callers outside the control of the deployment, who send requests and never read, or open connections and never
 * send. See docs/design/uncontrolled-callers.md.
 */
import type { Clock } from "@radishrouter/core";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { RETRY_AFTER_NO_ROOM_MS } from "../process/body-budget.js";
import type { BodyBudget, BodyReservation } from "../process/body-budget.js";
import type { ListenerLimits } from "../process/listener-limits.js";
import type { StalledSenders } from "../process/stalled-senders.js";

/** Limit that a connection or request has met; a label of the metrics. */
export type MetLimit =
    | "connections"
    | "fields"
    | "held-bytes"
    | "waiting-requests"
    | "unread-response"
    | "body-not-taken"
    | "slow-body"
    | "tiny-chunks";

/** Collaborators and settings of a guard. */
export interface ListenerGuardOptions {
    readonly clock: Clock;
    readonly limits: ListenerLimits;
    readonly maximumConnections: number;
    readonly budget: BodyBudget;
    readonly stalled: StalledSenders;
    /** Whether requests may have bodies. */
    readonly takesBodies: boolean;
    readonly onLimit: (limit: MetLimit) => void;
}

interface Connection {
    readonly socket: Socket;
    /** Time at which it was opened, or at which its last response ended. */
    unusedSinceMs: number;
    hasServed: boolean;
    readonly responses: Set<ServerResponse>;
}

/** Memory of a request beside its head: the objects that Node creates for it. */
const REQUEST_OVERHEAD_BYTES = 4_096;
/** Memory of a header field beside its text. */
const FIELD_OVERHEAD_BYTES = 64;
/** Requests on one connection above the limit that are taken: those of the read that met it. Others close it. */
const WAITING_REQUESTS_FACTOR = 4;
/** Time without a request from which a connection may be closed for a new one. */
const GIVE_UP_AFTER_MS = 1_000;
/** Responses up to this size leave the process at once or are counted with their connection. */
const LARGE_RESPONSE_BYTES = 65_536;
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
const SECOND_MS = 1_000;
const FIELDS_STATUS = 431;
const BODY_STATUS = 413;
const OVERLOADED_STATUS = 503;

/** Options of an HTTP server that a guard watches. */
export function guardedServerOptions({ headerTimeoutMs }: ListenerLimits) {
    return {
        headersTimeout: headerTimeoutMs,
        requestTimeout: 0,
        connectionsCheckingInterval: Math.min(TIMEOUT_CHECK_INTERVAL_MS, headerTimeoutMs),
    };
}

/** The connections of one listener. */
export class ListenerGuard {
    private readonly connections = new Map<Socket, Connection>();

    private constructor(private readonly options: ListenerGuardOptions) {}

    /** Watches a server, which must not accept connections yet. */
    static attach(server: Server, options: ListenerGuardOptions): ListenerGuard {
        const guard = new ListenerGuard(options);
        // One more than is accepted: Node drops what is above without a sign, and with it perhaps the length of the body.
        server.maxHeadersCount = options.limits.headerFields + 1;
        server.timeout = options.limits.stallTimeoutMs;
        server.on("timeout", socket => guard.closeIfStalled(socket));
        server.prependListener("connection", socket => guard.add(socket));
        return guard;
    }

    /** Number of open connections. */
    get connectionCount(): number {
        return this.connections.size;
    }

    /** Takes a request up; returns false if it is refused, and answered as far as it can be. */
    admit(request: IncomingMessage, response: ServerResponse): boolean {
        const connection = this.connections.get(request.socket);
        if (!connection || request.socket.destroyed) {
            return false;
        }
        const { limits, budget, takesBodies } = this.options;
        if (request.rawHeaders.length / 2 > limits.headerFields) {
            return this.refuse(response, "fields", FIELDS_STATUS);
        }
        if (!takesBodies && hasBody(request)) {
            return this.refuse(response, "body-not-taken", BODY_STATUS);
        }
        connection.responses.add(response);
        const head = budget.open("head");
        response.once("close", () => this.end(connection, response, head));
        if (!head.tryAdd(headBytes(request))) {
            return this.refuseForRoom(connection, response);
        }
        return this.limitWaiting(connection);
    }

    /** Counts a response until it is read; returns false if its connection had to be closed instead. */
    holdResponse(response: ServerResponse, bytes: number): boolean {
        const { clock, limits, budget, stalled } = this.options;
        const socket = response.socket ?? response.req.socket;
        const reservation = budget.open("response");
        if (!reservation.tryAdd(bytes)) {
            this.close(socket, "held-bytes");
            return false;
        }
        if (bytes <= LARGE_RESPONSE_BYTES) {
            response.once("close", () => reservation.release());
            return true;
        }
        const giveUp = () => {
            reservation.release();
            this.close(socket, "unread-response");
        };
        const progress = stalled.watch(giveUp);
        const allowedMs = limits.stallTimeoutMs + bytes / limits.minimumBytesPerSecond * SECOND_MS;
        const timer = clock.setTimer(allowedMs, giveUp);
        response.once("close", () => {
            timer.cancel();
            progress.end();
            reservation.release();
        });
        return true;
    }

    private add(socket: Socket): void {
        const { clock, maximumConnections } = this.options;
        if (this.connections.size >= maximumConnections && !this.makeRoom()) {
            this.close(socket, "connections");
            return;
        }
        const responses = new Set<ServerResponse>();
        this.connections.set(socket, { socket, unusedSinceMs: clock.nowMs(), hasServed: false, responses });
        socket.once("close", () => {
            this.connections.delete(socket);
            // Node tells only the response that is being sent that its connection has closed.
            [...responses].filter(({ socket: current }) => !current).forEach(response => response.emit("close"));
        });
    }

    /** Closes the connection that costs ordinary callers least; returns false if all are in use. */
    private makeRoom(): boolean {
        const unused = [...this.connections.values()].filter(({ responses, unusedSinceMs }) =>
            responses.size === 0 && this.options.clock.nowMs() - unusedSinceMs >= GIVE_UP_AFTER_MS
        );
        const victim = oldest(unused.filter(({ hasServed }) => !hasServed));
        if (!victim && this.options.stalled.giveUpOldest()) {
            return true;
        }
        const closed = victim ?? oldest(unused);
        if (!closed) {
            return false;
        }
        this.connections.delete(closed.socket);
        this.close(closed.socket, "connections");
        return true;
    }

    /** Stops reading a connection whose requests wait; one that has sent far more than that is closed. */
    private limitWaiting({ socket, responses }: Connection): boolean {
        const { waitingRequests } = this.options.limits;
        if (responses.size > waitingRequests * WAITING_REQUESTS_FACTOR) {
            this.close(socket, "waiting-requests");
            return false;
        }
        if (responses.size >= waitingRequests) {
            socket.pause();
        }
        return true;
    }

    private end(connection: Connection, response: ServerResponse, head: BodyReservation): void {
        const { responses, socket } = connection;
        head.release();
        responses.delete(response);
        connection.hasServed = true;
        connection.unusedSinceMs = this.options.clock.nowMs();
        if (responses.size < this.options.limits.waitingRequests && socket.isPaused()) {
            socket.resume();
        }
    }

    /** Refuses a request whose head does not fit. One behind others closes its connection, so that its memory is free. */
    private refuseForRoom({ socket, responses }: Connection, response: ServerResponse): boolean {
        if (responses.size > 1) {
            this.close(socket, "held-bytes");
            return false;
        }
        const retryAfter = (RETRY_AFTER_NO_ROOM_MS * (1 + Math.random()) / SECOND_MS).toFixed(3);
        return this.refuse(response, "held-bytes", OVERLOADED_STATUS, ["retry-after", retryAfter]);
    }

    private refuse(
        response: ServerResponse,
        limit: MetLimit,
        status: number,
        fields: readonly string[] = [],
    ): boolean {
        this.options.onLimit(limit);
        response.writeHead(status, [...fields, "content-length", "0", "connection", "close"]);
        response.end();
        return false;
    }

    /** Handles a connection without any bytes sent or read for the time of the setting. */
    private closeIfStalled(socket: Socket): void {
        const responses = [...this.connections.get(socket)?.responses ?? []];
        if (responses.length === 0) {
            socket.destroy();
        }
        else if (responses.some(response => response.headersSent && !response.writableFinished)) {
            this.close(socket, "unread-response");
        }
    }

    /** Closes a connection because of a limit. */
    close(socket: Socket, limit: MetLimit): void {
        this.options.onLimit(limit);
        socket.destroy();
    }
}

function oldest(connections: readonly Connection[]): Connection | undefined {
    return connections.reduce<Connection | undefined>(
        (found, connection) => found && found.unusedSinceMs <= connection.unusedSinceMs ? found : connection,
        undefined,
    );
}

function headBytes({ rawHeaders, url }: IncomingMessage): number {
    const text = rawHeaders.reduce((sum, part) => sum + part.length, url?.length ?? 0);
    return REQUEST_OVERHEAD_BYTES + text + rawHeaders.length / 2 * FIELD_OVERHEAD_BYTES;
}

function hasBody({ headers }: IncomingMessage): boolean {
    return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;
}
