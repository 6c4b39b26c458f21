/**
 * Holds organisations to their rate and burst over all hosts without any message: each node uses its own part.
 */
import type { Clock } from "@radishrouter/core";
import type { Organisation } from "../version/mesh-configuration.js";

/** Answer of a quota. */
export type QuotaDecision = { readonly kind: "within"; } | { readonly kind: "over"; readonly retryAfterMs: number; };

interface Bucket {
    tokens: number;
    filledAtMs: number;
    ratePerSecond: number;
    burst: number;
}

const WITHIN: QuotaDecision = { kind: "within" };
const SECOND_MS = 1000;
const LEAST_BURST = 1;
const RETRY_AFTER_AT_MOST_MS = 2_000;

/** Token buckets by organisation, each with the part of the fleet's rate that belongs to this node. */
export class OrganisationQuota {
    private readonly buckets = new Map<string, Bucket>();

    private constructor(private readonly clock: Clock, private readonly nodeCount: () => number) {}

    /** A quota of a node in a fleet of `nodeCount` nodes. */
    static create(clock: Clock, nodeCount: () => number): OrganisationQuota {
        return new OrganisationQuota(clock, nodeCount);
    }

    /** Takes one request out of the node's part of an organisation's rate. */
    tryTake(organisation: Organisation): QuotaDecision {
        if (organisation.ratePerSecond <= 0) {
            return WITHIN;
        }
        const bucket = this.bucketOf(organisation);
        this.fill(bucket);
        if (bucket.tokens >= 1) {
            bucket.tokens--;
            return WITHIN;
        }
        const untilTokenMs = (1 - bucket.tokens) / bucket.ratePerSecond * SECOND_MS;
        return { kind: "over", retryAfterMs: Math.min(RETRY_AFTER_AT_MOST_MS, untilTokenMs) };
    }

    private bucketOf(organisation: Organisation): Bucket {
        const nodes = Math.max(1, this.nodeCount());
        const ratePerSecond = organisation.ratePerSecond / nodes;
        const burst = Math.max(LEAST_BURST, organisation.burst / nodes);
        let bucket = this.buckets.get(organisation.name);
        if (!bucket) {
            bucket = { tokens: burst, filledAtMs: this.clock.nowMs(), ratePerSecond, burst };
            this.buckets.set(organisation.name, bucket);
        }
        if (bucket.ratePerSecond !== ratePerSecond || bucket.burst !== burst) {
            this.fill(bucket);
            bucket.ratePerSecond = ratePerSecond;
            bucket.burst = burst;
        }
        return bucket;
    }

    private fill(bucket: Bucket): void {
        const nowMs = this.clock.nowMs();
        const earned = (nowMs - bucket.filledAtMs) / SECOND_MS * bucket.ratePerSecond;
        bucket.tokens = Math.min(bucket.burst, bucket.tokens + earned);
        bucket.filledAtMs = nowMs;
    }
}
