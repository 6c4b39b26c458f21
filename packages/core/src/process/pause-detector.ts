/**
 * Detects that the process was paused, for instance stopped by its host, and resumed later.
 */
import type { Clock, Timer } from "./clock.js";
import { setRepeatingTimer } from "./clock.js";

const TICK_MS = 100;
/** A gap between two ticks that is longer than this counts as a pause. */
const MINIMUM_PAUSE_MS = 1_000;
/** Time after a pause during which input that is read may have arrived during the pause. */
const DELAYED_READ_MS = 500;

/** Detects pauses from the time between ticks, and on each query, as input may be read before the first tick. */
export class PauseDetector {
    private lastTickMs: number;
    private resumedAtMs = -Infinity;
    private pausedMs = 0;
    private readonly timer: Timer;

    private constructor(private readonly clock: Clock) {
        this.lastTickMs = clock.nowMs();
        this.timer = setRepeatingTimer(clock, TICK_MS, () => this.tick());
    }

    static create(clock: Clock): PauseDetector {
        return new PauseDetector(clock);
    }

    /** Longest time in milliseconds for which input that is read now may have waited; 0 unless a pause just ended. */
    waitedMs(): number {
        this.tick();
        return this.clock.nowMs() - this.resumedAtMs <= DELAYED_READ_MS ? this.pausedMs : 0;
    }

    /** Stops detecting pauses. */
    close(): void {
        this.timer.cancel();
    }

    private tick(): void {
        const nowMs = this.clock.nowMs();
        const gapMs = nowMs - this.lastTickMs;
        this.lastTickMs = nowMs;
        if (gapMs > MINIMUM_PAUSE_MS) {
            this.resumedAtMs = nowMs;
            this.pausedMs = gapMs;
        }
    }
}
