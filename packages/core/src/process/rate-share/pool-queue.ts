/**
 * Requests at a collecting node that wait briefly for the next token.
 */
import type { RateDecision } from "../rate-limiter.js";
import { isOverRate } from "./demand-board.js";
import { retryAfterMs } from "./grant-server.js";
import type { ShareContext } from "./share-context.js";

interface PoolWaiter {
    readonly organisation: string;
    readonly sinceMs: number;
    readonly decide: (decision: RateDecision) => void;
}

const MAXIMUM_WAITERS = 256;

/** Lets requests of organisations that are not known to be over their rate wait; refuses others at once. */
export class PoolQueue {
    private waiters: PoolWaiter[] = [];

    private constructor(private readonly context: ShareContext) {}

    static create(context: ShareContext): PoolQueue {
        return new PoolQueue(context);
    }

    /** Decides about a request for which the pool has no token now. */
    wait(organisation: string): RateDecision | Promise<RateDecision> {
        const refusal = this.createRefusal(organisation);
        const isReady = this.context.guard.readyMs <= this.context.clock.nowMs();
        if (!refusal.withinRate || !isReady || this.waiters.length >= MAXIMUM_WAITERS) {
            return refusal;
        }
        return new Promise(decide => {
            this.waiters.push({ organisation, sinceMs: this.context.clock.nowMs(), decide });
        });
    }

    /** Admits requests for which tokens have come, and refuses those that waited too long. */
    tick(): void {
        const latestMs = this.context.clock.nowMs() - this.context.timings.waitMs;
        const waiters = this.waiters;
        this.waiters = [];
        for (const waiter of waiters) {
            if (this.context.state.settled(waiter.organisation)?.pool.tryTake(1)) {
                waiter.decide({ kind: "admitted" });
            }
            else if (waiter.sinceMs <= latestMs) {
                waiter.decide(this.createRefusal(waiter.organisation));
            }
            else {
                this.waiters.push(waiter);
            }
        }
    }

    /** Refuses the requests that still wait. */
    close(): void {
        for (const waiter of this.waiters.splice(0)) {
            waiter.decide(this.createRefusal(waiter.organisation));
        }
    }

    private createRefusal(organisation: string): RateDecision & { kind: "refused"; } {
        const rate = this.context.state.limitsOf(organisation)?.ratePerSecond ?? 0;
        const perSecond = this.context.demand.ofFleet(organisation);
        return {
            kind: "refused",
            retryAfterMs: retryAfterMs(perSecond, rate),
            withinRate: !isOverRate(perSecond, rate),
        };
    }
}
