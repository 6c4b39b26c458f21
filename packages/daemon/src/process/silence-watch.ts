/**
 * Notices that a connection to a peer carries nothing any more although it was not closed.
 */
import type { Clock, Timer } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";

/** Interval at which a node shows the sender of a request that it still works on it. */
export const PROGRESS_INTERVAL_MS = 500;
/** Time without progress after which the connection counts as silent. */
const SILENT_MS = 2_000;

/** Aborts a forwarded request when its peer shows no progress. */
export class SilenceWatch {
    private readonly controller = new AbortController();
    private timer: Timer;

    private constructor(private readonly clock: Clock, private readonly host: string) {
        this.timer = this.startTimer();
    }

    static create(clock: Clock, host: string): SilenceWatch {
        return new SilenceWatch(clock, host);
    }

    /** Aborted when the connection counts as silent. */
    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Notes that the peer has shown progress. */
    proceed(): void {
        this.timer.cancel();
        this.timer = this.startTimer();
    }

    /** Stops watching. */
    end(): void {
        this.timer.cancel();
    }

    private startTimer(): Timer {
        return this.clock.setTimer(SILENT_MS, () => {
            const detail = `The connection to ${this.host} went silent.`;
            this.controller.abort(RequestError.create("peer-connection-lost", { detail }));
        });
    }
}
