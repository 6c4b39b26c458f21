/**
 * Clock and timer interfaces in milliseconds, with a manual clock so that tests need not wait.
 */

/** A timer that can be cancelled. */
export interface Timer {
    cancel(): void;
}

/** Source of time and timers. */
export interface Clock {
    /** Milliseconds since an arbitrary start; never decreases. */
    nowMs(): number;
    /** Calls back once after `delayMs`. */
    setTimer(delayMs: number, callback: () => void): Timer;
}

/** Monotonic clock of the running process; its timers do not keep the process alive. */
export class SystemClock implements Clock {
    private constructor() {}

    static create(): SystemClock {
        return new SystemClock();
    }

    nowMs(): number {
        return performance.now();
    }

    setTimer(delayMs: number, callback: () => void): Timer {
        const handle = setTimeout(callback, delayMs);
        handle.unref();
        return { cancel: () => clearTimeout(handle) };
    }
}

interface ManualTimer {
    readonly dueMs: number;
    readonly order: number;
    readonly callback: () => void;
}

/** Clock that advances only on request; for tests and simulations. */
export class ManualClock implements Clock {
    private currentMs: number;
    private nextOrder = 0;
    private timers: ManualTimer[] = [];

    private constructor(startMs: number) {
        this.currentMs = startMs;
    }

    static create(startMs = 0): ManualClock {
        return new ManualClock(startMs);
    }

    nowMs(): number {
        return this.currentMs;
    }

    setTimer(delayMs: number, callback: () => void): Timer {
        const timer: ManualTimer = { dueMs: this.currentMs + Math.max(0, delayMs), order: this.nextOrder++, callback };
        this.timers.push(timer);
        return {
            cancel: () => {
                this.timers = this.timers.filter(other => other !== timer);
            },
        };
    }

    /** Advances the time and runs each due timer at its due time. */
    advance(durationMs: number): void {
        const endMs = this.currentMs + durationMs;
        for (let timer = this.nextDue(endMs); timer; timer = this.nextDue(endMs)) {
            this.currentMs = Math.max(this.currentMs, timer.dueMs);
            this.timers = this.timers.filter(other => other !== timer);
            timer.callback();
        }
        this.currentMs = endMs;
    }

    /** Simulates a paused process: advances the time first, and runs the timers that became due afterwards. */
    pause(durationMs: number): void {
        this.currentMs += durationMs;
        this.advance(0);
    }

    private nextDue(endMs: number): ManualTimer | undefined {
        return this.timers
            .filter(timer => timer.dueMs <= endMs)
            .sort((left, right) => left.dueMs - right.dueMs || left.order - right.order)[0];
    }
}

/** Grid on which periodic timers fall due. */
const TIMER_GRID_MS = 50;

/**
 * Delay of a timer that falls due on a common grid, at least `intervalMs` from now. Periodic timers of a process that
 * fall due together wake it up once.
 */
export function alignedDelayMs(clock: Clock, intervalMs: number): number {
    const nowMs = clock.nowMs();
    return Math.ceil((nowMs + intervalMs) / TIMER_GRID_MS) * TIMER_GRID_MS - nowMs;
}

/** Calls back at a fixed interval until cancelled. */
export function setRepeatingTimer(clock: Clock, intervalMs: number, callback: () => void): Timer {
    return repeat(clock, () => intervalMs, callback);
}

/** Calls back at about an interval until cancelled, on the common grid of {@link alignedDelayMs}. */
export function setAlignedTimer(clock: Clock, intervalMs: number, callback: () => void): Timer {
    // A timer that fires a little late must not skip a point of the grid.
    const minimumMs = intervalMs - TIMER_GRID_MS / 2;
    return repeat(clock, () => alignedDelayMs(clock, minimumMs), callback);
}

function repeat(clock: Clock, nextDelayMs: () => number, callback: () => void): Timer {
    let timer = clock.setTimer(nextDelayMs(), tick);
    let cancelled = false;
    function tick(): void {
        callback();
        if (!cancelled) {
            timer = clock.setTimer(nextDelayMs(), tick);
        }
    }
    return {
        cancel: () => {
            cancelled = true;
            timer.cancel();
        },
    };
}

/** Resolves after `durationMs`; with a {@link SystemClock} this does not keep the process alive. */
export function delay(clock: Clock, durationMs: number): Promise<void> {
    return new Promise(resolve => {
        clock.setTimer(durationMs, resolve);
    });
}
