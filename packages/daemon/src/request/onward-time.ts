/**
 * Time that a request on the local backend server spends waiting for its onward calls.
 */
import type { Clock } from "@radishrouter/core";

/** What follows the waiting. */
export interface OnwardTimeListener {
    /** Called when the request begins to wait. */
    pause(): void;
    /** Called when no onward call is open any more. */
    resume(): void;
}

/** Adds up the time during which at least one onward call is open. */
export class OnwardTime {
    private openCalls = 0;
    private openSinceMs = 0;
    private closedMs = 0;

    private constructor(private readonly clock: Clock, private readonly listener: OnwardTimeListener) {}

    static create(clock: Clock, listener: OnwardTimeListener): OnwardTime {
        return new OnwardTime(clock, listener);
    }

    /** Milliseconds so far. */
    get totalMs(): number {
        return this.closedMs + (this.openCalls > 0 ? this.clock.nowMs() - this.openSinceMs : 0);
    }

    /** Records the start of a call. */
    start(): void {
        if (this.openCalls++ === 0) {
            this.openSinceMs = this.clock.nowMs();
            this.listener.pause();
        }
    }

    /** Records the end of a call. */
    end(): void {
        if (--this.openCalls === 0) {
            this.closedMs += this.clock.nowMs() - this.openSinceMs;
            this.listener.resume();
        }
    }
}
