/**
 * Plays the load of whole fleets on the quotas: callers of few or many organisations, of very different sizes, at hosts
 * chosen at random. What one token bucket for the whole fleet would admit beyond what the fleet admits is refused wrongly.
 */
import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { OrganisationQuota, TokenBroker } from "../index.js";
import type { Organisation } from "../index.js";
import { QuotaHosts } from "../process/quota-hosts.js";
import type { FleetHost } from "../process/relay-tree.js";
import { createOrganisation } from "./example-values.js";
import { assertWithinTolerance, TOLERANCE } from "./quota-tolerance.js";

interface FleetShape {
    readonly hosts: number;
    readonly failureDomains: number;
    readonly organisations: number;
    readonly requestsPerSecond: number;
}

/** Creates the hosts that count at one host of the fleet. */
type HostListAt = (
    clock: ManualClock,
    allHosts: readonly FleetHost[],
    onExpired: () => void,
) => () => readonly FleetHost[];

interface PlayedLoad {
    readonly requests: number;
    readonly refusedWrongly: number;
    /** Highest number of tokens by which an organisation exceeded its rate and burst. */
    readonly excess: number;
}

const SECOND_MS = 1_000;
const TICK_MS = 10;
const WARM_UP_MS = 3_000;
const DURATION_MS = 20_000;
/** Rate of an organisation as a multiple of its usual demand. */
const RATE_HEADROOM = 1.6;
const MAXIMUM_REFUSED_WRONGLY = 0.01;

const shapes: readonly FleetShape[] = [
    { hosts: 13, failureDomains: 3, organisations: 8, requestsPerSecond: 350 },
    { hosts: 67, failureDomains: 4, organisations: 76, requestsPerSecond: 1_300 },
    { hosts: 195, failureDomains: 5, organisations: 140, requestsPerSecond: 650 },
    { hosts: 26, failureDomains: 5, organisations: 140, requestsPerSecond: 22 },
];

/** Pseudo-random numbers from 0 to 1 that are the same in each run. */
function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = Math.imul(state ^ (state >>> 15), 0x2c1b3c6d) + 0x9e3779b9 | 0;
        return ((state ^ (state >>> 13)) >>> 0) / 2 ** 32;
    };
}

/** Organisations whose demand falls with their position: a few are large, most are small. */
function createOrganisations({ organisations, requestsPerSecond }: FleetShape): Organisation[] {
    const weights = Array.from({ length: organisations }, (_, index) => 1 / (index + 1));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return weights.map((weight, index) => {
        const rate = Math.max(1, Math.round(requestsPerSecond * RATE_HEADROOM * weight / total));
        return createOrganisation({ name: `organisation-${index}`, ratePerSecond: rate, burst: rate });
    });
}

class QuotaFleet {
    readonly clock = ManualClock.create();
    private readonly addresses: string[];
    private readonly quotas = new Map<string, OrganisationQuota>();
    private readonly brokers = new Map<string, TokenBroker>();

    constructor(
        private readonly shape: FleetShape,
        organisations: readonly Organisation[],
        random: () => number,
        isCut: (from: number, to: number) => boolean = () => false,
        listAt?: HostListAt,
    ) {
        this.addresses = Array.from({ length: shape.hosts }, (_, index) => `10.0.${index >> 7}.${index & 127}`);
        const fleetHosts = this.addresses.map((address, index) => ({
            address,
            failureDomain: `domain-${index % shape.failureDomains}`,
        }));
        for (const address of this.addresses) {
            const hosts = listAt?.(this.clock, fleetHosts, () => quota.updateShares()) ?? (() => fleetHosts);
            const quota: OrganisationQuota = OrganisationQuota.create(this.clock, address, hosts, SECOND_MS, TOLERANCE);
            quota.setOrganisations(organisations);
            this.quotas.set(address, quota);
            this.brokers.set(
                address,
                TokenBroker.create({
                    clock: this.clock,
                    quota,
                    localAddress: address,
                    isReachable: other => !isCut(this.addresses.indexOf(address), this.addresses.indexOf(other)),
                    requestTokens: async (other, { organisation, wanted, isReserve }) => {
                        const quotaThere = this.quotas.get(other)!;
                        return isReserve ?
                            quotaThere.grantReserve(organisation, wanted) :
                            quotaThere.grant(organisation, wanted);
                    },
                    random,
                }),
            );
        }
    }

