import { ManualClock } from "@radishrouter/core";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { OrganisationQuota, TokenBroker } from "../index.js";
import type { TokenGrant } from "../index.js";
import { createOrganisation, toFleetHost } from "./example-values.js";

interface SimulatedHost {
    readonly address: string;
    readonly quota: OrganisationQuota;
    readonly broker: TokenBroker;
}

/** Hosts whose brokers call each other directly; `isPartitioned` selects pairs that cannot reach each other. */
function createFleet(
    clock: ManualClock,
    organisation: ReturnType<typeof createOrganisation>,
    count: number,
    isPartitioned: (from: string, to: string) => boolean = () => false,
): SimulatedHost[] {
    const addresses = Array.from({ length: count }, (_, index) => `10.0.0.${index + 1}`);
    const hosts = new Map<string, SimulatedHost>();
    for (const address of addresses) {
        const quota = OrganisationQuota.create(clock, address, () => addresses.map(toFleetHost), 1_000);
        quota.setOrganisations([organisation]);
        const broker = TokenBroker.create({
            clock,
            quota,
            localAddress: address,
            isReachable: other => !isPartitioned(address, other),
            requestTokens: async (other, { organisation: name, wanted, isReserve }) => {
                const { quota: otherQuota } = hosts.get(other)!;
                return isReserve ? otherQuota.grantReserve(name, wanted) : otherQuota.grant(name, wanted);
            },
            random: () => 0.5,
        });
        hosts.set(address, { address, quota, broker });
    }
    hosts.forEach(({ quota }) => quota.tryTake(organisation));
    return [...hosts.values()];
}

async function tryRequest(
    host: SimulatedHost,
    organisation: ReturnType<typeof createOrganisation>,
): Promise<boolean> {
    return (await host.broker.take(organisation)).kind === "within";
}

test("callers at one host get nearly the full rate of their organisation", async () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation({ ratePerSecond: 50, burst: 50 });
    const hosts = createFleet(clock, organisation, 10);
    clock.advance(3_000);
    let within = 0;
    for (let atMs = 0; atMs < 10_000; atMs += 25) {
        within += await tryRequest(hosts[0]!, organisation) ? 1 : 0;
        clock.advance(25);
    }
    assert.ok(within >= 380, `${within} of 400 requests at 40 a second, with a rate of 50`);
});

test("an organisation whose burst is smaller than the number of hosts gets its rate at any host", async () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation({ ratePerSecond: 4, burst: 4 });
    const hosts = createFleet(clock, organisation, 60);
    clock.advance(3_000);
    let within = 0;
    for (let request = 0; request < 60; request++) {
        within += await tryRequest(hosts[request * 7 % hosts.length]!, organisation) ? 1 : 0;
        clock.advance(400);
    }
    assert.ok(within >= 55, `${within} of 60 requests at 2.5 a second, with a rate of 4`);
});

test("the sum over all hosts never exceeds rate and burst, for any requests and any partitioned host", async () => {
    const steps = fastCheck.array(
        fastCheck.record({
            host: fastCheck.nat(4),
            requests: fastCheck.integer({ min: 1, max: 40 }),
            pauseMs: fastCheck.integer({ min: 0, max: 400 }),
            partitionedHost: fastCheck.nat(9),
        }),
        { minLength: 1, maxLength: 60 },
    );
    await fastCheck.assert(
        fastCheck.asyncProperty(steps, async schedule => {
            const clock = ManualClock.create();
            const organisation = createOrganisation({ ratePerSecond: 20, burst: 10 });
            let partitionedHost = -1;
            const isPartitioned = (from: string, to: string) => [from, to].includes(`10.0.0.${partitionedHost + 1}`);
            const hosts = createFleet(clock, organisation, 5, isPartitioned);
            let within = 0;
            for (const step of schedule) {
                partitionedHost = step.partitionedHost;
                for (let request = 0; request < step.requests; request++) {
                    within += await tryRequest(hosts[step.host]!, organisation) ? 1 : 0;
                }
                clock.advance(step.pauseMs);
                const allowed = organisation.ratePerSecond * clock.nowMs() / 1000 + organisation.burst;
                assert.ok(within <= allowed, `${within} within ${clock.nowMs()} ms, allowed ${allowed}`);
            }
        }),
        { numRuns: 100, seed: 7 },
    );
});

test("a process starts without the tokens of the process before it", async () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation();
    const quota = OrganisationQuota.create(clock, "10.0.0.1", () => ["10.0.0.1"].map(toFleetHost), 1_000);
    quota.setOrganisations([organisation]);
    assert.equal(quota.tryTake(organisation), false);
    clock.advance(20);
    assert.equal(quota.tryTake(organisation), true);
});

