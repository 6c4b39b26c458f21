/**
 * Requests that wait briefly for the next token at the collector of their organisation.
 */
import type { RateDecision } from "../rate-limiter.js";
import { isOverRate } from "./demand-tracker.js";
import { computeRetryAfterMs } from "./grant-server.js";
import type { ShareContext } from "./share-context.js";

interface WaitingRequest {
    readonly organisation: string;
    readonly waitingSinceMs: number;
    readonly decide: (decision: RateDecision) => void;
}

const MAXIMUM_WAITING_REQUESTS = 256;

/** Queues requests of organisations not known to be over their rate, and refuses other requests at once. */
export class TokenWaitQueue {
    private waitingRequests: WaitingRequest[] = [];

    private constructor(private readonly context: ShareContext) {}

    static create(context: ShareContext): TokenWaitQueue {
        return new TokenWaitQueue(context);
    }

    /** Queues or refuses a request for which the pool has no token. */
    wait(organisation: string): RateDecision | Promise<RateDecision> {
        const refusal = this.createRefusal(organisation);
        const isReady = this.context.guard.readyAtMs <= this.context.clock.nowMs();
        if (!refusal.withinRate || !isReady || this.waitingRequests.length >= MAXIMUM_WAITING_REQUESTS) {
            return refusal;
        }
        return new Promise(decide => {
            this.waitingRequests.push({ organisation, waitingSinceMs: this.context.clock.nowMs(), decide });
        });
    }

    /** Admits requests for which tokens are available now, and refuses those that have waited too long. */
    tick(): void {
        const latestMs = this.context.clock.nowMs() - this.context.timings.maximumWaitMs;
        const queued = this.waitingRequests;
        this.waitingRequests = [];
        for (const request of queued) {
            if (this.context.state.refilledShare(request.organisation)?.pool.tryTake(1)) {
                request.decide({ kind: "admitted" });
            }
            else if (request.waitingSinceMs <= latestMs) {
                request.decide(this.createRefusal(request.organisation));
            }
            else {
                this.waitingRequests.push(request);
            }
        }
    }

    /** Refuses all requests that are still waiting. */
    close(): void {
        for (const request of this.waitingRequests.splice(0)) {
            request.decide(this.createRefusal(request.organisation));
        }
    }

    private createRefusal(organisation: string): RateDecision & { kind: "refused"; } {
        const rate = this.context.state.limitsOf(organisation)?.ratePerSecond ?? 0;
        const perSecond = this.context.demand.fleetDemand(organisation);
        return {
            kind: "refused",
            retryAfterMs: computeRetryAfterMs(perSecond, rate),
            withinRate: !isOverRate(perSecond, rate),
        };
    }
}
