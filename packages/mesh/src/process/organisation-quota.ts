/**
 * Limits each organisation to its rate and burst over all hosts.
 *
 * Handles an organisation that exceeds its rate, and organisations whose callers use some hosts more than others. Each
 * holder (a host that generates tokens for the organisation) generates its fraction of the rate and no other host
 * generates any, so the sum over all hosts stays within rate and burst by construction, even while hosts are
 * partitioned from each other. A host gives tokens that it does not need to a host that does; a token that is lost on
 * the way reduces capacity and never adds any.
 *
 * Only organisations of the active configuration have tokens, at the rate and burst that it names: requests and answers
 * of other hosts may still name an organisation as an older version had it.
 */
import type { Clock } from "@radishrouter/core";
import { decayFactor } from "@radishrouter/core";
import type { Organisation } from "../version/mesh-configuration.js";
import { PhasedLimit } from "./phased-limit.js";
import { QuotaHolderSelection } from "./quota-holders.js";
import type { QuotaHolders } from "./quota-holders.js";
import { QuotaReserve } from "./quota-reserve.js";
import type { QuotaTolerance } from "./quota-reserve.js";
import type { FleetHost } from "./relay-tree.js";
import { Withdrawals } from "./withdrawals.js";

interface Bucket {
    tokens: number;
    /** Time at which the tokens were refilled last. */
    refilledAtMs: number;
    /** Rate and burst of the organisation over all hosts. */
    readonly fleetRate: PhasedLimit;
    readonly fleetBurst: PhasedLimit;
    /** Fraction of the fleet's rate and burst that this host generates. */
    fraction: number;
    /** Rate that was active when the bucket was refilled last. */
    ratePerSecond: number;
    /** Requests per second that arrive at this node, weighted towards the last second. */
    demandPerSecond: number;
    /** Tokens per second that other hosts ask for, weighted in the same way. */
    askedPerSecond: number;
    demandUpdatedAtMs: number;
}

/** Tokens that a host grants to another one. */
export interface TokenGrant {
    readonly granted: number;
    /** Time after which the host expects to have a token for a further request; 0 if it has one. */
    readonly nextTokenInMs: number;
    /** Whether the host generates tokens of the organisation; undefined from nodes that do not say. */
    readonly isGenerating?: boolean;
}

/** Whether a host that has joined has to wait before it generates the tokens of an organisation. */
export interface HandoverState {
    isPending(organisation: string): boolean;
}

const SECOND_MS = 1000;
const DEMAND_HALF_LIFE_MS = 700;
/** Demand that one request adds; a steady demand adds up to its rate. */
const DEMAND_PER_REQUEST = SECOND_MS / DEMAND_HALF_LIFE_MS * Math.LN2;
/** A host keeps the tokens that its local callers are expected to need in this time. */
const LOCAL_RESERVE_MS = 250;
/** A host requests the tokens that its local callers are expected to need in this time. */
const REQUEST_HORIZON_MS = 300;
const MAXIMUM_GRANT = 64;
/** Shortest time until a retry of a refused request; below it, refusals cost more than the tokens are worth. */
const MINIMUM_WAIT_MS = 150;
const NOTHING_GRANTED: TokenGrant = { granted: 0, nextTokenInMs: 0, isGenerating: false };
const NOTHING_TO_HAND_OVER: HandoverState = { isPending: () => false };
const NO_HOLDERS: QuotaHolders = { addresses: [], includesLocalHost: false };

/** An organisation as any version of the configuration has it; its limits are looked up in the active one. */
export type NamedOrganisation = Pick<Organisation, "name">;

/** Token buckets of the organisations, each refilled with the fraction of the fleet's rate that this host generates. */
export class OrganisationQuota {
    private readonly buckets = new Map<string, Bucket>();
    private readonly selection: QuotaHolderSelection;
    private readonly reserve: QuotaReserve;
    private organisations = new Map<string, Organisation>();
    private readonly withdrawals: Withdrawals;
    /**
     * Time since which tokens are due that this host has not generated yet: another process or host may have generated
     * those before, until this process started or the host list changed last.
     */
    private tokensDueSinceMs: number;

    private constructor(
        private readonly clock: Clock,
        localAddress: string,
        hosts: () => readonly FleetHost[],
        private readonly rateReductionMs: number,
        tolerance: QuotaTolerance | undefined,
        private readonly handover: HandoverState,
    ) {
        this.tokensDueSinceMs = clock.nowMs();
        this.withdrawals = Withdrawals.create(clock);
        this.selection = QuotaHolderSelection.create(localAddress, hosts);
        this.reserve = QuotaReserve.create(clock, tolerance);
    }

