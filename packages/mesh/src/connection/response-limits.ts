/**
 * Bounds on what backend servers can make a node read and hold: bytes that are no answer, and answers without end.
 */
import type { Socket } from "node:net";

const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;
/** Bytes of one answer beside its body: its head, what frames its chunks, what comes before and behind it. */
const MAXIMUM_FRAMING_BYTES = 256 * KIBIBYTE;
/** Chunks of one byte have five bytes of framing each. */
const FRAMING_BYTES_FOR_A_BODY_BYTE = 8;
/** One answer is held whole until it is passed on. */
const MAXIMUM_ANSWER_BYTES = 32 * MEBIBYTE;
/** All answers together that are not whole yet. */
const MAXIMUM_HELD_BYTES = 64 * MEBIBYTE;

/** Counts of one connection since the last answer on it was whole. */
interface ConnectionCounts {
    readonly socket: Socket;
    /** Bytes that the socket had read when they were last handed on. */
    handedOnBytes: number;
    /** The same at the end of the last answer. */
    answeredBytes: number;
    bodyBytes: number;
}

/** An answer whose body is being received. */
export interface IncompleteAnswer {
    readonly receivedBytes: number;
    /** Gives the answer up, and closes its connection. */
    abort(reason: string): void;
}

/** What the connections of one pool have read that became part of no body, and what of their answers is held. */
export class AnswerBounds {
    /** Connection whose bytes are handed on in this moment. */
    private current: ConnectionCounts | undefined;
    private readonly answers = new Set<IncompleteAnswer>();
    private heldBytes = 0;

    private constructor() {}

    static create(): AnswerBounds {
        return new AnswerBounds();
    }

    /** Watches a new connection; has to be called before anything else reads from it. */
    watch(socket: Socket): void {
        const counts = { socket, handedOnBytes: 0, answeredBytes: 0, bodyBytes: 0 };
        socket.on("readable", () => this.handOn(counts));
    }

    /** Counts a part of a body, as it is handed on. */
    addBody(answer: IncompleteAnswer, bytes: number): void {
        this.answers.add(answer);
        this.heldBytes += bytes;
        if (this.current) {
            this.current.bodyBytes += bytes;
        }
        if (answer.receivedBytes > MAXIMUM_ANSWER_BYTES) {
            answer.abort("the answer is larger than this node holds");
        }
        else if (this.heldBytes > MAXIMUM_HELD_BYTES) {
            this.largest()?.abort("the answers that are not whole are larger than this node holds");
        }
    }

    /** Forgets an answer that is whole or given up. */
    end(answer: IncompleteAnswer): void {
        if (this.answers.delete(answer)) {
            this.heldBytes -= answer.receivedBytes;
        }
        if (this.current) {
            this.current.answeredBytes = this.current.handedOnBytes;
            this.current.bodyBytes = 0;
        }
    }

    /** Closes a connection on which too much came that is part of no body. */
    private handOn(counts: ConnectionCounts): void {
        const { socket, handedOnBytes, answeredBytes, bodyBytes } = counts;
        const framingBytes = handedOnBytes - answeredBytes - bodyBytes;
        if (framingBytes > MAXIMUM_FRAMING_BYTES + bodyBytes * FRAMING_BYTES_FOR_A_BODY_BYTE) {
            socket.destroy(new Error(`${framingBytes} bytes came that are no part of a body`));
            return;
        }
        counts.handedOnBytes = socket.bytesRead;
        this.current = counts;
    }

    private largest(): IncompleteAnswer | undefined {
        return [...this.answers].sort((left, right) => right.receivedBytes - left.receivedBytes)[0];
    }
}
