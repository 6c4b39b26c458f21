import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PeerHealth, ServerDirectory, ServiceRetryBudget } from "../index.js";
import type { BackendServer } from "../index.js";
import { createServer } from "./example-values.js";

/** Adds the servers of a complete list and removes the others. */
function applyList(directory: ServerDirectory, servers: readonly BackendServer[], graceMs: number): void {
    const listed = new Set(servers.map(server => server.instance));
    const left = [...directory.all()].filter(server => !listed.has(server.instance));
    left.forEach(server => directory.remove(server.instance, graceMs, "test"));
    servers.forEach(server => directory.upsert(server, "test"));
}

/** Grace for missing entries while the platform answers. */
const PLATFORM_HEALTHY = 0;
/** Grace for missing entries after an outage of the platform. */
const PLATFORM_DISTURBED = 2_500;

test("a draining server gets no new requests", () => {
    const directory = ServerDirectory.create(ManualClock.create());
    applyList(directory, [createServer("one"), createServer("three")], PLATFORM_HEALTHY);
    directory.upsert(createServer("one", { state: "draining" }), "test");
    assert.deepEqual(directory.readyServers("catalogue").map(server => server.instance), ["three"]);
    assert.equal(directory.find("one")?.state, "draining");
});

test("an entry that is removed while the platform is healthy is removed at once", () => {
    const directory = ServerDirectory.create(ManualClock.create());
    applyList(directory, [createServer("one")], PLATFORM_HEALTHY);
    directory.remove("one", PLATFORM_HEALTHY, "test");
    assert.equal(directory.readyServers("catalogue").length, 0);
});

test("an entry that lapsed during a platform outage stays usable until the time to come back has passed", () => {
    const clock = ManualClock.create();
    const directory = ServerDirectory.create(clock);
    applyList(directory, [createServer("one"), createServer("three")], PLATFORM_HEALTHY);
    applyList(directory, [], PLATFORM_DISTURBED);
    assert.equal(directory.readyServers("catalogue").length, 2);
    clock.advance(1_000);
    directory.upsert(createServer("one"), "came back");
    clock.advance(2_000);
    assert.deepEqual(directory.readyServers("catalogue").map(server => server.instance), ["one"]);
});

test("a draining server is removed at once even when its entry lapses during a platform outage", () => {
    const directory = ServerDirectory.create(ManualClock.create());
    applyList(directory, [createServer("one", { state: "draining" })], PLATFORM_HEALTHY);
    directory.remove("one", PLATFORM_DISTURBED, "test");
    assert.equal(directory.find("one"), undefined);
});

test("a server whose entry goes alone after an outage is used no longer than one that leaves", () => {
    const clock = ManualClock.create();
    const directory = ServerDirectory.create(clock, 1_200);
    ["one", "two", "three"].forEach(instance => directory.upsert(createServer(instance), "test"));
    directory.remove("one", PLATFORM_DISTURBED, "test");
    clock.advance(1_199);
    assert.ok(directory.find("one"));
    clock.advance(1);
    assert.equal(directory.find("one"), undefined);
    assert.equal(directory.readyServers("catalogue").length, 2);
});

test("of two servers the one whose entry goes alone after an outage is used no longer than one that leaves", () => {
    const clock = ManualClock.create();
    const directory = ServerDirectory.create(clock, 1_200);
    ["one", "two"].forEach(instance => directory.upsert(createServer(instance), "test"));
    directory.remove("one", PLATFORM_DISTURBED, "test");
    clock.advance(1_200);
    assert.equal(directory.find("one"), undefined);
});

test("servers that go missing with most of their service are used until lapsed entries are back", () => {
    const clock = ManualClock.create();
    const directory = ServerDirectory.create(clock, 1_200);
    ["one", "two", "three"].forEach(instance => directory.upsert(createServer(instance), "test"));
    directory.remove("one", PLATFORM_DISTURBED, "test");
    directory.remove("two", PLATFORM_DISTURBED, "test");
    clock.advance(2_499);
    assert.equal(directory.readyServers("catalogue").length, 3);
    clock.advance(1);
    assert.equal(directory.readyServers("catalogue").length, 1);
});

test("the list of hosts stays the same object while entries of known hosts change, and follows joins and leaves", () => {
    const directory = ServerDirectory.create(ManualClock.create());
    directory.upsert(createServer("one"), "test");
    directory.upsert(createServer("three"), "test");
    const { fleetHosts } = directory;
    directory.upsert(createServer("one", { slots: 7 }), "test");
    directory.upsert(createServer("three", { state: "draining" }), "test");
    directory.remove("one", PLATFORM_DISTURBED, "test");
    assert.equal(directory.fleetHosts, fleetHosts);
    assert.equal(fleetHosts.length, 2);
    directory.upsert(createServer("one", { hostAddress: "10.0.0.77" }), "moved");
    assert.ok(directory.hasHost("10.0.0.77"));
    directory.remove("three", PLATFORM_HEALTHY, "test");
    assert.deepEqual(directory.fleetHosts.map(({ address }) => address), ["10.0.0.77"]);
});

