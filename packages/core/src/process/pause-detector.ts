/**
 * Notices that the process was paused, for instance stopped by its host, and woke late.
 */
import type { Clock, Timer } from "./clock.js";
import { setRepeatingTimer } from "./clock.js";

const TICK_MS = 100;
/** Gap between two ticks that counts as a pause. */
const PAUSE_MS = 1_000;
/** Time after waking in which what is read may have arrived during the pause. */
const BACKLOG_MS = 500;

/** Compares the time between ticks with their interval; also notices a pause before the first tick after it. */
export class PauseDetector {
    private lastTickMs: number;
    private wokeAtMs = -Infinity;
    private pausedMs = 0;
    private readonly timer: Timer;

    private constructor(private readonly clock: Clock) {
        this.lastTickMs = clock.nowMs();
        this.timer = setRepeatingTimer(clock, TICK_MS, () => this.tick());
    }

    static create(clock: Clock): PauseDetector {
        return new PauseDetector(clock);
    }

    /** Milliseconds that something that is read now may have waited unread. */
    waitedMs(): number {
        this.tick();
        return this.clock.nowMs() - this.wokeAtMs <= BACKLOG_MS ? this.pausedMs : 0;
    }

    /** Stops watching. */
    close(): void {
        this.timer.cancel();
    }

    private tick(): void {
        const nowMs = this.clock.nowMs();
        const gapMs = nowMs - this.lastTickMs;
        this.lastTickMs = nowMs;
        if (gapMs > PAUSE_MS) {
            this.wokeAtMs = nowMs;
            this.pausedMs = gapMs;
        }
    }
}
