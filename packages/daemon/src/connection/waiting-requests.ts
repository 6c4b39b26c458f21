/**
 * Limits the requests that wait for their responses on one connection.
 *
 * Answers callers that pipeline requests and do not read: Node's parser delivers all requests of one read, up to 2,400 in
 * 64 KiB, and keeps each in memory until it is answered.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Requests on one connection above the limit that are taken: those of the read that met it. Others close it. */
const CLOSE_FACTOR = 4;

/** Requests that wait, by connection. */
export class WaitingRequests {
    private readonly responses = new WeakMap<Socket, Set<ServerResponse>>();

    private constructor(private readonly maximum: number) {}

    static create(maximum: number): WaitingRequests {
        return new WaitingRequests(maximum);
    }

    /** Counts a request until it is answered; returns false if its connection is closed instead. */
    admit({ socket }: IncomingMessage, response: ServerResponse): boolean {
        if (socket.destroyed) {
            return false;
        }
        const waiting = this.responsesOf(socket);
        waiting.add(response);
        response.once("close", () => {
            waiting.delete(response);
            if (waiting.size < this.maximum && socket.isPaused()) {
                socket.resume();
            }
        });
        if (waiting.size > this.maximum * CLOSE_FACTOR) {
            socket.destroy();
            return false;
        }
        if (waiting.size >= this.maximum) {
            socket.pause();
        }
        return true;
    }

    private responsesOf(socket: Socket): Set<ServerResponse> {
        const known = this.responses.get(socket);
        if (known) {
            return known;
        }
        const waiting = new Set<ServerResponse>();
        this.responses.set(socket, waiting);
        // Node tells only the response that is being sent that its connection has closed.
        socket.once("close", () => {
            [...waiting].filter(({ socket: current }) => !current).forEach(response => response.emit("close"));
        });
        return waiting;
    }
}
