/**
 * Sends and receives messages on a connection between two nodes.
 */
import { Packr, Unpackr } from "msgpackr";
import type { Socket } from "node:net";
import type { BodyBudget } from "../process/body-budget.js";
import type { SenderProgress, StalledSenders } from "../process/stalled-senders.js";
import type { LinkMessage } from "./link-message.js";
import { checkMessageLengths } from "./message-check.js";
import { appendFrame, FrameReader } from "./message-frame.js";
import type { FrameRoom } from "./message-frame.js";

/**
 * Limit of unsent output: the request bodies that a process holds, and a response. A connection with more is closed,
 * because its other end does not read.
 */
const MAXIMUM_UNSENT_BYTES = 96 * 1024 * 1024;

/** Time after the last output has left this process in which the other end closes its end of the connection. */
const CLOSE_WAIT_MS = 300;

/** Callbacks of a message socket. */
export interface MessageListener {
    readonly onMessage: (message: LinkMessage) => void;
    /** Called once, when the connection has closed. */
    readonly onClosed: () => void;
    /** Called from time to time while the next message does not fit into the memory for bodies and is not read. */
    readonly onWaitingForRoom?: () => void;
}

/** How slowly the messages of a connection may come. */
export interface MessagePace {
    /** Unfinished messages of all connections. */
    readonly stalled: StalledSenders;
    /** Time without a byte after which an unfinished message closes its connection. */
    readonly stallTimeoutMs: number;
}

/** Time between two calls for a message that does not fit; the other end takes longer silence for a fault. */
const WAITING_INTERVAL_MS = 150;

/**
 * Sends and receives messages. Messages that are sent before the next tick go out in one write. Field names are sent
 * once for each connection, direction and message structure, with the first message of that structure.
 */
export class MessageSocket {
    private readonly packer = new Packr({ sequential: true });
    private readonly unpacker = new Unpackr({ structures: [] });
    /** Frames to be written on the next tick. */
    private pendingFrames: Buffer[] = [];
    private isClosing = false;

    private readonly reader: FrameReader;
    private waitingTimer: NodeJS.Timeout | undefined;
    private isAwaitingRelease = false;
    /** Whether the other end has sent a message; such a connection gets room before others. */
    private hasReceivedMessage = false;

    private constructor(
        private readonly socket: Socket,
        private readonly listener: MessageListener,
        private readonly bodyBudget: BodyBudget | undefined,
        pace: MessagePace | undefined,
    ) {
        socket.setNoDelay(true);
        const room = bodyBudget && createRoom(bodyBudget, giveUp => pace?.stalled.watch(giveUp), () => this.destroy());
        this.reader = FrameReader.create(payload => this.decode(payload), room);
        if (pace) {
            socket.setTimeout(pace.stallTimeoutMs, () => this.destroyIfStalled());
        }
        socket.on("data", (chunk: Buffer) => this.read(() => this.reader.push(chunk)));
        socket.on("error", () => socket.destroy());
        socket.once("close", () => {
            clearInterval(this.waitingTimer);
            this.reader.close();
            listener.onClosed();
        });
    }

    /**
     * Messages of a size that matters are read as far as `bodyBudget` has room for them; without it, always. Without
     * `pace` a message may come as slowly as it likes.
     */
    static create(
        socket: Socket,
        listener: MessageListener,
        bodyBudget?: BodyBudget,
        pace?: MessagePace,
    ): MessageSocket {
        return new MessageSocket(socket, listener, bodyBudget, pace);
    }

    /** Sends a message; does nothing on a closed connection. */
    send(message: LinkMessage): void {
        const { socket } = this;
        if (socket.destroyed || !socket.writable) {
            return;
        }
        if (socket.writableLength > MAXIMUM_UNSENT_BYTES) {
            socket.destroy(new Error("the other node does not read: the limit of unsent output is exceeded"));
            return;
        }
        if (this.pendingFrames.length === 0) {
            process.nextTick(() => this.flush());
        }
        appendFrame(this.pendingFrames, this.packer.pack(message));
    }

