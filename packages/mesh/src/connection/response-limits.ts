/**
 * Limits on what a node reads and buffers from backend servers. Protects against connections that send bytes outside
 * response bodies, and against responses without end.
 */
import type { Socket } from "node:net";

const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;
/** Bytes allowed outside the body of one response: its head, its chunk framing, and bytes before and after it. */
const MAXIMUM_FRAMING_BYTES = 256 * KIBIBYTE;
/** Further framing bytes that each body byte allows; a chunk of one byte has five bytes of framing. */
const FRAMING_BYTES_PER_BODY_BYTE = 8;
/** Limit for one response, which is buffered until it is complete. */
const MAXIMUM_RESPONSE_BYTES = 32 * MEBIBYTE;
/** Limit for all incomplete responses of a pool together. */
const MAXIMUM_BUFFERED_BYTES = 64 * MEBIBYTE;

/** Byte counts of one connection since the last complete response on it. */
interface ConnectionCounts {
    readonly socket: Socket;
    /** `bytesRead` of the socket at its last `readable` event. */
    deliveredBytes: number;
    /** Value of `deliveredBytes` at the end of the last response. */
    lastResponseEndBytes: number;
    bodyBytes: number;
}

/** A response whose body is being received. */
export interface IncompleteResponse {
    readonly receivedBytes: number;
    /** Aborts the exchange and closes its connection. */
    abort(reason: string): void;
}

/** Counts, for the connections of one pool, the bytes read outside response bodies and the bytes buffered. */
export class ResponseLimits {
    /** Connection whose input is being delivered to the HTTP parser. */
    private currentConnection: ConnectionCounts | undefined;
    /** Incomplete responses, with the connections that they arrive on. */
    private readonly answers = new Map<IncompleteResponse, ConnectionCounts | undefined>();
    private bufferedBytes = 0;

    private constructor() {}

    static create(): ResponseLimits {
        return new ResponseLimits();
    }

    /** Watches a new connection; must be called before anything else reads from it. */
    watch(socket: Socket): void {
        const counts = { socket, deliveredBytes: 0, lastResponseEndBytes: 0, bodyBytes: 0 };
        socket.on("readable", () => this.checkFraming(counts));
    }

    /** Counts a chunk of a response body. */
    addBody(response: IncompleteResponse, bytes: number): void {
        const connection = this.answers.get(response) ?? this.currentConnection;
        this.answers.set(response, connection);
        this.bufferedBytes += bytes;
        if (connection) {
            connection.bodyBytes += bytes;
        }
        if (response.receivedBytes > MAXIMUM_RESPONSE_BYTES) {
            response.abort("the answer is larger than this node holds");
        }
        else if (this.bufferedBytes > MAXIMUM_BUFFERED_BYTES) {
            this.largestResponse()?.abort("the answers that are not whole are larger than this node holds");
        }
    }

    /** Stops counting a response that is complete; its connection may carry another one. */
    complete(response: IncompleteResponse): void {
        const connection = this.answers.get(response) ?? this.currentConnection;
        this.abandon(response);
        if (connection) {
            connection.lastResponseEndBytes = connection.deliveredBytes;
            connection.bodyBytes = 0;
        }
    }

    /** Stops counting a response that was aborted or lost with its connection. */
    abandon(response: IncompleteResponse): void {
        if (this.answers.delete(response)) {
            this.bufferedBytes -= response.receivedBytes;
        }
    }

    /** Closes a connection that has sent too many bytes outside response bodies. */
    private checkFraming(counts: ConnectionCounts): void {
        const { socket, deliveredBytes, lastResponseEndBytes, bodyBytes } = counts;
        const framingBytes = deliveredBytes - lastResponseEndBytes - bodyBytes;
        if (framingBytes > MAXIMUM_FRAMING_BYTES + bodyBytes * FRAMING_BYTES_PER_BODY_BYTE) {
            socket.destroy(new Error(`${framingBytes} bytes came that are no part of a body`));
            return;
        }
        counts.deliveredBytes = socket.bytesRead;
        this.currentConnection = counts;
    }

    private largestResponse(): IncompleteResponse | undefined {
        return [...this.answers.keys()].sort((left, right) => right.receivedBytes - left.receivedBytes)[0];
    }
}
