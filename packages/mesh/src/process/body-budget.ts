/**
 * Bounds the memory that the request bodies of a process take together.
 *
 * Answers many large uploads at once: each is collected before it is sent on, and a process that runs out of memory is
 * killed with all requests that it serves. What does not fit is refused before it is read.
 */

const MEBIBYTE = 1024 * 1024;
/** Bytes of request bodies that a process holds at once. */
const MAXIMUM_HELD_BYTES = 64 * MEBIBYTE;
/**
 * Bytes that a process holds of bodies which other nodes have forwarded to it. They are counted apart from those of its own
 * callers: two nodes whose callers' bodies wait for room at each other would wait for ever.
 */
const MAXIMUM_FORWARDED_BYTES = 48 * MEBIBYTE;
/** Time in ms in which some of the bodies that a process holds are sent on. */
export const RETRY_AFTER_NO_ROOM_MS = 300;

/** Part of the budget that one request has taken. */
export interface BodyReservation {
    /** Takes further bytes; returns false, and takes none, if they do not fit. */
    tryAdd(bytes: number): boolean;
    /** Gives all bytes back. */
    release(): void;
}

/** Memory for request bodies. */
export class BodyBudget {
    private heldBytes = 0;
    private waiting: (() => void)[] = [];

    private constructor(
        /** Bytes that are held at most. */
        readonly maximumBytes: number,
    ) {}

    static create(maximumBytes = MAXIMUM_HELD_BYTES): BodyBudget {
        return new BodyBudget(maximumBytes);
    }

    /** Creates the memory for bodies that other nodes have forwarded. */
    static createForForwarded(): BodyBudget {
        return new BodyBudget(MAXIMUM_FORWARDED_BYTES);
    }

    /** Opens a reservation without any bytes. */
    open(): BodyReservation {
        let ownBytes = 0;
        return {
            tryAdd: bytes => {
                if (this.heldBytes + bytes > this.maximumBytes) {
                    return false;
                }
                this.heldBytes += bytes;
                ownBytes += bytes;
                return true;
            },
            release: () => {
                this.heldBytes -= ownBytes;
                ownBytes = 0;
                this.notifyWaiting();
            },
        };
    }

    /** Calls back once, when bytes have been given back; a caller whose bytes still do not fit asks again. */
    whenReleased(callback: () => void): void {
        this.waiting.push(callback);
    }

    private notifyWaiting(): void {
        const waiting = this.waiting.splice(0);
        if (waiting.length > 0) {
            // Not at once: what is called back may begin requests, and whoever gives back is in the middle of one.
            queueMicrotask(() => waiting.forEach(callback => callback()));
        }
    }
}
