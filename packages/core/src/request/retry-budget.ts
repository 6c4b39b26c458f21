/**
 * Retry budget of a root request, shared by its complete call graph.
 */

const RETRIES_KEPT_BY_CALLER = 1;

/**
 * Counts the retries that a request and its downstream calls may still use.
 *
 * Retries are taken out for each child call, and those that the child did not use are put back, so that the sum over
 * the call graph never exceeds the budget of the root request.
 */
export class RetryBudget {
    private constructor(private remaining: number) {}

    static create(retries: number): RetryBudget {
        return new RetryBudget(Math.max(0, Math.floor(retries)));
    }

    /** Retries left in this budget. */
    get left(): number {
        return this.remaining;
    }

    /** Uses one retry if one is left. */
    trySpend(): boolean {
        if (this.remaining < 1) {
            return false;
        }
        this.remaining--;
        return true;
    }

    /** Takes out retries for a child call: all remaining ones, unless fewer are requested. Returns their number. */
    takePart(retries = this.remaining): number {
        const part = Math.min(this.remaining, Math.max(0, Math.floor(retries)));
        this.remaining -= part;
        return part;
    }

    /**
     * Takes out the retries that are sent along with a call to another node. Returns their number.
     *
     * One retry stays with the caller, in case no response arrives. A retry of a call that may have run takes all of
     * them, because each downstream call that it makes may be a retry as well and counts as one.
     */
    takePartForCall(mayHaveRun: boolean): number {
        return this.takePart(mayHaveRun ? this.remaining : this.remaining - RETRIES_KEPT_BY_CALLER);
    }

    /** Puts back retries that a child call did not use. */
    putBack(retries: number): void {
        this.remaining += Math.max(0, Math.floor(retries));
    }
}
