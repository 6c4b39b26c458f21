/**
 * Length-prefixed frames: four bytes of length, big-endian, then the payload.
 */

/** Size of the length prefix. */
export const FRAME_HEADER_BYTES = 4;
/** Largest payload of a frame: the largest body of a request, with its headers. */
export const MAXIMUM_FRAME_BYTES = 96 * 1024 * 1024;

/** Appends the frame of a payload to the buffers of one write. */
export function appendFrame(buffers: Buffer[], payload: Buffer): void {
    const header = Buffer.allocUnsafe(FRAME_HEADER_BYTES);
    header.writeUInt32BE(payload.length);
    buffers.push(header, payload);
}

/** Thrown if the bytes on a connection are not valid frames. */
export class FrameError extends Error {
    private constructor(message: string) {
        super(message);
        this.name = "FrameError";
    }

    static create(payloadBytes: number): FrameError {
        return new FrameError(`the frame length ${payloadBytes} exceeds the limit of ${MAXIMUM_FRAME_BYTES} bytes`);
    }
}

/** Memory that large frames need, counted before they are read. */
export interface FrameRoom {
    /** Takes room for the payload of a frame; returns false if it does not fit now. */
    tryTake(payloadBytes: number): boolean;
    /** Records that bytes of the frame have arrived. */
    recordProgress?(): void;
    /** Gives the room back. */
    giveBack(): void;
}

/** A large frame that is being received. */
interface LargeFrame {
    readonly payload: Buffer;
    receivedBytes: number;
}

/** Payload from which a frame is counted, and collected in one buffer of its size. */
const LARGE_FRAME_BYTES = 65_536;
const NO_BYTES = Buffer.alloc(0);

/** Splits the bytes of a connection into the payloads of its frames. */
export class FrameReader {
    private readonly pending: Buffer[] = [];
    private pendingBytes = 0;
    /** Size of the pending frame including its header; until the header is complete, the size of the header. */
    private neededBytes = FRAME_HEADER_BYTES;
    private largeFrame: LargeFrame | undefined;
    private isWaiting = false;

    private constructor(
        private readonly onPayload: (payload: Buffer) => void,
        private readonly room: FrameRoom | undefined,
    ) {}

    /** Without `room` frames of any size are read at once. */
    static create(onPayload: (payload: Buffer) => void, room?: FrameRoom): FrameReader {
        return new FrameReader(onPayload, room);
    }

    /** Whether the next frame does not fit; nothing more is to be read until {@link retry} finds room for it. */
    get isWaitingForRoom(): boolean {
        return this.isWaiting;
    }

    /** Whether a frame has begun that is not complete. */
    get hasPartialFrame(): boolean {
        return this.largeFrame !== undefined || this.pendingBytes > 0;
    }

    /** Goes on with a frame that did not fit, if it does now. */
    retry(): void {
        this.isWaiting = false;
        this.push(NO_BYTES);
    }

    /** Gives up a frame that is not complete. */
    close(): void {
        if (this.largeFrame) {
            this.largeFrame = undefined;
            this.room?.giveBack();
        }
    }

    /**
     * Processes the next bytes of the connection.
     *
     * @throws FrameError if the length of a frame exceeds `MAXIMUM_FRAME_BYTES`.
     */
    push(chunk: Buffer): void {
        const rest = this.largeFrame ? this.fill(this.largeFrame, chunk) : chunk;
        this.pending.push(rest);
        this.pendingBytes += rest.length;
        if (this.largeFrame || this.isWaiting || this.pendingBytes < this.neededBytes) {
            return;
        }
        const bytes = this.pending.length === 1 ? rest : Buffer.concat(this.pending, this.pendingBytes);
        this.pending.length = 0;
        this.pendingBytes = 0;
        const unread = bytes.subarray(this.readFrames(bytes));
        if (unread.length > 0) {
            this.pending.push(unread);
            this.pendingBytes = unread.length;
        }
    }

    /** Reads all complete frames; returns the position after the last of them. */
    private readFrames(bytes: Buffer): number {
        let position = 0;
        while (bytes.length - position >= FRAME_HEADER_BYTES) {
            const payloadBytes = bytes.readUInt32BE(position);
            if (payloadBytes > MAXIMUM_FRAME_BYTES) {
                throw FrameError.create(payloadBytes);
            }
            const end = position + FRAME_HEADER_BYTES + payloadBytes;
            if (end > bytes.length) {
                return this.beginFrame(bytes, position, payloadBytes);
            }
            this.onPayload(bytes.subarray(position + FRAME_HEADER_BYTES, end));
            position = end;
        }
        this.neededBytes = FRAME_HEADER_BYTES;
        return position;
    }

    /** Begins a frame that is not complete; returns the position up to which its bytes were taken. */
    private beginFrame(bytes: Buffer, position: number, payloadBytes: number): number {
        if (payloadBytes < LARGE_FRAME_BYTES) {
            this.neededBytes = FRAME_HEADER_BYTES + payloadBytes;
            return position;
        }
        this.neededBytes = FRAME_HEADER_BYTES;
        if (this.room && !this.room.tryTake(payloadBytes)) {
            this.isWaiting = true;
            return position;
        }
        this.largeFrame = { payload: Buffer.allocUnsafeSlow(payloadBytes), receivedBytes: 0 };
        this.fill(this.largeFrame, bytes.subarray(position + FRAME_HEADER_BYTES));
        return bytes.length;
    }

    /** Adds bytes to a large frame; returns those behind its end. */
    private fill(frame: LargeFrame, chunk: Buffer): Buffer {
        const { payload, receivedBytes } = frame;
        const copied = chunk.copy(payload, receivedBytes);
        frame.receivedBytes += copied;
        this.room?.recordProgress?.();
        if (frame.receivedBytes < payload.length) {
            return NO_BYTES;
        }
        this.largeFrame = undefined;
        this.room?.giveBack();
        this.onPayload(payload);
        return chunk.subarray(copied);
    }
}
