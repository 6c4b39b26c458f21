/**
 * Detects that a peer stopped responding although its connection was not closed.
 */
import type { Clock, Timer } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";

/** Interval at which a node reports to the sender of a request that it still works on it. */
export const PROGRESS_INTERVAL_MS = 500;
/** Time without a progress report after which the forwarded request is aborted. */
const PROGRESS_TIMEOUT_MS = 2_000;

/** Aborts a forwarded request when its peer reports no progress. */
export class PeerProgressMonitor {
    private readonly controller = new AbortController();
    private timer: Timer;

    private constructor(private readonly clock: Clock, private readonly host: string) {
        this.timer = this.startTimer();
    }

    static create(clock: Clock, host: string): PeerProgressMonitor {
        return new PeerProgressMonitor(clock, host);
    }

    /** Aborted when the peer has reported no progress for the time limit. */
    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Restarts the time limit after the peer has reported progress. */
    recordProgress(): void {
        this.timer.cancel();
        this.timer = this.startTimer();
    }

    /** Stops the monitor. */
    end(): void {
        this.timer.cancel();
    }

    private startTimer(): Timer {
        return this.clock.setTimer(PROGRESS_TIMEOUT_MS, () => {
            const detail = `The connection to ${this.host} went silent.`;
            this.controller.abort(RequestError.create("peer-connection-lost", { detail }));
        });
    }
}
