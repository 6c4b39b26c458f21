import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PeerHealth, ServerDirectory, ServiceRetryBudget } from "../index.js";
import { createServer } from "./example-values.js";

const SOUND = true;
const DISTURBED = false;

test("a draining server gets no new work", () => {
    const directory = ServerDirectory.create(ManualClock.create());
    directory.replace([createServer("one"), createServer("three")], SOUND, "test");
    directory.upsert(createServer("one", { state: "draining" }), "test");
    assert.deepEqual(directory.readyServers("catalogue").map(server => server.instance), ["three"]);
    assert.equal(directory.find("one")?.state, "draining");
});

test("an entry that is removed while the platform is sound is gone at once", () => {
    const directory = ServerDirectory.create(ManualClock.create());
    directory.replace([createServer("one")], SOUND, "test");
    directory.remove("one", SOUND, "test");
    assert.equal(directory.readyServers("catalogue").length, 0);
});

test("an entry that lapsed during an outage stays usable until it should have come back", () => {
    const clock = ManualClock.create();
    const directory = ServerDirectory.create(clock);
    directory.replace([createServer("one"), createServer("three")], SOUND, "test");
    directory.replace([], DISTURBED, "list after the outage");
    assert.equal(directory.readyServers("catalogue").length, 2);
    clock.advance(1_000);
    directory.upsert(createServer("one"), "came back");
    clock.advance(2_000);
    assert.deepEqual(directory.readyServers("catalogue").map(server => server.instance), ["one"]);
});

test("a server that was leaving is gone also when its entry lapses during an outage", () => {
    const directory = ServerDirectory.create(ManualClock.create());
    directory.replace([createServer("one", { state: "draining" })], SOUND, "test");
    directory.remove("one", DISTURBED, "test");
    assert.equal(directory.find("one"), undefined);
});

test("of two servers at one address the later one counts", () => {
    const directory = ServerDirectory.create(ManualClock.create());
    const at = { hostAddress: "10.0.0.9", port: 80 };
    directory.upsert(createServer("late", { ...at, startedAtMs: 2_000 }), "test");
    directory.upsert(createServer("early", { ...at, startedAtMs: 1_000 }), "test");
    assert.equal(directory.findByAddress("10.0.0.9", 80)?.instance, "late");
});

test("repeats of all nodes together stay within ratio and reserve", () => {
    const nodes = 12;
    const bounds = { ratio: 0.2, reserve: 48 };
    const allowances = Array.from({ length: nodes }, () => ServiceRetryBudget.create(bounds, () => nodes));
    let first = 0;
    let repeats = 0;
    for (let round = 0; round < 500; round++) {
        for (const allowance of allowances) {
            allowance.recordRequest();
            first++;
            repeats += allowance.tryTake() ? 1 : 0;
        }
    }
    assert.ok(repeats > 0);
    assert.ok(repeats <= bounds.ratio * first + bounds.reserve, `${repeats} repeats of ${first}`);
});

test("a peer that said that it stops is used again after a while", () => {
    const clock = ManualClock.create();
    const health = PeerHealth.create(clock);
    health.record("10.0.0.2", "stopping");
    assert.equal(health.troubleOf("10.0.0.2"), "stopping");
    clock.advance(10_000);
    assert.equal(health.troubleOf("10.0.0.2"), undefined);
});

test("a peer that went silent is avoided until it is cleared", () => {
    const clock = ManualClock.create();
    const health = PeerHealth.create(clock);
    assert.equal(health.record("10.0.0.2", "silent"), true);
    clock.advance(60_000);
    assert.equal(health.troubleOf("10.0.0.2"), "silent");
    health.clear("10.0.0.2");
    assert.equal(health.troubleOf("10.0.0.2"), undefined);
});
