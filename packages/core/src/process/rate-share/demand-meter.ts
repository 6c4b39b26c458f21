/**
 * Measures how many requests per second arrive.
 */

const WINDOW_MS = 1_000;

/** Counts events over a sliding window of one second. */
export class DemandMeter {
    private windowStartMs: number;
    private current = 0;
    private previous = 0;

    private constructor(nowMs: number) {
        this.windowStartMs = nowMs;
    }

    static create(nowMs: number): DemandMeter {
        return new DemandMeter(nowMs);
    }

    /** Counts one event. */
    count(nowMs: number): void {
        this.roll(nowMs);
        this.current++;
    }

    /** Events per second up to now. */
    perSecond(nowMs: number): number {
        this.roll(nowMs);
        const elapsed = (nowMs - this.windowStartMs) / WINDOW_MS;
        return this.current + this.previous * (1 - elapsed);
    }

    private roll(nowMs: number): void {
        const windows = Math.floor((nowMs - this.windowStartMs) / WINDOW_MS);
        if (windows > 0) {
            this.previous = windows === 1 ? this.current : 0;
            this.current = 0;
            this.windowStartMs += windows * WINDOW_MS;
        }
    }
}