    /** Lets all hosts follow a change of the list. */
    updateShares(): void {
        this.quotas.forEach(quota => quota.updateShares());
    }

    /** Failure domain of a host by its position. */
    domainOf(host: number): number {
        return host % this.shape.failureDomains;
    }

    async take(host: number, organisation: Organisation): Promise<boolean> {
        const decision = await this.brokers.get(this.addresses[host]!)!.take(organisation);
        return decision.kind === "within";
    }
}

/** One token bucket for the whole fleet. */
class CentralBucket {
    private tokens: number;

    constructor(private readonly organisation: Organisation) {
        this.tokens = organisation.burst;
    }

    refill(): void {
        const { ratePerSecond, burst } = this.organisation;
        this.tokens = Math.min(burst, this.tokens + ratePerSecond * TICK_MS / SECOND_MS);
    }

    tryTake(): boolean {
        const isAdmitted = this.tokens >= 1;
        this.tokens -= isAdmitted ? 1 : 0;
        return isAdmitted;
    }
}

/** Plays callers whose demand is `demandFactor` times the usual one. */
async function play(shape: FleetShape, demandFactor: number): Promise<PlayedLoad> {
    const random = createRandom(shape.hosts);
    const organisations = createOrganisations(shape);
    const fleet = new QuotaFleet(shape, organisations, random);
    const central = new Map(organisations.map(organisation => [organisation, new CentralBucket(organisation)]));
    const admitted = new Map(organisations.map(organisation => [organisation, 0]));
    const owed = new Map(organisations.map(organisation => [organisation, 0]));
    let requests = 0;
    fleet.clock.advance(WARM_UP_MS);
    for (let atMs = 0; atMs < DURATION_MS; atMs += TICK_MS) {
        for (const organisation of organisations) {
            central.get(organisation)!.refill();
            const expected = organisation.ratePerSecond / RATE_HEADROOM * demandFactor * TICK_MS / SECOND_MS;
            for (let due = expected; due > 0; due--) {
                if (random() >= due) {
                    continue;
                }
                requests++;
                const isAdmitted = await fleet.take(Math.floor(random() * shape.hosts), organisation);
                const isWithin = central.get(organisation)!.tryTake();
                admitted.set(organisation, admitted.get(organisation)! + (isAdmitted ? 1 : 0));
                owed.set(organisation, owed.get(organisation)! + (isWithin ? 1 : 0));
            }
        }
        fleet.clock.advance(TICK_MS);
    }
    const seconds = (DURATION_MS + WARM_UP_MS) / SECOND_MS;
    const excess = Math.max(
        ...organisations.map(organisation =>
            admitted.get(organisation)! - organisation.ratePerSecond * seconds - organisation.burst
        ),
    );
    const refusedWrongly = organisations
        .map(organisation => Math.max(0, owed.get(organisation)! - admitted.get(organisation)!))
        .reduce((sum, count) => sum + count, 0);
    return { requests, refusedWrongly, excess };
}

for (const shape of shapes) {
    const name = `${shape.organisations} organisations on ${shape.hosts} hosts`;
    test(`${name}: callers within their rates are not refused, wherever they call`, async () => {
        const { requests, refusedWrongly, excess } = await play(shape, 1);
        assert.ok(
            refusedWrongly <= MAXIMUM_REFUSED_WRONGLY * requests,
            `${refusedWrongly} of ${requests} requests are refused although they are within the rate`,
        );
        assert.ok(excess <= 0, `${excess} tokens too many`);
    });

    test(`${name}: callers above their rates get the rates, and no more`, async () => {
        const { requests, refusedWrongly, excess } = await play(shape, 3);
        assert.ok(
            refusedWrongly <= 3 * MAXIMUM_REFUSED_WRONGLY * requests,
            `${refusedWrongly} of ${requests} requests are refused although they are within the rate`,
        );
        assert.ok(excess <= 0, `${excess} tokens too many`);
    });
}

