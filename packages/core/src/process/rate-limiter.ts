/**
 * Admission of requests within the rate of their organisation, counted over all hosts.
 */
import type { ConfigurationVersion } from "../version/configuration-version.js";
import type { Clock } from "./clock.js";
import { DemandBoard, isOverRate } from "./rate-share/demand-board.js";
import { TokenBucket } from "./token-bucket.js";

/** Whether a request is within the rate of its organisation. */
export type RateDecision =
    | { readonly kind: "admitted"; }
    | {
        readonly kind: "refused";
        readonly retryAfterMs: number;
        /** Whether nothing that the node knows shows that the organisation is over its rate. */
        readonly withinRate: boolean;
    };

/** Admits requests of organisations. */
export interface RateLimiter {
    /** Decides about one request of an organisation. */
    acquire(organisation: string): Promise<RateDecision>;
    /** Puts the limits of a configuration version in force. */
    setConfiguration(version: ConfigurationVersion): void;
    /** Milliseconds until the seat of this process may mint; 0 when it does. */
    readyInMs(): number;
    /** Admits nothing more and gives back what was borrowed; messages sent by it still have to go out. */
    close(): void;
}

/**
 * Gives each seat a fixed share of every rate and burst.
 *
 * Holds the fleet-wide rate by construction, but refuses requests within the rate when they come through few nodes.
 */
export class StaticShareLimiter implements RateLimiter {
    private readonly buckets = new Map<string, TokenBucket>();
    private version: ConfigurationVersion | undefined;

    private readonly demand: DemandBoard;

    private constructor(private readonly clock: Clock) {
        this.demand = DemandBoard.create(clock);
    }

    static create(clock: Clock): StaticShareLimiter {
        return new StaticShareLimiter(clock);
    }

    readyInMs(): number {
        return 0;
    }

    close(): void {
        this.buckets.clear();
        this.version = undefined;
    }

    setConfiguration(version: ConfigurationVersion): void {
        this.version = version;
        for (const [name, bucket] of this.buckets) {
            const organisation = version.configuration.organisations[name];
            if (!organisation) {
                this.buckets.delete(name);
                continue;
            }
            bucket.setLimits(organisation.rate / version.shareCount, organisation.burst / version.shareCount);
        }
    }

    async acquire(organisation: string): Promise<RateDecision> {
        const bucket = this.bucketOf(organisation);
        if (!bucket) {
            return { kind: "refused", retryAfterMs: 1000, withinRate: false };
        }
        this.demand.count(organisation);
        if (bucket.tryTake()) {
            return { kind: "admitted" };
        }
        const rate = this.version?.configuration.organisations[organisation]?.rate ?? 0;
        return {
            kind: "refused",
            retryAfterMs: bucket.waitMs(),
            withinRate: !isOverRate(this.demand.ofNode(organisation), rate),
        };
    }

    private bucketOf(organisation: string): TokenBucket | undefined {
        const existing = this.buckets.get(organisation);
        const limits = this.version?.configuration.organisations[organisation];
        if (existing || !limits || !this.version) {
            return existing;
        }
        const bucket = TokenBucket.create(this.clock, {
            ratePerSecond: limits.rate / this.version.shareCount,
            burst: Math.max(1, limits.burst / this.version.shareCount),
            initialTokens: 0,
        });
        this.buckets.set(organisation, bucket);
        return bucket;
    }
}
