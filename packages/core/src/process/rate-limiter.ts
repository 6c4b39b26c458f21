/**
 * Admits or refuses requests so that each organisation stays within its fleet-wide rate.
 */
import type { ConfigurationVersion } from "../version/configuration-version.js";
import type { Clock } from "./clock.js";
import { DemandTracker, isOverRate } from "./rate-share/demand-tracker.js";
import { TokenBucket } from "./token-bucket.js";

/** Result of the rate check of one request. */
export type RateDecision =
    | { readonly kind: "admitted"; }
    | {
        readonly kind: "refused";
        readonly retryAfterMs: number;
        /** Whether no demand that this node knows of shows the organisation over its rate. */
        readonly withinRate: boolean;
    };

/** Limits the request rate of each organisation. */
export interface RateLimiter {
    /** Admits or refuses one request of an organisation. */
    acquire(organisation: string): Promise<RateDecision>;
    /** Applies the limits of a configuration version. */
    setConfiguration(version: ConfigurationVersion): void;
    /** Milliseconds until this process may generate tokens for its seat; 0 if it already may. */
    readyInMs(): number;
    /** Stops admitting requests and returns borrowed shares; messages that it sends must still be delivered. */
    close(): void;
}

/**
 * Gives each seat a fixed share of every rate and burst.
 *
 * Never exceeds the fleet-wide rate, but refuses requests within it when they enter through only a few nodes.
 */
export class StaticShareLimiter implements RateLimiter {
    private readonly buckets = new Map<string, TokenBucket>();
    private version: ConfigurationVersion | undefined;

    private readonly demand: DemandTracker;

    private constructor(private readonly clock: Clock) {
        this.demand = DemandTracker.create(clock);
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
            retryAfterMs: bucket.timeUntilAvailableMs(),
            withinRate: !isOverRate(this.demand.nodeDemand(organisation), rate),
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
