/**
 * Whether a planned stop of the process has begun, and how many requests are in flight.
 */

/** Counts the requests in flight and reports when the last one has ended. */
export class LifeCycle {
    private stopping = false;
    private openRequests = 0;
    private onIdle: (() => void) | undefined;

    private constructor() {}

    static create(): LifeCycle {
        return new LifeCycle();
    }

    /** Whether a planned stop has begun. */
    get isStopping(): boolean {
        return this.stopping;
    }

    /** Number of requests in flight. */
    get open(): number {
        return this.openRequests;
    }

    /** Begins a planned stop. */
    stop(): void {
        this.stopping = true;
    }

    /** Records that a request has begun. */
    begin(): void {
        this.openRequests++;
    }

    /** Records that a request has ended. */
    end(): void {
        this.openRequests--;
        if (this.openRequests === 0) {
            this.onIdle?.();
        }
    }

    /** Resolves when no request is in flight. */
    async whenIdle(): Promise<void> {
        if (this.openRequests > 0) {
            await new Promise<void>(resolve => {
                this.onIdle = resolve;
            });
        }
    }
}
