/**
 * Holds organisations to their rate and burst over all hosts.
 *
 * Answers a load of one organisation above its rate, and of organisations whose callers use some hosts more than
 * others. Each holder mints its part of the rate and nobody else mints, so the sum over all hosts holds by
 * construction, also while hosts are cut off from each other. Tokens that a host does not need itself it gives to one
 * that does; a token that is lost on the way is lost capacity, never extra capacity.
 */
import type { Clock } from "@radishrouter/core";
import { decayFactor, highestScoringNames } from "@radishrouter/core";
import type { Organisation } from "../version/mesh-configuration.js";
import { PhasedLimit } from "./phased-limit.js";

interface Bucket {
    tokens: number;
    filledAtMs: number;
    /** Rate and burst of the organisation over all hosts. */
    readonly fleetRate: PhasedLimit;
    readonly fleetBurst: PhasedLimit;
    /** Part of the fleet's rate and burst that this host mints. */
    part: number;
    /** Rate that was in force when the bucket was filled last. */
    ratePerSecond: number;
    /** Requests a second that came to this node, weighted towards the last second. */
    demandPerSecond: number;
    demandAtMs: number;
}

/** Who mints for an organisation, as far as this node knows. */
export interface QuotaHolders {
    /** Host addresses that mint; each an equal part. */
    readonly addresses: readonly string[];
    readonly isOwnHolder: boolean;
}

const SECOND_MS = 1000;
const DEMAND_HALF_LIFE_MS = 700;
/** A host keeps what its own callers will ask for in this time. */
const OWN_RESERVE_MS = 250;
/** A host asks for what its callers will need in this time. */
const WANTED_MS = 300;
const LARGEST_GRANT = 64;

/** Token buckets of the organisations, with the part of the fleet's rate that this host mints. */
export class OrganisationQuota {
    private readonly buckets = new Map<string, Bucket>();
    private readonly holders = new Map<string, QuotaHolders>();
    private organisations = new Map<string, Organisation>();
    private readonly startedAtMs: number;

    private constructor(
        private readonly clock: Clock,
        private readonly ownAddress: string,
        private readonly hosts: () => readonly string[],
        private readonly lowerWithinMs: number,
    ) {
        this.startedAtMs = clock.nowMs();
    }

    /**
     * A quota of the host at `ownAddress` in a fleet of `hosts`, which includes itself. A rate that is lowered goes
     * down within `lowerWithinMs`.
     */
    static create(
        clock: Clock,
        ownAddress: string,
        hosts: () => readonly string[],
        lowerWithinMs: number,
    ): OrganisationQuota {
        return new OrganisationQuota(clock, ownAddress, hosts, lowerWithinMs);
    }

    /** Adopts the published organisations. */
    setOrganisations(organisations: readonly Organisation[]): void {
        this.organisations = new Map(organisations.map(organisation => [organisation.name, organisation]));
        for (const name of this.buckets.keys()) {
            if (!this.organisations.has(name)) {
                this.buckets.delete(name);
            }
        }
        this.updateShares();
    }

    /** Takes over that the list of hosts or the rates have changed. */
    updateShares(): void {
        this.holders.clear();
        for (const [name, bucket] of this.buckets) {
            this.applyShare(this.organisations.get(name)!, bucket);
        }
    }

    /** Hosts that mint for an organisation: all, or as many as its burst has whole tokens. */
    holdersOf(organisation: Organisation): QuotaHolders {
        let holders = this.holders.get(organisation.name);
        if (!holders) {
            const hosts = this.hosts();
            const count = Math.max(1, Math.min(hosts.length, Math.floor(organisation.burst)));
            const addresses = count === hosts.length ? hosts : highestScoringNames(organisation.name, hosts, count);
            holders = { addresses, isOwnHolder: addresses.includes(this.ownAddress) };
            this.holders.set(organisation.name, holders);
        }
        return holders;
    }

    /** Counts a request of an organisation towards its demand at this host. */
    recordDemand(organisation: Organisation): void {
        const bucket = this.bucketOf(organisation);
        this.decayDemand(bucket);
        bucket.demandPerSecond += SECOND_MS / DEMAND_HALF_LIFE_MS * Math.LN2;
    }

    /** Takes a token for one request; false when there is none here. */
    tryTake(organisation: Organisation): boolean {
        if (organisation.ratePerSecond <= 0) {
            return true;
        }
        const bucket = this.bucketOf(organisation);
        this.fill(bucket);
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens--;
        return true;
    }

