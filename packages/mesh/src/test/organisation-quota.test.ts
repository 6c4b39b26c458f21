import { ManualClock } from "@radishrouter/core";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { OrganisationQuota, TokenBroker } from "../index.js";
import { createOrganisation } from "./example-values.js";

interface SimulatedHost {
    readonly address: string;
    readonly quota: OrganisationQuota;
    readonly broker: TokenBroker;
}

/** Hosts whose brokers ask each other directly; `isCut` names pairs that cannot reach each other. */
function createFleet(
    clock: ManualClock,
    organisation: ReturnType<typeof createOrganisation>,
    count: number,
    isCut: (from: string, to: string) => boolean = () => false,
): SimulatedHost[] {
    const addresses = Array.from({ length: count }, (_, index) => `10.0.0.${index + 1}`);
    const hosts = new Map<string, SimulatedHost>();
    for (const address of addresses) {
        const quota = OrganisationQuota.create(clock, address, () => addresses, 1_000);
        quota.setOrganisations([organisation]);
        const broker = TokenBroker.create({
            clock,
            quota,
            ownAddress: address,
            isReachable: other => !isCut(address, other),
            requestTokens: async (other, name, wanted) => hosts.get(other)!.quota.grant(name, wanted),
            random: () => 0.5,
        });
        hosts.set(address, { address, quota, broker });
    }
    hosts.forEach(({ quota }) => quota.tryTake(organisation));
    return [...hosts.values()];
}

async function offer(host: SimulatedHost, organisation: ReturnType<typeof createOrganisation>): Promise<boolean> {
    return (await host.broker.take(organisation)).kind === "within";
}

test("callers at one host get nearly the whole rate of their organisation", async () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation({ ratePerSecond: 50, burst: 50 });
    const hosts = createFleet(clock, organisation, 10);
    clock.advance(3_000);
    let within = 0;
    for (let atMs = 0; atMs < 10_000; atMs += 25) {
        within += await offer(hosts[0]!, organisation) ? 1 : 0;
        clock.advance(25);
    }
    assert.ok(within >= 380, `${within} of 400 requests at 40 a second, with a rate of 50`);
});

test("an organisation with less burst than there are hosts gets its rate at any host", async () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation({ ratePerSecond: 4, burst: 4 });
    const hosts = createFleet(clock, organisation, 60);
    clock.advance(3_000);
    let within = 0;
    for (let request = 0; request < 60; request++) {
        within += await offer(hosts[request * 7 % hosts.length]!, organisation) ? 1 : 0;
        clock.advance(400);
    }
    assert.ok(within >= 55, `${within} of 60 requests at 2.5 a second, with a rate of 4`);
});

test("the sum over all hosts never exceeds rate and burst, whoever asks whom and whatever is cut", async () => {
    const steps = fastCheck.array(
        fastCheck.record({
            host: fastCheck.nat(4),
            requests: fastCheck.integer({ min: 1, max: 40 }),
            pauseMs: fastCheck.integer({ min: 0, max: 400 }),
            cutHost: fastCheck.nat(9),
        }),
        { minLength: 1, maxLength: 60 },
    );
    await fastCheck.assert(
        fastCheck.asyncProperty(steps, async schedule => {
            const clock = ManualClock.create();
            const organisation = createOrganisation({ ratePerSecond: 20, burst: 10 });
            let cutHost = -1;
            const isCut = (from: string, to: string) => [from, to].includes(`10.0.0.${cutHost + 1}`);
            const hosts = createFleet(clock, organisation, 5, isCut);
            let within = 0;
            for (const step of schedule) {
                cutHost = step.cutHost;
                for (let request = 0; request < step.requests; request++) {
                    within += await offer(hosts[step.host]!, organisation) ? 1 : 0;
                }
                clock.advance(step.pauseMs);
                const allowed = organisation.ratePerSecond * clock.nowMs() / 1000 + organisation.burst;
                assert.ok(within <= allowed, `${within} within ${clock.nowMs()} ms, allowed ${allowed}`);
            }
        }),
        { numRuns: 100, seed: 7 },
    );
});

test("a process that starts holds no tokens of the one before it", async () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation();
    const quota = OrganisationQuota.create(clock, "10.0.0.1", () => ["10.0.0.1"], 1_000);
    quota.setOrganisations([organisation]);
    assert.equal(quota.tryTake(organisation), false);
    clock.advance(20);
    assert.equal(quota.tryTake(organisation), true);
});

test("a host keeps what its own callers need", () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation({ ratePerSecond: 20, burst: 20 });
    const quota = OrganisationQuota.create(clock, "10.0.0.1", () => ["10.0.0.1", "10.0.0.2"], 1_000);
    quota.setOrganisations([organisation]);
    quota.tryTake(organisation);
    clock.advance(1_000);
    for (let request = 0; request < 20; request++) {
        quota.recordDemand(organisation);
    }
    const granted = quota.grant("archive", 64);
    assert.ok(granted > 0 && granted <= 6, `${granted} of 10 tokens with a demand of about 20 a second`);
    assert.equal(quota.grant("unknown", 5), 0);
    assert.equal(quota.grant("archive", Number.NaN), 0);
});

test("an organisation without a rate is not limited", async () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation({ ratePerSecond: 0, burst: 0 });
    const [host] = createFleet(clock, organisation, 1);
    assert.equal(await offer(host!, organisation), true);
});

interface ReturningCaller {
    readonly askedAtMs: number;
    readonly returnsAtMs: number;
}

test("callers far above the rate come back seldom, and the rate is still used whole", async () => {
    const clock = ManualClock.create();
    const organisation = createOrganisation({ ratePerSecond: 40, burst: 40 });
    const [host] = createFleet(clock, organisation, 1);
    const patienceMs = 6_000;
    const spanMs = 20_000;
    let callers: ReturningCaller[] = [];
    let requests = 0;
    let served = 0;
    let refusals = 0;
    const ask = async (askedAtMs: number) => {
        const decision = await host!.broker.take(organisation);
        const returnsAtMs = clock.nowMs() + (decision.kind === "over" ? decision.retryAfterMs : 0);
        served += decision.kind === "within" ? 1 : 0;
        refusals += decision.kind === "over" ? 1 : 0;
        if (decision.kind === "over" && returnsAtMs < askedAtMs + patienceMs) {
            callers.push({ askedAtMs, returnsAtMs });
        }
    };
    const startMs = clock.nowMs();
    while (clock.nowMs() < startMs + spanMs) {
        const due = callers.filter(caller => caller.returnsAtMs <= clock.nowMs());
        callers = callers.filter(caller => caller.returnsAtMs > clock.nowMs());
        for (const caller of due) {
            await ask(caller.askedAtMs);
        }
        requests++;
        await ask(clock.nowMs());
        clock.advance(5);
    }
    assert.ok(served >= 0.98 * 40 * spanMs / 1_000, `${served} served`);
    assert.ok(refusals / requests <= 4, `${refusals} refusals for ${requests} requests`);
});
