/**
 * The abort signal of a request, which is triggered by its deadline or when its caller disconnects.
 */
import type { Clock } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";
import type { ServerResponse } from "node:http";

/** Aborts a request at its deadline, or when the connection closes before its response has been sent. */
export class RequestLifetime {
    private readonly controller = new AbortController();
    private readonly stopWatching: () => void;

    private constructor(clock: Clock, response: ServerResponse, remainingMs: number) {
        const timer = clock.setTimer(remainingMs, () => this.abort(RequestError.create("deadline-exceeded")));
        const onClose = () => {
            if (!response.writableFinished) {
                this.abort(RequestError.create("caller-gone"));
            }
        };
        response.once("close", onClose);
        this.stopWatching = () => {
            timer.cancel();
            response.off("close", onClose);
        };
    }

    static create(clock: Clock, response: ServerResponse, remainingMs: number): RequestLifetime {
        return new RequestLifetime(clock, response, remainingMs);
    }

    /** Signal of the request; its abort reason is a RequestError. */
    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Aborts the request early. */
    abort(reason: RequestError): void {
        this.controller.abort(reason);
    }

    /** Stops watching the deadline and the connection; must be called when the request has ended. */
    end(): void {
        this.stopWatching();
    }
}