    /**
     * Creates the quota of the host at `localAddress` in a fleet of `hosts`, which includes that host. A rate that is
     * lowered decreases linearly over `rateReductionMs`. Where an excess is tolerated, hosts that cannot reach any
     * holder have a reserve.
     */
    static create(
        clock: Clock,
        localAddress: string,
        hosts: () => readonly FleetHost[],
        rateReductionMs: number,
        tolerance?: QuotaTolerance,
        handover: HandoverState = NOTHING_TO_HAND_OVER,
    ): OrganisationQuota {
        return new OrganisationQuota(clock, localAddress, hosts, rateReductionMs, tolerance, handover);
    }

    /** Replaces the organisations with the published ones. */
    setOrganisations(organisations: readonly Organisation[]): void {
        const before = this.organisations;
        this.organisations = new Map(organisations.map(organisation => [organisation.name, organisation]));
        this.withdrawals.record(before, this.organisations);
        for (const name of this.buckets.keys()) {
            if (!this.organisations.has(name)) {
                this.buckets.delete(name);
            }
        }
        this.selection.retain(this.organisations);
        this.reserve.retain(this.organisations);
        this.recomputeShares();
    }

    /** Whether an organisation is in the active configuration. */
    isPublished({ name }: NamedOrganisation): boolean {
        return this.organisations.has(name);
    }

    /** Recomputes this host's shares after the host list has changed. */
    updateShares(): void {
        this.tokensDueSinceMs = this.clock.nowMs();
        this.recomputeShares();
    }

    /** Recomputes this host's share of one organisation. */
    updateShareOf(name: string): void {
        const organisation = this.organisations.get(name);
        const bucket = this.buckets.get(name);
        if (organisation && bucket) {
            this.updateShare(organisation, bucket);
        }
    }

    private recomputeShares(): void {
        this.organisations.forEach((_, name) => this.updateShareOf(name));
    }

    /** Hosts that generate tokens for an organisation. */
    holdersOf({ name }: NamedOrganisation): QuotaHolders {
        const organisation = this.organisations.get(name);
        return organisation ? this.selection.holdersOf(organisation) : NO_HOLDERS;
    }

    /** Hosts that have a reserve for an organisation whose holders cannot be reached, in the order to ask them. */
    reservesOf({ name }: NamedOrganisation): readonly string[] {
        const organisation = this.organisations.get(name);
        return organisation ? this.selection.reservesOf(organisation) : [];
    }

    /** Hosts that would generate tokens in place of this host if it were not listed. */
    replacedHolders(name: string): readonly string[] {
        const organisation = this.organisations.get(name);
        return organisation ? this.selection.replacedByLocalHost(organisation) : [];
    }

    /** Counts a request towards the demand of its organisation at this host. */
    recordDemand({ name }: NamedOrganisation): void {
        const bucket = this.bucketOf(name);
        if (bucket) {
            this.decayDemand(bucket);
            bucket.demandPerSecond += DEMAND_PER_REQUEST;
        }
    }

    /** Takes a token for one request; returns false when this host has none, or the organisation is not published. */
    tryTake({ name }: NamedOrganisation): boolean {
        const organisation = this.organisations.get(name);
        if (organisation && organisation.ratePerSecond <= 0) {
            return true;
        }
        const bucket = this.bucketOf(name);
        if (!bucket) {
            return false;
        }
        this.refill(bucket);
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens--;
        return true;
    }

    /** Number of tokens to request from another host while `waiting` requests need one now. */
    wanted({ name }: NamedOrganisation, waiting: number): number {
        const bucket = this.bucketOf(name);
        if (!bucket) {
            return 0;
        }
        this.decayDemand(bucket);
        const expectedShortfall = (bucket.demandPerSecond - bucket.ratePerSecond) * REQUEST_HORIZON_MS / SECOND_MS;
        return Math.min(MAXIMUM_GRANT, Math.max(1, waiting, Math.ceil(expectedShortfall)));
    }

    /** Grants tokens to another host, except those that local callers are expected to need soon. */
    grant(organisationName: string, wanted: number): TokenGrant {
        const bucket = this.bucketOf(organisationName);
        if (!bucket) {
            return NOTHING_GRANTED;
        }
        const isGenerating = bucket.fraction > 0;
        if (!(wanted > 0)) {
            return { ...NOTHING_GRANTED, isGenerating };
        }
        this.refill(bucket);
        this.decayDemand(bucket);
        bucket.askedPerSecond += Math.min(wanted, MAXIMUM_GRANT) * DEMAND_PER_REQUEST;
        const reserved = Math.floor(bucket.demandPerSecond * LOCAL_RESERVE_MS / SECOND_MS);
        const granted = Math.max(0, Math.min(wanted, MAXIMUM_GRANT, Math.floor(bucket.tokens - reserved)));
        bucket.tokens -= granted;
        return { granted, nextTokenInMs: granted > 0 ? 0 : this.nextTokenInMs(bucket), isGenerating };
    }