test("while a failure domain is cut off, callers of small organisations are served on both sides", async () => {
    const shape = { hosts: 60, failureDomains: 5, organisations: 60, requestsPerSecond: 80 };
    const random = createRandom(5);
    const organisation = createOrganisation({ name: "small", ratePerSecond: 3, burst: 3 });
    let isPartitioned = false;
    const fleet: QuotaFleet = new QuotaFleet(
        shape,
        [organisation],
        random,
        (from, to) => isPartitioned && (from % shape.failureDomains === 0) !== (to % shape.failureDomains === 0),
    );
    fleet.clock.advance(WARM_UP_MS);
    isPartitioned = true;
    const admittedAtMs: number[] = [];
    const results = { cutOff: { asked: 0, admitted: 0 }, others: { asked: 0, admitted: 0 } };
    const intervalMs = 550;
    for (let request = 0; request < 80; request++) {
        const host = Math.floor(random() * shape.hosts);
        const side = fleet.domainOf(host) === 0 ? results.cutOff : results.others;
        const isAdmitted = await fleet.take(host, organisation);
        side.asked++;
        side.admitted += isAdmitted ? 1 : 0;
        if (isAdmitted) {
            admittedAtMs.push(fleet.clock.nowMs());
        }
        fleet.clock.advance(intervalMs);
    }
    for (const { asked, admitted } of [results.cutOff, results.others]) {
        assert.ok(admitted >= 0.9 * asked, `${admitted} of ${asked} on one side, at 1.8 a second with a rate of 3`);
    }
});

test("both sides of a partition together stay within the excess that is tolerated", async () => {
    const shape = { hosts: 60, failureDomains: 5, organisations: 1, requestsPerSecond: 100 };
    for (const ratePerSecond of [1, 3, 12, 40]) {
        const random = createRandom(ratePerSecond);
        const organisation = createOrganisation({ name: "small", ratePerSecond, burst: ratePerSecond });
        const fleet = new QuotaFleet(
            shape,
            [organisation],
            random,
            (from, to) => (from % shape.failureDomains === 0) !== (to % shape.failureDomains === 0),
        );
        const admittedAtMs: number[] = [];
        for (let atMs = 0; atMs < DURATION_MS; atMs += TICK_MS) {
            if (await fleet.take(Math.floor(random() * shape.hosts), organisation)) {
                admittedAtMs.push(atMs);
            }
            fleet.clock.advance(TICK_MS);
        }
        assertWithinTolerance(admittedAtMs, organisation);
    }
});

test("hosts whose entries lapse behind a cut, and the others, together stay within the excess that is tolerated", async () => {
    const shape = { hosts: 13, failureDomains: 3, organisations: 1, requestsPerSecond: 800 };
    const cutHosts = new Set([3, 6, 8, 10, 11]);
    const organisation = createOrganisation({ name: "large", ratePerSecond: 270, burst: 270 });
    const random = createRandom(13);
    let isPartitioned = false;
    const silent = new Set<FleetHost>();
    const quotaHosts: QuotaHosts[] = [];
    const listAt: HostListAt = (clock, allHosts, onExpired) => {
        let listed = allHosts;
        const hosts = QuotaHosts.create(clock, () => {
            listed = listed.some(host => silent.has(host)) ? listed.filter(host => !silent.has(host)) : listed;
            return listed;
        }, onExpired);
        quotaHosts.push(hosts);
        lapse = () => allHosts.filter((_, index) => cutHosts.has(index)).forEach(host => silent.add(host));
        return () => hosts.hosts;
    };
    let lapse: () => void = () => undefined;
    const isCut = (from: number, to: number) => isPartitioned && cutHosts.has(from) !== cutHosts.has(to);
    const fleet = new QuotaFleet(shape, [organisation], random, isCut, listAt);
    const admittedAtMs: number[] = [];
    for (let atMs = 0; atMs < DURATION_MS; atMs += TICK_MS) {
        isPartitioned ||= atMs === 5_000;
        if (atMs === 8_100) {
            lapse();
            quotaHosts.forEach(hosts => silent.forEach(host => hosts.recordSilent(host)));
            fleet.updateShares();
        }
        for (let request = 0; request < shape.requestsPerSecond * TICK_MS / SECOND_MS; request++) {
            if (await fleet.take(Math.floor(random() * shape.hosts), organisation)) {
                admittedAtMs.push(atMs);
            }
        }
        fleet.clock.advance(TICK_MS);
    }
    assertWithinTolerance(admittedAtMs, organisation);
    assert.ok(admittedAtMs.length > 0.9 * organisation.ratePerSecond * DURATION_MS / SECOND_MS);
});
