/**
 * Estimates the monotonic clock of another process.
 */

/** Largest relative drift between two monotonic clocks. */
const MAXIMUM_CLOCK_DRIFT_FRACTION = 0.0002;

/**
 * Converts times of this process to times of a peer's clock, so that the peer can measure how long a message was
 * delayed. The clocks have different origins; each reply of the peer carries the time at which it was sent.
 *
 * The converted time is never later than the true time: a delayed reply makes messages look delayed, but never makes a
 * delayed message look on time.
 */
export class PeerClock {
    /** Lower bound of the difference between the peer's clock and the local clock. */
    private minimumOffsetMs = -Infinity;
    private updatedAtMs = 0;

    private constructor() {}

    static create(): PeerClock {
        return new PeerClock();
    }

    /** Records a reply: local time of its request, time of the peer's clock in it, and local time of receipt. */
    recordExchange(requestedAtMs: number, peerTimeMs: number, receivedAtMs: number): void {
        const receivedOffsetMs = peerTimeMs - receivedAtMs;
        const maximumOffsetMs = peerTimeMs - requestedAtMs;
        const driftMs = (receivedAtMs - this.updatedAtMs) * MAXIMUM_CLOCK_DRIFT_FRACTION;
        const knownOffsetMs = this.minimumOffsetMs - driftMs;
        // The peer's clock stops while its host is suspended; the earlier bound is then too high and is discarded.
        this.minimumOffsetMs = knownOffsetMs > maximumOffsetMs ?
            receivedOffsetMs :
            Math.max(knownOffsetMs, receivedOffsetMs);
        this.updatedAtMs = receivedAtMs;
    }

    /**
     * How much longer than the quickest known one a message was on its way that the peer sent at `peerTimeMs`; call it
     * after the message was recorded.
     */
    delayMs(peerTimeMs: number, receivedAtMs: number): number {
        return Math.max(0, this.toPeerTimeMs(receivedAtMs) - peerTimeMs);
    }

    /** Time of the peer's clock at a local time, or somewhat earlier. */
    toPeerTimeMs(localTimeMs: number): number {
        return localTimeMs + this.minimumOffsetMs;
    }
}
