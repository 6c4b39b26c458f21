/**
 * Whether the process runs or stops, and what it still has to finish.
 */

/** Counts open requests and tells when the last one has ended. */
export class LifeCycle {
    private stopping = false;
    private openRequests = 0;
    private whenIdle: (() => void) | undefined;

    private constructor() {}

    static create(): LifeCycle {
        return new LifeCycle();
    }

    /** Whether a planned stop has begun. */
    get isStopping(): boolean {
        return this.stopping;
    }

    /** Requests that have not ended. */
    get open(): number {
        return this.openRequests;
    }

    /** Begins a planned stop. */
    stop(): void {
        this.stopping = true;
    }

    /** Counts a request that begins. */
    begin(): void {
        this.openRequests++;
    }

    /** Counts a request that has ended. */
    end(): void {
        this.openRequests--;
        if (this.openRequests === 0) {
            this.whenIdle?.();
        }
    }

    /** Resolves when no request is open. */
    async idle(): Promise<void> {
        if (this.openRequests > 0) {
            await new Promise<void>(resolve => {
                this.whenIdle = resolve;
            });
        }
    }
}