    /** Tokens to ask another host for, with `waiting` requests that need one now. */
    wanted(organisation: Organisation, waiting: number): number {
        const bucket = this.bucketOf(organisation);
        this.decayDemand(bucket);
        const soon = (bucket.demandPerSecond - bucket.ratePerSecond) * WANTED_MS / SECOND_MS;
        return Math.min(LARGEST_GRANT, Math.max(1, waiting, Math.ceil(soon)));
    }

    /** Gives tokens to another host, as far as the callers of this one do not need them soon. */
    grant(organisationName: string, wanted: number): number {
        const organisation = this.organisations.get(organisationName);
        if (!organisation || !(wanted > 0)) {
            return 0;
        }
        const bucket = this.bucketOf(organisation);
        this.fill(bucket);
        this.decayDemand(bucket);
        const reserved = Math.floor(bucket.demandPerSecond * OWN_RESERVE_MS / SECOND_MS);
        const granted = Math.max(0, Math.min(wanted, LARGEST_GRANT, Math.floor(bucket.tokens - reserved)));
        bucket.tokens -= granted;
        return granted;
    }

    /** Adds tokens that another host gave. */
    receive(organisation: Organisation, tokens: number): void {
        const bucket = this.bucketOf(organisation);
        this.fill(bucket);
        bucket.tokens += tokens;
    }

    /** Time in ms until this host mints the next token; infinite when it mints none. */
    timeToNextTokenMs(organisation: Organisation): number {
        const bucket = this.bucketOf(organisation);
        this.fill(bucket);
        const missing = Math.max(0, 1 - bucket.tokens);
        return bucket.ratePerSecond > 0 ? missing / bucket.ratePerSecond * SECOND_MS : Infinity;
    }

    /** Requests that come to this host for each token that it mints; at least 1. */
    demandRatio(organisation: Organisation): number {
        const bucket = this.bucketOf(organisation);
        this.fill(bucket);
        this.decayDemand(bucket);
        return bucket.ratePerSecond > 0 ? Math.max(1, bucket.demandPerSecond / bucket.ratePerSecond) : 1;
    }

    private bucketOf(organisation: Organisation): Bucket {
        let bucket = this.buckets.get(organisation.name);
        if (!bucket) {
            // The process that ran here before may have used its part, but has minted nothing since this one started.
            bucket = {
                tokens: 0,
                filledAtMs: this.startedAtMs,
                fleetRate: PhasedLimit.create(this.clock, this.lowerWithinMs, organisation.ratePerSecond),
                fleetBurst: PhasedLimit.create(this.clock, this.lowerWithinMs, organisation.burst),
                part: 0,
                ratePerSecond: 0,
                demandPerSecond: 0,
                demandAtMs: this.clock.nowMs(),
            };
            this.setShare(organisation, bucket);
            this.buckets.set(organisation.name, bucket);
        }
        return bucket;
    }

    private applyShare(organisation: Organisation, bucket: Bucket): void {
        this.fill(bucket);
        this.setShare(organisation, bucket);
    }

    private setShare(organisation: Organisation, bucket: Bucket): void {
        const { addresses, isOwnHolder } = this.holdersOf(organisation);
        bucket.fleetRate.change(organisation.ratePerSecond);
        bucket.fleetBurst.change(organisation.burst);
        bucket.part = isOwnHolder ? 1 / addresses.length : 0;
        bucket.ratePerSecond = bucket.fleetRate.current() * bucket.part;
    }

    /** Mints what has become due; tokens above the burst that another host gave are kept until they are used. */
    private fill(bucket: Bucket): void {
        const nowMs = this.clock.nowMs();
        const ratePerSecond = bucket.fleetRate.current() * bucket.part;
        const meanRate = (bucket.ratePerSecond + ratePerSecond) / 2;
        const earned = (nowMs - bucket.filledAtMs) / SECOND_MS * meanRate;
        const burst = bucket.fleetBurst.current() * bucket.part;
        bucket.ratePerSecond = ratePerSecond;
        bucket.filledAtMs = nowMs;
        if (bucket.tokens < burst) {
            bucket.tokens = Math.min(burst, bucket.tokens + earned);
        }
    }

    private decayDemand(bucket: Bucket): void {
        const nowMs = this.clock.nowMs();
        bucket.demandPerSecond *= decayFactor(nowMs - bucket.demandAtMs, DEMAND_HALF_LIFE_MS);
        bucket.demandAtMs = nowMs;
    }
}
