/**
 * Detects that the process was paused, for instance stopped by its host, and resumed later.
 */
import { performance } from "node:perf_hooks";
import type { Clock, Timer } from "./clock.js";
import { setRepeatingTimer } from "./clock.js";

const TICK_MS = 100;
/** A gap between two ticks that is longer than this counts as a pause. */
const MINIMUM_PAUSE_MS = 1_000;
/** Shortest time after a pause during which input that is read may have arrived during the pause. */
const DELAYED_READ_MS = 500;
/**
 * Time for which the event loop must have waited for input since a pause until the input of the pause counts as read.
 * It waits only when no input is left; measuring a wait of no length takes some time as well.
 */
const CAUGHT_UP_IDLE_MS = 20;

/** Time in ms for which the event loop of this process has waited for input since it started. */
function eventLoopIdleMs(): number {
    return performance.eventLoopUtilization().idle;
}

/** Detects pauses from the time between ticks, and on each query, as input may be read before the first tick. */
export class PauseDetector {
    private lastTickMs: number;
    private resumedAtMs = -Infinity;
    private idleAtResumeMs = 0;
    private pausedMs = 0;
    private readonly timer: Timer;

    private constructor(private readonly clock: Clock, private readonly idleMs: () => number) {
        this.lastTickMs = clock.nowMs();
        this.timer = setRepeatingTimer(clock, TICK_MS, () => this.tick());
    }

    /** `idleMs` reports the time for which the event loop has waited for input; tests replace it. */
    static create(clock: Clock, idleMs: () => number = eventLoopIdleMs): PauseDetector {
        return new PauseDetector(clock, idleMs);
    }

    /** Longest time in milliseconds for which input that is read now may have waited; 0 unless a pause just ended. */
    waitedMs(): number {
        this.tick();
        if (this.pausedMs > 0 && this.hasReadInputOfPause()) {
            this.pausedMs = 0;
        }
        return this.pausedMs;
    }

    /** Stops detecting pauses. */
    close(): void {
        this.timer.cancel();
    }

    private hasReadInputOfPause(): boolean {
        return this.clock.nowMs() - this.resumedAtMs > DELAYED_READ_MS &&
            this.idleMs() - this.idleAtResumeMs >= CAUGHT_UP_IDLE_MS;
    }

    private tick(): void {
        const nowMs = this.clock.nowMs();
        const gapMs = nowMs - this.lastTickMs;
        this.lastTickMs = nowMs;
        if (gapMs > MINIMUM_PAUSE_MS) {
            this.resumedAtMs = nowMs;
            this.idleAtResumeMs = this.idleMs();
            this.pausedMs = gapMs;
        }
    }
}
