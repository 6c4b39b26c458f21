/**
 * Collects a message body that is received in chunks.
 */

/** Smaller chunks are copied into shared blocks: a small buffer of its own takes more memory than the bytes in it. */
const COPY_THRESHOLD_BYTES = 4_096;
const BLOCK_BYTES = 8_192;

/** Collects the chunks of a body; small chunks take about as much memory as their bytes. */
export class CollectedBody {
    private chunks: Buffer[] = [];
    private block: Buffer | undefined;
    private blockUsedBytes = 0;
    private totalBytes = 0;

    private constructor() {}

    static create(): CollectedBody {
        return new CollectedBody();
    }

    /** Bytes received so far. */
    get length(): number {
        return this.totalBytes;
    }

    /** Adds the next chunk. */
    add(chunk: Buffer): void {
        this.totalBytes += chunk.length;
        if (chunk.length >= COPY_THRESHOLD_BYTES) {
            this.finishBlock();
            this.chunks.push(chunk);
            return;
        }
        if (this.blockUsedBytes + chunk.length > (this.block?.length ?? 0)) {
            this.finishBlock();
            this.block = this.chunks.length === 0 ? chunk : Buffer.allocUnsafe(BLOCK_BYTES);
            this.blockUsedBytes = 0;
        }
        this.append(chunk);
    }

    /** The complete body. */
    toBuffer(): Buffer {
        this.finishBlock();
        return this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks, this.totalBytes);
    }

    /** Removes all chunks. */
    clear(): void {
        this.chunks = [];
        this.block = undefined;
        this.totalBytes = 0;
    }

    private append(chunk: Buffer): void {
        if (this.block !== chunk) {
            chunk.copy(this.block!, this.blockUsedBytes);
        }
        this.blockUsedBytes += chunk.length;
    }

    private finishBlock(): void {
        if (this.block && this.blockUsedBytes > 0) {
            this.chunks.push(this.block.subarray(0, this.blockUsedBytes));
        }
        this.block = undefined;
        this.blockUsedBytes = 0;
    }
}
