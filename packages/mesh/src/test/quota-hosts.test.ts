import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { QuotaHosts } from "../process/quota-hosts.js";
import type { FleetHost } from "../process/relay-tree.js";

const LONG_MS = 60_000;
const SHORT_MS = 5_000;
const first: FleetHost = { address: "10.0.0.1", failureDomain: "a" };
const second: FleetHost = { address: "10.0.0.2", failureDomain: "b" };

function createHosts() {
    const clock = ManualClock.create();
    const list = { hosts: [first, second] as readonly FleetHost[] };
    const expired: number[] = [];
    const hosts = QuotaHosts.create(clock, () => list.hosts, () => void expired.push(clock.nowMs()));
    return { clock, list, hosts, expired };
}

test("a host that left without notice counts for a while, one that left as planned does not", () => {
    const { clock, list, hosts, expired } = createHosts();
    list.hosts = [first];
    assert.deepEqual(hosts.hosts, [first]);
    hosts.recordSilent(second);
    assert.deepEqual(hosts.hosts, [first, second]);
    assert.equal(hosts.hosts, hosts.hosts);
    clock.advance(LONG_MS);
    assert.deepEqual(hosts.hosts, [first]);
    assert.equal(expired.length, 1);
});

test("a host that is listed again counts once, also when the time since it left is over", () => {
    const { clock, list, hosts, expired } = createHosts();
    list.hosts = [first];
    hosts.recordSilent(second);
    clock.advance(SHORT_MS);
    list.hosts = [first, second];
    assert.deepEqual(hosts.hosts, [first, second]);
    clock.advance(LONG_MS);
    assert.deepEqual(hosts.hosts, [first, second]);
    assert.equal(expired.length, 0);
});
