/**
 * Retries of a root request, shared by its whole call graph.
 */

const KEPT_AT_CALLER = 1;

/**
 * Counts the retries that a request and the calls below it may still use.
 *
 * A part is taken out for each child call and what the child did not use is put back, so that the sum over the call
 * graph never exceeds the budget of the root request.
 */
export class RetryBudget {
    private constructor(private remaining: number) {}

    static create(retries: number): RetryBudget {
        return new RetryBudget(Math.max(0, Math.floor(retries)));
    }

    /** Retries that are left here. */
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

    /** Takes out retries for a child call; all that are left unless fewer are asked for. */
    takePart(retries = this.remaining): number {
        const part = Math.min(this.remaining, Math.max(0, Math.floor(retries)));
        this.remaining -= part;
        return part;
    }

    /**
     * Takes out the retries that go along with a call to another node.
     *
     * One stays here, for when the call is never answered. A repeat of a call that may have run takes all along, since
     * each call that it makes in turn may be a repeat as well and counts as a retry.
     */
    takePartForCall(isRepeat: boolean): number {
        return this.takePart(isRepeat ? this.remaining : this.remaining - KEPT_AT_CALLER);
    }

    /** Puts back retries that a child call did not use. */
    putBack(retries: number): void {
        this.remaining += Math.max(0, Math.floor(retries));
    }
}
