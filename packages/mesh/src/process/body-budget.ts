/**
 * Bounds the memory that the request bodies of a process take together.
 *
 * Answers many large uploads at once: each is collected before it is sent on, and a process that runs out of memory is
 * killed with all requests that it serves. What does not fit is refused before it is read.
 */

const MEBIBYTE = 1024 * 1024;
/** Bytes of request bodies that a process holds at once. */
const MAXIMUM_HELD_BYTES = 64 * MEBIBYTE;
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

    private constructor(private readonly maximumBytes: number) {}

    static create(maximumBytes = MAXIMUM_HELD_BYTES): BodyBudget {
        return new BodyBudget(maximumBytes);
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
            },
        };
    }
}