    /** Whether the other end has closed the connection, as far as this process has read its input. */
    get hasEnded(): boolean {
        return this.socket.destroyed || this.socket.readableEnded;
    }

    /** Resets the connection; output that has not left this host is dropped. */
    reset(): void {
        this.socket.resetAndDestroy();
    }

    /**
     * Sends what is pending and closes the connection, with nothing more received; resolves when the other end has closed
     * it too or had time to. Input that is not read when a process ends would reset the connection and drop its output.
     */
    async close(): Promise<void> {
        const { socket } = this;
        if (socket.destroyed) {
            return;
        }
        this.isClosing = true;
        this.flush();
        await new Promise<void>(resolve => {
            socket.once("close", () => resolve());
            socket.end(() => setTimeout(() => socket.destroy(), CLOSE_WAIT_MS));
        });
    }

    /** Closes the connection at once; output that is pending is dropped. */
    destroy(): void {
        this.socket.destroy();
    }

    /** Closes a connection whose message stopped half-way; one that waits for room here is not at fault. */
    private destroyIfStalled(): void {
        if (this.reader.hasPartialFrame && !this.reader.isWaitingForRoom) {
            this.destroy();
        }
    }

    private flush(): void {
        if (this.pendingFrames.length === 0) {
            return;
        }
        const frames = Buffer.concat(this.pendingFrames);
        this.pendingFrames = [];
        if (!this.socket.destroyed) {
            this.socket.write(frames);
        }
    }

    private read(takeInput: () => void): void {
        const { socket, reader } = this;
        try {
            takeInput();
        }
        catch (error) {
            socket.destroy(error instanceof Error ? error : new Error(String(error)));
            return;
        }
        if (reader.isWaitingForRoom) {
            this.waitForRoom();
        }
    }

    /**
     * Stops reading until other bodies have given their memory back; the sender keeps what follows. Tries again from time
     * to time, because what another sender holds may be taken from it once it makes no progress.
     */
    private waitForRoom(): void {
        const { socket, listener, bodyBudget } = this;
        socket.pause();
        this.waitingTimer ??= setInterval(() => {
            listener.onWaitingForRoom?.();
            this.retry();
        }, WAITING_INTERVAL_MS);
        if (!this.isAwaitingRelease) {
            this.isAwaitingRelease = true;
            bodyBudget?.whenReleased(() => {
                this.isAwaitingRelease = false;
                this.retry();
            }, this.hasReceivedMessage);
        }
    }

    private retry(): void {
        if (!this.socket.destroyed && this.reader.isWaitingForRoom) {
            this.read(() => this.reader.retry());
            this.resumeIfRoomFound();
        }
    }

    private resumeIfRoomFound(): void {
        if (!this.reader.isWaitingForRoom) {
            clearInterval(this.waitingTimer);
            this.waitingTimer = undefined;
            this.socket.resume();
        }
    }

    private decode(payload: Buffer): void {
        if (this.isClosing) {
            return;
        }
        checkMessageLengths(payload);
        const messages = this.unpacker.unpackMultiple(payload) as LinkMessage[];
        this.hasReceivedMessage ||= messages.some(message => typeof message?.kind === "string");
        messages.forEach(message => this.listener.onMessage(message));
    }
}

function createRoom(
    bodyBudget: BodyBudget,
    watch: (giveUp: () => void) => SenderProgress | undefined,
    destroy: () => void,
): FrameRoom {
    const reservation = bodyBudget.open();
    let progress: SenderProgress | undefined;
    return {
        // A body larger than all of the memory fits where nothing else is held.
        tryTake: payloadBytes => {
            if (!reservation.tryAdd(Math.min(payloadBytes, bodyBudget.maximumBytes))) {
                return false;
            }
            progress = watch(() => {
                reservation.release();
                destroy();
            });
            return true;
        },
        recordProgress: () => progress?.record(),
        giveBack: () => {
            progress?.end();
            reservation.release();
        },
    };
}
