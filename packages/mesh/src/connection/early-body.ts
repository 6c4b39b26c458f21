/**
 * Collects what arrives of a chunked body before it is decided whether its request is served.
 *
 * Node holds each chunk that nobody reads as an object of its own: 200 requests with chunks of one byte, of which each had
 * sent 64 KiB, took more than a heap of 120 MB.
 */
import type { EventEmitter } from "node:events";
import type { IncomingMessage } from "node:http";
import type { BodyReservation } from "../process/body-budget.js";
import { CollectedBody } from "./collected-body.js";

/** Bytes that a chunk takes on the connection beside its content: its size and two line ends. */
export const CHUNK_FRAMING_BYTES = 5;

/** Framing that a body of any length may have, and that each byte of content allows: chunks of three bytes pass. */
const FRAMING_ALLOWANCE_BYTES = 8_192;
/** Framing that a body may have while few come in chunks: 1.6 million chunks of one byte, some seconds of processor time. */
const CALM_FRAMING_ALLOWANCE_BYTES = 8 * 1024 * 1024;
/** Bodies in chunks that may come at once without being held to the smaller allowance. */
const CALM_BODIES = 8;
const FRAMING_BYTES_PER_BODY_BYTE = 2;
/** Bytes that are reserved at a time, because chunks may be tiny. */
const RESERVATION_STEP_BYTES = 4_096;

/** The bodies in chunks that come at once to a listener. */
export class ChunkedBodies {
    private count = 0;

    private constructor() {}

    static create(): ChunkedBodies {
        return new ChunkedBodies();
    }

    /** Counts a body until its request ends. */
    add(request: EventEmitter): void {
        this.count++;
        request.once("close", () => this.count--);
    }

    /**
     * Whether the framing of chunks is out of proportion to their content: reading many such bodies takes all of the
     * processor. One alone, of chunks of one byte, is read.
     */
    haveTooMuchFraming(framingBytes: number, contentBytes: number): boolean {
        const allowanceBytes = this.count <= CALM_BODIES ? CALM_FRAMING_ALLOWANCE_BYTES : FRAMING_ALLOWANCE_BYTES;
        return framingBytes > allowanceBytes + FRAMING_BYTES_PER_BODY_BYTE * contentBytes;
    }
}

/** Beginning of a chunked body. */
export class EarlyBody {
    readonly body = CollectedBody.create();
    /** Bytes that the chunks took on the connection beside their content. */
    framingBytes = 0;
    /** Bytes that have been reserved. */
    reservedBytes = 0;
    hasEnded = false;
    /** Whether all that was received fits into the memory. */
    hasRoom = true;

    private readonly onData = (chunk: Buffer) => this.add(chunk);
    private readonly onEnd = () => {
        this.hasEnded = true;
    };

    private constructor(
        private readonly request: IncomingMessage,
        private readonly reservation: BodyReservation,
        private readonly bodies: ChunkedBodies,
        private readonly onTooMuchFraming: () => void,
    ) {
        request.on("data", this.onData);
        request.once("end", this.onEnd);
    }

    /**
     * Begins to collect a body; undefined if the request has none in chunks. `onTooMuchFraming` has to close the
     * connection: a response would wait until all its input is read.
     */
    static begin(
        request: IncomingMessage,
        reservation: BodyReservation,
        bodies: ChunkedBodies,
        onTooMuchFraming: () => void,
    ): EarlyBody | undefined {
        if (request.headers["transfer-encoding"] === undefined) {
            return undefined;
        }
        bodies.add(request);
        return new EarlyBody(request, reservation, bodies, onTooMuchFraming);
    }

    /** Whether the framing of chunks is out of proportion. */
    get isTooLarge(): boolean {
        return this.haveTooMuchFraming(this.framingBytes, this.body.length);
    }

    /** Whether the framing of the chunks that have come in all is out of proportion to their content. */
    haveTooMuchFraming(framingBytes: number, contentBytes: number): boolean {
        return this.bodies.haveTooMuchFraming(framingBytes, contentBytes);
    }

    /** Ends collecting; the caller has to take over the request's events at once. */
    handOver(): void {
        this.request.off("data", this.onData);
        this.request.off("end", this.onEnd);
    }

    /** Drops what was collected, and what still comes. */
    discard(): void {
        this.body.clear();
        this.handOver();
        // A listener that does nothing costs less than Node's buffer of what nobody reads.
        this.request.on("data", () => undefined);
    }

    private add(chunk: Buffer): void {
        this.framingBytes += CHUNK_FRAMING_BYTES;
        const size = this.body.length + chunk.length;
        if (size > this.reservedBytes) {
            const bytes = Math.max(RESERVATION_STEP_BYTES, size - this.reservedBytes);
            this.hasRoom = this.reservation.tryAdd(bytes);
            this.reservedBytes += this.hasRoom ? bytes : 0;
        }
        if (this.hasRoom && !this.isTooLarge) {
            this.body.add(chunk);
        }
        else {
            this.discard();
            if (this.isTooLarge) {
                this.onTooMuchFraming();
                // Node drops the chunks of a destroyed request at once.
                this.request.destroy();
            }
        }
    }
}
