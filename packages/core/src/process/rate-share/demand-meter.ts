/**
 * Measures the arrival rate of requests.
 */

const WINDOW_MS = 1_000;

/** Estimates events per second over a sliding window of one second. */
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
        this.advanceWindow(nowMs);
        this.current++;
    }

    /** Events per second over the last second; the previous window counts by its overlap with that second. */
    perSecond(nowMs: number): number {
        this.advanceWindow(nowMs);
        const elapsed = (nowMs - this.windowStartMs) / WINDOW_MS;
        return this.current + this.previous * (1 - elapsed);
    }

    private advanceWindow(nowMs: number): void {
        const windows = Math.floor((nowMs - this.windowStartMs) / WINDOW_MS);
        if (windows > 0) {
            this.previous = windows === 1 ? this.current : 0;
            this.current = 0;
            this.windowStartMs += windows * WINDOW_MS;
        }
    }
}