    /** Grants tokens of the reserve to a host that cannot reach any holder, which may be this host. */
    grantReserve(organisationName: string, wanted: number): TokenGrant {
        const organisation = this.organisations.get(organisationName);
        if (!organisation || !(wanted > 0)) {
            return NOTHING_GRANTED;
        }
        return { granted: this.reserve.take(organisation, Math.min(wanted, MAXIMUM_GRANT)), nextTokenInMs: 0 };
    }

    /** Adds tokens that another host granted after the search for them had ended. */
    receiveLate(organisationName: string, tokens: number): void {
        this.receive({ name: organisationName }, tokens);
    }

    /** Adds tokens that another host granted; those of an organisation that is not published any more are dropped. */
    receive({ name }: NamedOrganisation, tokens: number): void {
        const bucket = this.bucketOf(name);
        if (bucket) {
            this.refill(bucket);
            bucket.tokens += tokens;
        }
    }

    /**
     * Time until a further request is likely to find a token at this host; infinite if it generates none. If demand
     * exceeds the rate, the next tokens are taken by others, so the time grows with the excess.
     */
    expectedWaitMs({ name }: NamedOrganisation): number {
        const bucket = this.bucketOf(name);
        if (!bucket) {
            return Infinity;
        }
        this.refill(bucket);
        this.decayDemand(bucket);
        return this.nextTokenInMs(bucket);
    }

    private nextTokenInMs(bucket: Bucket): number {
        if (bucket.ratePerSecond <= 0) {
            return Infinity;
        }
        const missingMs = (1 - bucket.tokens) / bucket.ratePerSecond * SECOND_MS;
        if (missingMs <= 0) {
            return 0;
        }
        const demandRatio = (bucket.demandPerSecond + bucket.askedPerSecond) / bucket.ratePerSecond;
        return Math.max(MINIMUM_WAIT_MS, missingMs) * Math.max(1, demandRatio);
    }

    /** Bucket of a published organisation; undefined of any other. */
    private bucketOf(name: string): Bucket | undefined {
        const organisation = this.organisations.get(name);
        let bucket = this.buckets.get(name);
        if (!bucket && organisation) {
            // Starts empty, because the process that ran here before, another holder, or the organisation before it was
            // withdrawn may have used the share.
            bucket = {
                tokens: 0,
                refilledAtMs: Math.max(this.tokensDueSinceMs, this.withdrawals.timeOf(name) ?? -Infinity),
                fleetRate: PhasedLimit.create(this.clock, this.rateReductionMs, organisation.ratePerSecond),
                fleetBurst: PhasedLimit.create(this.clock, this.rateReductionMs, organisation.burst),
                fraction: 0,
                ratePerSecond: 0,
                demandPerSecond: 0,
                askedPerSecond: 0,
                demandUpdatedAtMs: this.clock.nowMs(),
            };
            this.setShare(organisation, bucket);
            this.buckets.set(name, bucket);
        }
        return bucket;
    }

    private updateShare(organisation: Organisation, bucket: Bucket): void {
        this.refill(bucket);
        this.setShare(organisation, bucket);
    }

    private setShare(organisation: Organisation, bucket: Bucket): void {
        const { addresses, includesLocalHost } = this.holdersOf(organisation);
        bucket.fleetRate.change(organisation.ratePerSecond);
        bucket.fleetBurst.change(organisation.burst);
        const isGenerating = includesLocalHost && !this.handover.isPending(organisation.name);
        bucket.fraction = isGenerating ? 1 / addresses.length : 0;
        bucket.ratePerSecond = bucket.fleetRate.current() * bucket.fraction;
    }

    /** Generates the tokens that are due; granted tokens beyond the burst are kept until they are used. */
    private refill(bucket: Bucket): void {
        const nowMs = this.clock.nowMs();
        const ratePerSecond = bucket.fleetRate.current() * bucket.fraction;
        const meanRate = (bucket.ratePerSecond + ratePerSecond) / 2;
        const generated = (nowMs - bucket.refilledAtMs) / SECOND_MS * meanRate;
        const burst = bucket.fleetBurst.current() * bucket.fraction;
        bucket.ratePerSecond = ratePerSecond;
        bucket.refilledAtMs = nowMs;
        if (bucket.tokens < burst) {
            bucket.tokens = Math.min(burst, bucket.tokens + generated);
        }
    }

    private decayDemand(bucket: Bucket): void {
        const nowMs = this.clock.nowMs();
        const factor = decayFactor(nowMs - bucket.demandUpdatedAtMs, DEMAND_HALF_LIFE_MS);
        bucket.demandPerSecond *= factor;
        bucket.askedPerSecond *= factor;
        bucket.demandUpdatedAtMs = nowMs;
    }
}
