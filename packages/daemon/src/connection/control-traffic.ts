/**
 * Counters of the traffic on control streams.
 */
import type { Socket } from "node:net";

/** Counters of control traffic of one process. */
export interface ControlTrafficCounters {
    readonly sentBatches: number;
    readonly receivedBatches: number;
    readonly sentMessages: number;
    readonly receivedMessages: number;
    /** Bytes on sockets including all framing, without TCP and IP headers. */
    readonly sentBytes: number;
    readonly receivedBytes: number;
    readonly openSockets: number;
}

/** Adds up batches, messages and the bytes of sockets, including sockets that have closed. */
export class ControlTraffic {
    private readonly sockets = new Set<Socket>();
    private sentBatches = 0;
    private receivedBatches = 0;
    private sentMessages = 0;
    private receivedMessages = 0;
    private sentBytesOfClosed = 0;
    private receivedBytesOfClosed = 0;

    private constructor() {}

    static create(): ControlTraffic {
        return new ControlTraffic();
    }

    /** Counts a sent batch with this number of messages. */
    countSentBatch(messages: number): void {
        this.sentBatches++;
        this.sentMessages += messages;
    }

    /** Counts a received batch with this number of messages. */
    countReceivedBatch(messages: number): void {
        this.receivedBatches++;
        this.receivedMessages += messages;
    }

    /** Includes the bytes of a socket, which are added to the total when it closes. */
    trackSocket(socket: Socket): void {
        this.sockets.add(socket);
        socket.once("close", () => {
            this.sockets.delete(socket);
            this.sentBytesOfClosed += socket.bytesWritten;
            this.receivedBytesOfClosed += socket.bytesRead;
        });
    }

    /** Returns the counters since the process started. */
    counters(): ControlTrafficCounters {
        const open = [...this.sockets];
        return {
            sentBatches: this.sentBatches,
            receivedBatches: this.receivedBatches,
            sentMessages: this.sentMessages,
            receivedMessages: this.receivedMessages,
            sentBytes: open.reduce((sum, socket) => sum + socket.bytesWritten, this.sentBytesOfClosed),
            receivedBytes: open.reduce((sum, socket) => sum + socket.bytesRead, this.receivedBytesOfClosed),
            openSockets: open.length,
        };
    }
}
