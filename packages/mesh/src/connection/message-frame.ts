/**
 * Frames on a connection: four bytes of length, then that many bytes of payload.
 */

/** Bytes before the payload that hold its length. */
export const FRAME_HEADER_BYTES = 4;
/** Payload that a frame carries at most: the largest body of a request, with its headers. */
export const MAXIMUM_FRAME_BYTES = 96 * 1024 * 1024;

/** Appends a frame for a payload to the parts of a write. */
export function appendFrame(parts: Buffer[], payload: Buffer): void {
    const header = Buffer.allocUnsafe(FRAME_HEADER_BYTES);
    header.writeUInt32BE(payload.length);
    parts.push(header, payload);
}

/** Bytes on a connection that are no frames of ours. */
export class FrameError extends Error {
    private constructor(message: string) {
        super(message);
        this.name = "FrameError";
    }

    static create(announcedBytes: number): FrameError {
        return new FrameError(`a frame of ${announcedBytes} bytes was announced; ${MAXIMUM_FRAME_BYTES} are allowed`);
    }
}

/** Cuts the bytes of a connection into the payloads of its frames. */
export class FrameReader {
    private readonly pending: Buffer[] = [];
    private pendingBytes = 0;
    /** Bytes, header included, that the pending frame needs; only its header as long as that is not whole. */
    private neededBytes = FRAME_HEADER_BYTES;

    private constructor(private readonly onPayload: (payload: Buffer) => void) {}

    static create(onPayload: (payload: Buffer) => void): FrameReader {
        return new FrameReader(onPayload);
    }

    /**
     * Takes the next bytes of the connection.
     *
     * @throws FrameError when a frame is announced that is too large.
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

    /** Reads all frames that are whole; returns the position of the first byte behind them. */
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
