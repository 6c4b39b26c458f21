/**
 * The abort signal of a request: its deadline, and its caller going away.
 */
import type { Clock } from "@radishrouter/core";
import { RequestError } from "@radishrouter/core";
import type { ServerResponse } from "node:http";

/** Ends a request at its deadline or when its receiver is gone. */
export class RequestLifetime {
    private readonly controller = new AbortController();
    private readonly detach: () => void;

    private constructor(clock: Clock, response: ServerResponse, remainingMs: number) {
        const timer = clock.setTimer(remainingMs, () => this.abort(RequestError.create("deadline-exceeded")));
        const onClose = () => {
            if (!response.writableFinished) {
                this.abort(RequestError.create("caller-gone"));
            }
        };
        response.once("close", onClose);
        this.detach = () => {
            timer.cancel();
            response.off("close", onClose);
        };
    }

    static create(clock: Clock, response: ServerResponse, remainingMs: number): RequestLifetime {
        return new RequestLifetime(clock, response, remainingMs);
    }

    /** Aborted with a RequestError as its reason. */
    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Ends the request early. */
    abort(reason: RequestError): void {
        this.controller.abort(reason);
    }

    /** Stops watching once the request has ended. */
    end(): void {
        this.detach();
    }
}
