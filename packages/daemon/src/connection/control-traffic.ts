/**
 * Counts what control streams carry.
 */
import type { Socket } from "node:net";

/** Counters of control traffic of one process. */
export interface ControlTrafficCounters {
    readonly sentBatches: number;
    readonly receivedBatches: number;
    readonly sentMessages: number;
    readonly receivedMessages: number;
    /** Bytes on sockets with all framing, without TCP and IP headers. */
    readonly sentBytes: number;
    readonly receivedBytes: number;
    readonly openSockets: number;
}

/** Adds up batches, messages and the bytes of sockets, also of those that have closed. */
export class ControlTraffic {
    private readonly sockets = new Set<Socket>();
    private sentBatches = 0;
    private receivedBatches = 0;
    private sentMessages = 0;
    private receivedMessages = 0;
    private closedSentBytes = 0;
    private closedReceivedBytes = 0;

    private constructor() {}

    static create(): ControlTraffic {
        return new ControlTraffic();
    }

    /** Counts a batch that is sent. */
    countSent(messages: number): void {
        this.sentBatches++;
        this.sentMessages += messages;
    }

    /** Counts a batch that arrived. */
    countReceived(messages: number): void {
        this.receivedBatches++;
        this.receivedMessages += messages;
    }

    /** Counts the bytes of a socket until it closes. */
    add(socket: Socket): void {
        this.sockets.add(socket);
        socket.once("close", () => {
            this.sockets.delete(socket);
            this.closedSentBytes += socket.bytesWritten;
            this.closedReceivedBytes += socket.bytesRead;
        });
    }

    /** Counters since the process started. */
    counters(): ControlTrafficCounters {
        const open = [...this.sockets];
        return {
            sentBatches: this.sentBatches,
            receivedBatches: this.receivedBatches,
            sentMessages: this.sentMessages,
            receivedMessages: this.receivedMessages,
            sentBytes: open.reduce((sum, socket) => sum + socket.bytesWritten, this.closedSentBytes),
            receivedBytes: open.reduce((sum, socket) => sum + socket.bytesRead, this.closedReceivedBytes),
            openSockets: open.length,
        };
    }
}
