/**
 * Collects a message body whose length was stated, in one buffer of that length.
 *
 * A body that is collected in parts takes twice its length while the parts are joined, and parts that are read from a
 * socket take more memory than their bytes.
 */

/** Collects the chunks of a body of known length. */
export class SizedBody {
    private buffer: Buffer | undefined;
    private receivedBytes = 0;

    private constructor(private readonly statedBytes: number) {}

    /** `statedBytes` is the length of the complete body; no more may be added. */
    static create(statedBytes: number): SizedBody {
        return new SizedBody(statedBytes);
    }

    /** Bytes received so far. */
    get length(): number {
        return this.receivedBytes;
    }

    /** Adds the next chunk; keeps nothing of it. */
    add(chunk: Buffer): void {
        if (chunk.length === this.statedBytes) {
            this.buffer = chunk;
        }
        else {
            this.buffer ??= Buffer.allocUnsafe(this.statedBytes);
            chunk.copy(this.buffer, this.receivedBytes);
        }
        this.receivedBytes += chunk.length;
    }

    /** The body as far as it was received. */
    toBuffer(): Buffer {
        return this.buffer?.subarray(0, this.receivedBytes) ?? Buffer.alloc(0);
    }

    /** Releases the memory. */
    clear(): void {
        this.buffer = undefined;
    }
}
