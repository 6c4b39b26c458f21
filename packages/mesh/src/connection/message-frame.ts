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

/** Splits the bytes of a connection into the payloads of its frames. */
export class FrameReader {
    private readonly pending: Buffer[] = [];
    private pendingBytes = 0;
    /** Size of the pending frame including its header; until the header is complete, the size of the header. */
    private neededBytes = FRAME_HEADER_BYTES;

    private constructor(private readonly onPayload: (payload: Buffer) => void) {}

    static create(onPayload: (payload: Buffer) => void): FrameReader {
        return new FrameReader(onPayload);
    }

    /**
     * Processes the next bytes of the connection.
     *
     * @throws FrameError if the length of a frame exceeds `MAXIMUM_FRAME_BYTES`.
     */
    push(chunk: Buffer): void {
        this.pending.push(chunk);
        this.pendingBytes += chunk.length;
        if (this.pendingBytes < this.neededBytes) {
            return;
        }
        const bytes = this.pending.length === 1 ? chunk : Buffer.concat(this.pending, this.pendingBytes);
        const rest = bytes.subarray(this.readFrames(bytes));
        this.pending.length = 0;
        this.pendingBytes = rest.length;
        if (rest.length > 0) {
            this.pending.push(rest);
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
                this.neededBytes = end - position;
                return position;
            }
            this.onPayload(bytes.subarray(position + FRAME_HEADER_BYTES, end));
            position = end;
        }
        this.neededBytes = FRAME_HEADER_BYTES;
        return position;
    }
}
