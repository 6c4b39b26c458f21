/**
 * Bounds the memory that the requests and responses of a process take together.
 *
 * Answers many large uploads, heads, pipelined requests or unread responses at once: a process that runs out of memory is
 * killed with all requests that it serves. What does not fit is refused before it is read.
 */

const MEBIBYTE = 1024 * 1024;
/** Bytes that a process holds at once. */
const MAXIMUM_HELD_BYTES = 80 * MEBIBYTE;
/** Part of all bytes that bodies may take; the rest stays free for heads and responses. 64 MiB by default. */
const BODY_SHARE = 0.8;
/**
 * Part of the bytes that a process holds of bodies which other nodes have forwarded to it; 48 MiB by default. They are
 * counted apart from those of its own callers: two nodes whose callers' bodies wait for room at each other would wait for
 * ever.
 */
const FORWARDED_SHARE = 0.6;
/** Part above all bytes that complete responses may take, since refusing one loses the work that was done for it. */
const RESPONSE_OVERDRAFT = 0.4;
/** Time in ms in which some of the bodies that a process holds are sent on. */
export const RETRY_AFTER_NO_ROOM_MS = 300;

/** What bytes are held of. */
export type HeldKind = "body" | "head" | "response";

/** Part of the budget that one request has taken. */
export interface BodyReservation {
    /** Takes further bytes; returns false, and takes none, if they do not fit. */
    tryAdd(bytes: number): boolean;
    /** Gives all bytes back. */
    release(): void;
}

/** Memory for requests and responses. */
export class BodyBudget {
    private heldBytes = 0;
    private heldBodyBytes = 0;
    private waiting: (() => void)[] = [];

    private constructor(
        /** Bytes of bodies that are held at most. */
        readonly maximumBytes: number,
        private readonly maximumTotalBytes: number,
        private readonly giveUpStalled: () => boolean,
    ) {}

    /** Creates the memory for bodies alone. `giveUpStalled` gives back what a stalled sender holds; false if none does. */
    static create(maximumBytes = MAXIMUM_HELD_BYTES * BODY_SHARE, giveUpStalled = () => false): BodyBudget {
        return new BodyBudget(maximumBytes, maximumBytes, giveUpStalled);
    }

    /** Creates the memory for bodies, heads and responses of the callers of a process. */
    static createForCallers(heldBytes: number, giveUpStalled: () => boolean): BodyBudget {
        return new BodyBudget(heldBytes * BODY_SHARE, heldBytes, giveUpStalled);
    }

    /** Creates the memory for bodies that other nodes have forwarded. */
    static createForForwarded(heldBytes = MAXIMUM_HELD_BYTES, giveUpStalled = () => false): BodyBudget {
        return BodyBudget.create(heldBytes * FORWARDED_SHARE, giveUpStalled);
    }

    /** Bytes that are held now. */
    get currentBytes(): number {
        return this.heldBytes;
    }

    /** Opens a reservation without any bytes. */
    open(kind: HeldKind = "body"): BodyReservation {
        let ownBytes = 0;
        return {
            tryAdd: bytes => {
                while (!this.fits(kind, bytes)) {
                    if (!this.giveUpStalled()) {
                        return false;
                    }
                }
                this.add(kind, bytes);
                ownBytes += bytes;
                return true;
            },
            release: () => {
                this.add(kind, -ownBytes);
                if (ownBytes > 0) {
                    this.notifyWaiting();
                }
                ownBytes = 0;
            },
        };
    }

    /**
     * Calls back once, when bytes have been given back; a caller whose bytes still do not fit asks again. Those that come
     * first are called before all others.
     */
    whenReleased(callback: () => void, comesFirst = false): void {
        if (comesFirst) {
            this.waiting.unshift(callback);
        }
        else {
            this.waiting.push(callback);
        }
    }

    private fits(kind: HeldKind, bytes: number): boolean {
        const total = this.heldBytes + bytes;
        switch (kind) {
            case "body":
                return this.heldBodyBytes + bytes <= this.maximumBytes && total <= this.maximumTotalBytes;
            case "head":
                return total <= this.maximumTotalBytes;
            case "response":
                return this.heldBytes === 0 || total <= this.maximumTotalBytes * (1 + RESPONSE_OVERDRAFT);
        }
    }

    private add(kind: HeldKind, bytes: number): void {
        this.heldBytes += bytes;
        if (kind === "body") {
            this.heldBodyBytes += bytes;
        }
    }

    private notifyWaiting(): void {
        const waiting = this.waiting.splice(0);
        if (waiting.length > 0) {
            // Not at once: what is called back may begin requests, and whoever gives back is in the middle of one.
            queueMicrotask(() => waiting.forEach(callback => callback()));
        }
    }
}
