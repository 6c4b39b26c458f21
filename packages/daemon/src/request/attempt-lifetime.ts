/**
 * The abort signal of one attempt of a request: that of the request, and the host that runs the attempt hanging.
 */
import { RequestError, setRepeatingTimer } from "@radishrouter/core";
import type { Clock, Timer } from "@radishrouter/core";

const CHECK_INTERVAL_MS = 100;

/** What decides whether an attempt is abandoned. */
export interface AttemptConditions {
    /** Whether the host answers nothing. */
    readonly isUnresponsive: () => boolean;
    /** Whether the request may be sent elsewhere. */
    readonly mayAbandon: () => boolean;
}

/** Ends an attempt with its request, or earlier when its host hangs and the request may be sent elsewhere. */
export class AttemptLifetime {
    private readonly controller = new AbortController();
    private readonly timer: Timer;

    private constructor(clock: Clock, parent: AbortSignal, conditions: AttemptConditions) {
        const onAbort = () => this.controller.abort(parent.reason);
        if (parent.aborted) {
            onAbort();
        }
        parent.addEventListener("abort", onAbort, { once: true });
        this.timer = setRepeatingTimer(clock, CHECK_INTERVAL_MS, () => {
            if (conditions.isUnresponsive() && conditions.mayAbandon()) {
                const detail = "The host answered nothing for longer than its latency explains.";
                this.controller.abort(RequestError.create("peer-connection-lost", { detail }));
            }
        });
    }

    static create(clock: Clock, parent: AbortSignal, conditions: AttemptConditions): AttemptLifetime {
        return new AttemptLifetime(clock, parent, conditions);
    }

    /** Aborted with a RequestError as its reason. */
    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Stops watching the host; the end of the request still ends the attempt's answer. */
    end(): void {
        this.timer.cancel();
    }
}
