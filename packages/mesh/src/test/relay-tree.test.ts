import assert from "node:assert/strict";
import { test } from "node:test";
import { planRelay } from "../index.js";
import type { FleetHost, RelayPlan } from "../index.js";

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
    const parents = new Map(hosts.map(host => [host.address, planRelay(host, hosts).ancestors[0]]));
    const followers = new Map<string, number>();
    for (const { address } of hosts) {
        const way: string[] = [];
        for (let parent = parents.get(address); parent !== undefined; parent = parents.get(parent)) {
            way.push(parent);
        }
        assert.ok(way.length <= 4, `${way.length} hosts up to the root`);
        if (way[0] !== undefined) {
            followers.set(way[0], (followers.get(way[0]) ?? 0) + 1);
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

test("while a root is down, one host of its failure domain and one other root take its place", () => {
    for (const [count, domains] of [[13, 3], [67, 4], [195, 5], [1_000, 31]] as const) {
        const hosts = createHosts(count, domains);
        const plans = hosts.map(host => planRelay(host, hosts));
        const isFleetRoot = ({ ancestors }: RelayPlan) => ancestors.length === 0;
        const root = hosts[plans.findIndex(isFleetRoot)]!.address;
        const withoutRoot = plans
            .filter(plan => !isFleetRoot(plan))
            .map(({ ancestors }) => ancestors.filter(address => address !== root));
        const readers = withoutRoot.filter(ancestors => ancestors.length === 0).length;
        assert.ok(readers <= 2, `${readers} of ${count} hosts have only the platform`);
    }
});

test("whichever of its ancestors each host follows, none follow in a circle", () => {
    const hosts = createHosts(60, 3);
    const seenBy = (index: number) => hosts.filter((_, other) => (other * 7 + index) % 5 !== 0);
    const ancestorsOf = new Map(
        hosts.map((host, index) => [host.address, planRelay(host, seenBy(index)).ancestors]),
    );
    const finished = new Set<string>();
    const visit = (address: string, path: readonly string[]): void => {
        assert.ok(!path.includes(address), `circle ${[...path, address].join(" ")}`);
        if (!finished.has(address)) {
            ancestorsOf.get(address)!.forEach(ancestor => visit(ancestor, [...path, address]));
            finished.add(address);
        }
    };
    hosts.forEach(({ address }) => visit(address, []));
});

test("a host that is not in the list still has hosts to follow, and helpers are other hosts", () => {
    const hosts = createHosts(20, 2);
    const plan = planRelay({ address: "10.9.9.9", failureDomain: "domain-0" }, hosts);
    assert.ok(plan.ancestors.length + plan.helpers.length > 0);
    assert.ok(!plan.helpers.some(helper => plan.ancestors.includes(helper) || helper === "10.9.9.9"));
    assert.deepEqual(planRelay({ address: "10.9.9.9", failureDomain: "x" }, []), { ancestors: [], helpers: [] });
});
