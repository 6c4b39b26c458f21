/**
 * How much longer than usual a message took from another process.
 */

/** Part by which two steady clocks may drift apart. */
const CLOCK_DRIFT_PART = 0.0002;

/**
 * Delay of the messages of one connection, by the steady clocks of its two ends. The clocks share no zero: the fastest
 * message seen stands for no delay.
 *
 * Answers a connection that stalls, and a process that reads late: what a message says about time left has to be
 * reduced by the time that it was on its way.
 */
export class TransitDelay {
    private leastOffsetMs = Infinity;
    private lastReceivedAtMs = 0;

    private constructor() {}

    static create(): TransitDelay {
        return new TransitDelay();
    }

    /** Delay in ms of a message; `sentAtMs` is of the sender's clock and `receivedAtMs` of the own one. */
    measure(sentAtMs: number, receivedAtMs: number): number {
        const offsetMs = receivedAtMs - sentAtMs;
        const driftMs = (receivedAtMs - this.lastReceivedAtMs) * CLOCK_DRIFT_PART;
        this.leastOffsetMs = Math.min(offsetMs, this.leastOffsetMs + driftMs);
        this.lastReceivedAtMs = receivedAtMs;
        return offsetMs - this.leastOffsetMs;
    }
}
