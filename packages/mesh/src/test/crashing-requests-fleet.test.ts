/**
 * Fleets of 8 to 195 nodes without a network: copies of a request that ends its servers come at many nodes, beside a
 * popular request that does not.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { SimulatedCrashFleet } from "./simulated-crash-fleet.js";

/** Servers that a request may end where its copies come one after another. */
const MAXIMUM_ENDS = 2;
const SERVICES = 13;

for (const nodes of [8, 60, 195]) {
    test(`copies that come one after another end two servers at most: ${nodes} nodes`, async () => {
        const fleet = SimulatedCrashFleet.create({ nodes, services: Math.min(SERVICES, nodes / 4), endDelayMs: 20 });
        await fleet.play({ durationMs: 12_000, copyIntervalMs: 120 });
        assert.ok(fleet.ends.length <= MAXIMUM_ENDS, `${fleet.ends.length} servers ended`);
        assert.ok(fleet.fatalRefusals > 50);
        assert.equal(fleet.popularServed, fleet.popularSent);
    });

    test(`copies at all nodes at one moment end no more servers than began them, and one: ${nodes} nodes`, async () => {
        const fleet = SimulatedCrashFleet.create({ nodes, services: Math.min(SERVICES, nodes / 4), endDelayMs: 50 });
        await fleet.play({ durationMs: 10_000, copyIntervalMs: 500, copiesAtOnce: nodes });
        assert.ok(fleet.ends.length <= fleet.begunBeforeFirstEnd + 1, `${fleet.ends.length} servers ended`);
    });
}

// Guards against a service that loses all its servers to one request: a second copy begins before the first end is known, and
// one more run names the request; nothing after that may reach a server, however long copies keep coming.
for (const nodes of [13, 60]) {
    test(`two copies that begin together end three servers at most, and later ones none: ${nodes} nodes`, async () => {
        const fleet = SimulatedCrashFleet.create({ nodes, services: 4, endDelayMs: 18 });
        await fleet.play({ durationMs: 20_000, copyIntervalMs: 60, copiesAtOnce: 2 });
        assert.ok(fleet.ends.length <= MAXIMUM_ENDS + 1, `${fleet.ends.length} servers ended`);
        assert.ok(fleet.ends.every(atMs => atMs - fleet.ends[0]! < 2_000), fleet.ends.join());
        assert.equal(fleet.popularServed, fleet.popularSent);
    });
}

test("copies that run half a second before the end are stopped once the first end is known", async () => {
    const fleet = SimulatedCrashFleet.create({ nodes: 60, services: 6, endDelayMs: 500 });
    await fleet.play({ durationMs: 12_000, copyIntervalMs: 120 });
    assert.ok(fleet.ends.length <= fleet.begunBeforeFirstEnd + 1, `${fleet.ends.length} servers ended`);
    assert.equal(fleet.popularServed, fleet.popularSent);
});

test("a service of one server remembers what ended it while the nodes restart one after another", async () => {
    const fleet = SimulatedCrashFleet.create({ nodes: 8, services: 8, endDelayMs: 20 });
    await fleet.play({ durationMs: 30_000, copyIntervalMs: 200, restartIntervalMs: 3_000 });
    assert.ok(fleet.ends.length <= MAXIMUM_ENDS, `${fleet.ends.length} servers ended`);
});

for (const splitServices of [2, 4]) {
    test(`a request whose route is split over services ends two servers of all of them at most: ${splitServices}`, async () => {
        const fleet = SimulatedCrashFleet.create({ nodes: 60, services: 6, endDelayMs: 20, splitServices });
        await fleet.play({ durationMs: 12_000, copyIntervalMs: 120 });
        assert.ok(fleet.ends.length <= MAXIMUM_ENDS, `${fleet.ends.length} servers ended`);
        assert.equal(fleet.popularServed, fleet.popularSent);
    });
}

test("each side of a cut finds a request for itself, and both know it once the cut has healed", async () => {
    const fleet = SimulatedCrashFleet.create({ nodes: 60, services: 6, endDelayMs: 20 });
    const cut = { fromMs: 100, toMs: 6_000 };
    await fleet.play({ durationMs: cut.toMs, copyIntervalMs: 120, cut });
    assert.ok(fleet.ends.length <= 2 * MAXIMUM_ENDS, `${fleet.ends.length} servers ended`);
    const endsBefore = fleet.ends.length;
    await fleet.play({ durationMs: 10_000, copyIntervalMs: 120 });
    assert.equal(fleet.ends.length, endsBefore);
});

test("nodes that restart one after another learn from the others what is refused", async () => {
    const fleet = SimulatedCrashFleet.create({ nodes: 60, services: 6, endDelayMs: 20 });
    await fleet.play({ durationMs: 60_000, copyIntervalMs: 200, restartIntervalMs: 500 });
    assert.ok(fleet.ends.length <= MAXIMUM_ENDS, `${fleet.ends.length} servers ended`);
});

test("a popular request that is in flight at each of many ends from outside is served every time", async () => {
    const fleet = SimulatedCrashFleet.create({ nodes: 60, services: 6, endDelayMs: 20 });
    await fleet.play({ durationMs: 30_000, copyIntervalMs: Infinity, externalEndIntervalMs: 300 });
    assert.ok(fleet.ends.length > 50);
    assert.equal(fleet.popularServed, fleet.popularSent);
});

test("requests of a slow service that were in flight at ends from outside are served within their objective", async () => {
    const fleet = SimulatedCrashFleet.create({
        nodes: 6,
        services: 2,
        endDelayMs: 20,
        serviceMs: 240,
        objectiveMs: 900,
        popularTargets: 10_000,
    });
    await fleet.play({ durationMs: 20_000, copyIntervalMs: Infinity, externalEndIntervalMs: 3_000 });
    assert.ok(fleet.ends.length >= 4);
    assert.equal(fleet.popularServed, fleet.popularSent);
});

test("nothing is sent to other nodes while no server has ended", async () => {
    const fleet = SimulatedCrashFleet.create({ nodes: 60, services: 6, endDelayMs: 20 });
    await fleet.play({ durationMs: 3_000, copyIntervalMs: Infinity });
    assert.equal(fleet.messages, 0);
});