test("of two servers at one address, the one that started later is found", () => {
    const directory = ServerDirectory.create(ManualClock.create());
    const at = { hostAddress: "10.0.0.9", port: 80 };
    directory.upsert(createServer("late", { ...at, startedAtMs: 2_000 }), "test");
    directory.upsert(createServer("early", { ...at, startedAtMs: 1_000 }), "test");
    assert.equal(directory.findByAddress("10.0.0.9", 80)?.instance, "late");
});

for (const { nodes, rounds } of [{ nodes: 12, rounds: 500 }, { nodes: 300, rounds: 1 }, { nodes: 300, rounds: 500 }]) {
    test(`the retries of ${nodes} nodes stay within the published ratio and reserve over ${rounds} requests each`, () => {
        const limits = { ratio: 0.2, reserve: 48 };
        const budgets = Array.from(
            { length: nodes },
            (_, position) => ServiceRetryBudget.create(limits, { nodeCount: () => nodes, position: () => position }),
        );
        let requests = 0;
        let retries = 0;
        for (let round = 0; round < rounds; round++) {
            for (const budget of budgets) {
                budget.recordRequest();
                requests++;
                retries += budget.tryTake() ? 1 : 0;
            }
        }
        assert.ok(retries > 0);
        assert.ok(retries <= limits.ratio * requests + limits.reserve, `${retries} retries for ${requests} requests`);
    });
}

test("a peer that announced a planned stop is used again after some time", () => {
    const clock = ManualClock.create();
    const health = PeerHealth.create(clock);
    health.record("10.0.0.2", "stopping");
    assert.equal(health.troubleOf("10.0.0.2"), "stopping");
    clock.advance(10_000);
    assert.equal(health.troubleOf("10.0.0.2"), undefined);
});

test("a peer that stopped responding is avoided until it is cleared", () => {
    const clock = ManualClock.create();
    const health = PeerHealth.create(clock);
    assert.equal(health.record("10.0.0.2", "silent"), true);
    clock.advance(60_000);
    assert.equal(health.troubleOf("10.0.0.2"), "silent");
    health.clear("10.0.0.2");
    assert.equal(health.troubleOf("10.0.0.2"), undefined);
});

test("an entry that a server wrote before it began to drain does not bring it back, from whatever source", () => {
    const directory = ServerDirectory.create(ManualClock.create());
    directory.upsert(createServer("one", { startedAtMs: 5, sequence: 8, state: "draining" }), "test");
    const isOutdated = (changes: Partial<BackendServer>) =>
        directory.isOutdated(createServer("one", { startedAtMs: 5, ...changes }), false);
    assert.ok(isOutdated({ sequence: 7 }), "a copy that is behind");
    assert.ok(isOutdated({ sequence: 8 }));
    assert.ok(!isOutdated({ sequence: 9 }), "a later write");
    assert.ok(!isOutdated({ sequence: 1, startedAtMs: 6 }), "a new start");
    assert.ok(isOutdated({ sequence: 90, startedAtMs: 4 }), "an earlier start under the same name");
});

test("a server that is back after its entry lapsed counts, whatever the number of its write", () => {
    const directory = ServerDirectory.create(ManualClock.create());
    const server = createServer("one", { startedAtMs: 5, sequence: 8 });
    directory.upsert(server, "test");
    directory.remove("one", PLATFORM_HEALTHY, "test");
    assert.ok(directory.isLeaving("one"));
    assert.ok(!directory.isOutdated(server, false));
    assert.ok(directory.isOutdated(server, true), "an older copy of the store only repeats what was before");
});

test("a server that said that it leaves returns by a new start or a later write only, not by an entry on its way", () => {
    const clock = ManualClock.create();
    const directory = ServerDirectory.create(clock);
    const entry = (changes: Partial<BackendServer>) => createServer("one", { startedAtMs: 5, sequence: 8, ...changes });
    directory.upsert(entry({}), "test");
    directory.recordLeaving({ instance: "one", startedAtMs: 4 }, "of an earlier start");
    assert.equal(directory.readyServers("catalogue").length, 1);
    directory.recordLeaving({ instance: "one", startedAtMs: 5 }, "test");
    assert.equal(directory.readyServers("catalogue").length, 0);
    clock.advance(1_000);
    assert.ok(directory.isOutdated(entry({ sequence: 9 }), false), "written before, learned after");
    assert.ok(!directory.isOutdated(entry({ sequence: 1, startedAtMs: 6 }), false), "a new start");
    clock.advance(4_000);
    assert.ok(directory.isOutdated(entry({ sequence: 9 }), false), "the same write from a peer that is behind");
    assert.ok(!directory.isOutdated(entry({ sequence: 10 }), false), "a later write");
});

test("a server that starts anew after its host's time of day went back is used again", () => {
    const clock = ManualClock.create();
    const directory = ServerDirectory.create(clock);
    directory.upsert(createServer("one", { startedAtMs: 9_000, sequence: 8, state: "draining" }), "test");
    const entry = createServer("one", { startedAtMs: 6_000, sequence: 1 });
    clock.advance(5_000);
    assert.ok(!directory.isOutdated(entry, false));
    assert.ok(directory.isOutdated(entry, true), "an older copy of the store shows an earlier start");
});
