import assert from "node:assert/strict";
import { test } from "node:test";
import { planRelay } from "../index.js";
import type { FleetHost } from "../index.js";

const MAXIMUM_FOLLOWERS = 16;

function createHosts(count: number, failureDomains: number): FleetHost[] {
    return Array.from({ length: count }, (_, index) => ({
        address: `10.${index >> 8}.${index & 255}.7`,
        failureDomain: `domain-${index % failureDomains}`,
    }));
}

test("one host of the fleet has no host to follow, and one host of each failure domain leaves its domain", () => {
    for (const [count, domains] of [[13, 3], [67, 4], [195, 5], [1_000, 31]] as const) {
        const hosts = createHosts(count, domains);
        const domainOf = new Map(hosts.map(({ address, failureDomain }) => [address, failureDomain]));
        const plans = hosts.map(host => ({ host, plan: planRelay(host, hosts) }));
        assert.equal(plans.filter(({ plan }) => plan.ancestors.length === 0).length, 1);
        const crossing = plans.filter(({ host, plan }) =>
            plan.ancestors.length > 0 && domainOf.get(plan.ancestors[0]!) !== host.failureDomain
        );
        assert.equal(crossing.length, domains - 1);
    }
});

test("no host hands updates on to more than the maximum, and the way to the root is short", () => {
    const hosts = createHosts(1_000, 10);
    const followers = new Map<string, number>();
    for (const host of hosts) {
        const { ancestors } = planRelay(host, hosts);
        assert.ok(ancestors.length <= 4, `${ancestors.length} hosts up to the root`);
        if (ancestors[0] !== undefined) {
            followers.set(ancestors[0], (followers.get(ancestors[0]) ?? 0) + 1);
        }
    }
    // The roots of the failure domains follow each other besides.
    assert.ok(Math.max(...followers.values()) <= 2 * MAXIMUM_FOLLOWERS);
});

test("hosts with different lists never follow in a circle", () => {
    const hosts = createHosts(60, 3);
    const seenBy = (index: number) => hosts.filter((_, other) => (other * 7 + index) % 5 !== 0);
    const parents = new Map(
        hosts.map((host, index) => [host.address, planRelay(host, seenBy(index)).ancestors[0]]),
    );
    for (const { address } of hosts) {
        const seen = new Set<string>();
        for (let at: string | undefined = address; at !== undefined; at = parents.get(at)) {
            assert.ok(!seen.has(at), `circle at ${at}`);
            seen.add(at);
        }
    }
});

test("a host that is not in the list still has hosts to follow, and helpers are other hosts", () => {
    const hosts = createHosts(20, 2);
    const plan = planRelay({ address: "10.9.9.9", failureDomain: "domain-0" }, hosts);
    assert.ok(plan.ancestors.length + plan.helpers.length > 0);
    assert.ok(!plan.helpers.some(helper => plan.ancestors.includes(helper) || helper === "10.9.9.9"));
    assert.deepEqual(planRelay({ address: "10.9.9.9", failureDomain: "x" }, []), { ancestors: [], helpers: [] });
});