test("a host that takes over from a holder generates tokens from then on, not those of the time before", () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation({ ratePerSecond: 8, burst: 8 });
    let hosts = ["10.0.0.1", "10.0.0.2"].map(toFleetHost);
    const [successor, holder] = createPair(clock, organisation, () => hosts);
    clock.advance(60_000);
    let admitted = 0;
    while (holder.quota.tryTake(organisation)) {
        admitted++;
    }
    hosts = hosts.filter(({ address }) => address === successor.address);
    successor.quota.updateShares();
    while (successor.quota.tryTake(organisation)) {
        admitted++;
    }
    assert.equal(admitted, 8, "the burst is not there twice");
    clock.advance(1_000);
    assert.equal(successor.quota.tryTake(organisation), true);
});

/** Quotas of two hosts: one that generates no tokens for an organisation, and one that does. */
function createPair(
    clock: ManualClock,
    organisation: ReturnType<typeof createOrganisation>,
    hosts: () => ReturnType<typeof toFleetHost>[],
): readonly [Pick<SimulatedHost, "address" | "quota">, Pick<SimulatedHost, "address" | "quota">] {
    const pair = hosts().map(({ address }) => {
        const quota = OrganisationQuota.create(clock, address, hosts, 1_000);
        quota.setOrganisations([organisation]);
        return { address, quota };
    });
    const isHolder = ({ quota }: { quota: OrganisationQuota; }) => quota.holdersOf(organisation).includesLocalHost;
    return [pair.find(host => !isHolder(host))!, pair.find(isHolder)!];
}

test("a host does not grant tokens that its local callers need", () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation({ ratePerSecond: 20, burst: 20 });
    const quota = OrganisationQuota.create(clock, "10.0.0.1", () => ["10.0.0.1", "10.0.0.2"].map(toFleetHost), 1_000);
    quota.setOrganisations([organisation]);
    quota.tryTake(organisation);
    clock.advance(1_000);
    for (let request = 0; request < 20; request++) {
        quota.recordDemand(organisation);
    }
    const { granted } = quota.grant("archive", 64);
    assert.ok(granted > 0 && granted <= 6, `${granted} of 10 tokens with a demand of about 20 a second`);
    assert.equal(quota.grant("unknown", 5).granted, 0);
    assert.equal(quota.grant("archive", Number.NaN).granted, 0);
});

test("requests that arrive while tokens are on their way are not refused for the tokens that were asked for before", async () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation({ ratePerSecond: 100, burst: 8 });
    const hosts = ["10.0.0.1", "10.0.0.2"].map(toFleetHost);
    const quota = OrganisationQuota.create(clock, "10.0.0.1", () => hosts, 1_000);
    quota.setOrganisations([organisation]);
    const holder = quota.holdersOf(organisation).addresses[0]!;
    const localAddress = holder === "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    const asking = OrganisationQuota.create(clock, localAddress, () => hosts, 1_000);
    asking.setOrganisations([organisation]);
    const replies: (() => void)[] = [];
    const broker = TokenBroker.create({
        clock,
        quota: asking,
        localAddress,
        isReachable: () => true,
        requestTokens: (_, { wanted }) =>
            new Promise(resolve => {
                replies.push(() => resolve({ granted: wanted, nextTokenInMs: 0 }));
            }),
    });
    const decisions: string[] = [];
    const take = async () => void decisions.push((await broker.take(organisation)).kind);
    void take();
    await new Promise(resolve => setImmediate(resolve));
    for (let request = 0; request < 20; request++) {
        void take();
    }
    while (replies.length > 0) {
        replies.shift()!();
        await new Promise(resolve => setImmediate(resolve));
    }
    assert.equal(decisions.length, 21);
    assert.ok(decisions.every(kind => kind === "within"), decisions.join());
});

test("an organisation without a rate is not limited", async () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation({ ratePerSecond: 0, burst: 0 });
    const [host] = createFleet(clock, organisation, 1);
    assert.equal(await tryRequest(host!, organisation), true);
});

const EXCESS_RATE = 40;
const EXCESS_DURATION_MS = 20_000;

interface WaitingCaller {
    readonly firstTriedAtMs: number;
    readonly retriesAtMs: number;
}

/** Plays callers far above the rate that come back when they are told to, each time at the next host. */
async function playExcess(hostCount: number, burst: number): Promise<{ served: number; refusalsPerRequest: number; }> {
    const clock = ManualClock.create();
    const organisation = createOrganisation({ ratePerSecond: EXCESS_RATE, burst });
    const hosts = createFleet(clock, organisation, hostCount);
    const callerTimeoutMs = 6_000;
    let callers: WaitingCaller[] = [];
    let requests = 0;
    let tries = 0;
    let served = 0;
    let refusals = 0;
    const sendRequest = async (firstTriedAtMs: number) => {
        const decision = await hosts[tries++ % hostCount]!.broker.take(organisation);
        const retriesAtMs = clock.nowMs() + (decision.kind === "over" ? decision.retryAfterMs : 0);
        served += decision.kind === "within" ? 1 : 0;
        refusals += decision.kind === "over" ? 1 : 0;
        if (decision.kind === "over" && retriesAtMs < firstTriedAtMs + callerTimeoutMs) {
            callers.push({ firstTriedAtMs, retriesAtMs });
        }
    };
    const startMs = clock.nowMs();
    while (clock.nowMs() < startMs + EXCESS_DURATION_MS) {
        const due = callers.filter(caller => caller.retriesAtMs <= clock.nowMs());
        callers = callers.filter(caller => caller.retriesAtMs > clock.nowMs());
        for (const caller of due) {
            await sendRequest(caller.firstTriedAtMs);
        }
        requests++;
        await sendRequest(clock.nowMs());
        clock.advance(5);
    }
    return { served, refusalsPerRequest: refusals / requests };
}

