/**
 * Time that a request on the local backend server spends waiting for its downstream calls.
 */
import type { Clock } from "@radishrouter/core";

/** Listener that is notified when a request starts and stops waiting for downstream calls. */
export interface DownstreamTimeListener {
    /** Called when the first downstream call starts. */
    pause(): void;
    /** Called when no downstream call is in flight any more. */
    resume(): void;
}

/** Adds up the time during which at least one downstream call is in flight. */
export class DownstreamTime {
    private callsInFlight = 0;
    private waitingSinceMs = 0;
    private endedWaitsMs = 0;

    private constructor(private readonly clock: Clock, private readonly listener: DownstreamTimeListener) {}

    static create(clock: Clock, listener: DownstreamTimeListener): DownstreamTime {
        return new DownstreamTime(clock, listener);
    }

    /** Milliseconds with at least one downstream call in flight, so far. */
    get totalMs(): number {
        return this.endedWaitsMs + (this.callsInFlight > 0 ? this.clock.nowMs() - this.waitingSinceMs : 0);
    }

    /** Records the start of a downstream call. */
    start(): void {
        if (this.callsInFlight++ === 0) {
            this.waitingSinceMs = this.clock.nowMs();
            this.listener.pause();
        }
    }

    /** Records the end of a downstream call. */
    end(): void {
        if (--this.callsInFlight === 0) {
            this.endedWaitsMs += this.clock.nowMs() - this.waitingSinceMs;
            this.listener.resume();
        }
    }
}
