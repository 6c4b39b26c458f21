/**
 * A connection between two nodes that carries messages.
 */
import { Packr, UnpackrStream } from "msgpackr";
import type { Socket } from "node:net";
import type { LinkMessage } from "./link-message.js";

/** Output that the other end does not read; a connection with more of it is given up. */
const PENDING_BYTES = 16 * 1024 * 1024;

/** What a connection tells its user. */
export interface MessageListener {
    readonly onMessage: (message: LinkMessage) => void;
    /** Called once when the connection has ended. */
    readonly onClosed: () => void;
}

/** Sends and receives messages; all that is sent in one turn goes out in one write. */
export class MessageSocket {
    private readonly packer = new Packr({ useRecords: false });
    private isCorked = false;

    private constructor(private readonly socket: Socket, listener: MessageListener) {
        socket.setNoDelay(true);
        const unpacker = new UnpackrStream({ useRecords: false });
        unpacker.on("data", (message: LinkMessage) => listener.onMessage(message));
        unpacker.on("error", error => socket.destroy(error));
        socket.on("error", () => socket.destroy());
        socket.once("close", listener.onClosed);
        socket.pipe(unpacker);
    }

    static create(socket: Socket, listener: MessageListener): MessageSocket {
        return new MessageSocket(socket, listener);
    }

    /** Sends a message; nothing happens on a connection that has ended. */
    send(message: LinkMessage): void {
        const { socket } = this;
        if (socket.destroyed || !socket.writable) {
            return;
        }
        if (socket.writableLength > PENDING_BYTES) {
            socket.destroy(new Error("the other node does not read"));
            return;
        }
        if (!this.isCorked) {
            this.isCorked = true;
            socket.cork();
            process.nextTick(() => {
                this.isCorked = false;
                socket.uncork();
            });
        }
        socket.write(this.packer.pack(message));
    }

    /** Closes the connection at once. */
    destroy(): void {
        this.socket.destroy();
    }
}
