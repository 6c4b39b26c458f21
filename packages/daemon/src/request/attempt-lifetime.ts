/**
 * The abort signal of one attempt of a request. It is triggered by the abort signal of the request, or when the host
 * that runs the attempt stops responding.
 */
import { RequestError, setRepeatingTimer } from "@radishrouter/core";
import type { Clock, Timer } from "@radishrouter/core";

const CHECK_INTERVAL_MS = 100;

/** Conditions under which an attempt is abandoned; both must hold. */
export interface AttemptConditions {
    /** Whether the host of the attempt has stopped responding. */
    readonly isUnresponsive: () => boolean;
    /** Whether the request may be sent to another host. */
    readonly mayAbandon: () => boolean;
}

/** Aborts an attempt with its request, or earlier when its host is unresponsive and the request may go to another. */
export class AttemptLifetime {
    private readonly controller = new AbortController();
    private readonly timer: Timer;

    private constructor(clock: Clock, requestSignal: AbortSignal, conditions: AttemptConditions) {
        const onRequestAbort = () => this.controller.abort(requestSignal.reason);
        if (requestSignal.aborted) {
            onRequestAbort();
        }
        requestSignal.addEventListener("abort", onRequestAbort, { once: true });
        this.timer = setRepeatingTimer(clock, CHECK_INTERVAL_MS, () => {
            if (conditions.isUnresponsive() && conditions.mayAbandon()) {
                const detail = "The host answered nothing for longer than its latency explains.";
                this.controller.abort(RequestError.create("peer-connection-lost", { detail }));
            }
        });
    }

    static create(clock: Clock, requestSignal: AbortSignal, conditions: AttemptConditions): AttemptLifetime {
        return new AttemptLifetime(clock, requestSignal, conditions);
    }

    /** Signal of the attempt; its abort reason is a RequestError. */
    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Stops checking the host. When the request is aborted later, the response of the attempt is still aborted. */
    end(): void {
        this.timer.cancel();
    }
}