for (const [hostCount, burst] of [[1, 40], [13, 40], [13, 8]] as const) {
    test(`callers far above the rate at ${hostCount} hosts retry seldom, and the full rate is used (burst ${burst})`, async () => {
        const { served, refusalsPerRequest } = await playExcess(hostCount, burst);
        assert.ok(served >= 0.98 * EXCESS_RATE * EXCESS_DURATION_MS / 1_000, `${served} served`);
        assert.ok(refusalsPerRequest <= 4, `${refusalsPerRequest} refusals for each request`);
    });
}

// Guards against a bucket that is brought back by an answer that arrives after its organisation was withdrawn: each change of
// the host list raised an error from then on.
test("tokens that arrive after their organisation was withdrawn bring nothing back", () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation();
    const quota = OrganisationQuota.create(clock, "10.0.0.1", () => ["10.0.0.1"].map(toFleetHost), 1_000);
    quota.setOrganisations([organisation]);
    quota.recordDemand(organisation);
    quota.setOrganisations([]);
    quota.recordDemand(organisation);
    quota.wanted(organisation, 3);
    quota.receive(organisation, 5);
    quota.receiveLate(organisation.name, 5);
    assert.equal(quota.tryTake(organisation), false);
    assert.equal(quota.expectedWaitMs(organisation), Infinity);
    quota.updateShares();
    quota.setOrganisations([organisation]);
    assert.equal(quota.tryTake(organisation), false, "the tokens of before are gone");
});

/** Asks a holder that gives `answer` after `whileAsked` has run. */
async function takeWhileAsked(
    organisation: ReturnType<typeof createOrganisation>,
    whileAsked: (quota: OrganisationQuota) => void,
    answer: TokenGrant = { granted: 0, nextTokenInMs: 200 },
): Promise<{ readonly quota: OrganisationQuota; readonly decision: Awaited<ReturnType<TokenBroker["take"]>>; }> {
    const clock = ManualClock.create();
    const hosts = ["10.0.0.1", "10.0.0.2"].map(toFleetHost);
    const [asking] = createPair(clock, organisation, () => hosts);
    const broker = TokenBroker.create({
        clock,
        quota: asking.quota,
        localAddress: asking.address,
        isReachable: () => true,
        requestTokens: async () => {
            whileAsked(asking.quota);
            return answer;
        },
    });
    return { quota: asking.quota, decision: await broker.take(organisation) };
}

test("a request whose organisation is withdrawn while its tokens are asked for is not told to come back", async () => {
    const organisation = createOrganisation({ burst: 8 });
    const { quota, decision } = await takeWhileAsked(organisation, quota => quota.setOrganisations([]));
    assert.deepEqual(decision, { kind: "withdrawn" });
    quota.updateShares();
});

test("a request whose organisation loses its limit while its tokens are asked for is within it", async () => {
    const organisation = createOrganisation({ burst: 8 });
    const { decision } = await takeWhileAsked(
        organisation,
        quota => quota.setOrganisations([createOrganisation({ ratePerSecond: 0, burst: 0 })]),
    );
    assert.deepEqual(decision, { kind: "within" });
});

test("an organisation that is withdrawn and published again does not get its burst again", () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation({ ratePerSecond: 10, burst: 10 });
    const quota = OrganisationQuota.create(clock, "10.0.0.1", () => ["10.0.0.1"].map(toFleetHost), 1_000);
    quota.setOrganisations([organisation]);
    clock.advance(60_000);
    let admitted = 0;
    for (let version = 0; version < 20; version++) {
        while (quota.tryTake(organisation)) {
            admitted++;
        }
        quota.setOrganisations([]);
        clock.advance(50);
        quota.setOrganisations([organisation]);
        clock.advance(50);
    }
    assert.ok(admitted <= 10 + 20, `${admitted} admitted in 2 s at 10 a second and a burst of 10`);
});

test("tokens of a host that generates none any more are used", async () => {
    const organisation = createOrganisation({ burst: 8 });
    const answer = { granted: 2, nextTokenInMs: 0, isGenerating: false };
    const { decision } = await takeWhileAsked(organisation, () => undefined, answer);
    assert.deepEqual(decision, { kind: "within" });
});
