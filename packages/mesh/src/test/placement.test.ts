import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { KnownServer, SelectionRequest } from "../index.js";
import { LoadBalancer } from "../index.js";
import { createServer } from "./example-values.js";

const near = createServer("near", { hostAddress: "10.0.0.2", failureDomain: "a", slots: 10 });
const nearToo = createServer("near-too", { hostAddress: "10.0.0.3", failureDomain: "a", slots: 10 });
const far = createServer("far", { hostAddress: "10.0.1.1", failureDomain: "b", slots: 10 });
const own = createServer("own", { hostAddress: "10.0.0.1", failureDomain: "a", slots: 10 });

function createRequest(
    candidates: readonly KnownServer[],
    changes: Partial<SelectionRequest> = {},
): SelectionRequest {
    return {
        origin: { failureDomain: "a", hostAddress: "10.0.0.1" },
        candidates,
        tried: new Set(),
        isReachable: () => true,
        ...changes,
    };
}

test("the own server comes first, then the own failure domain, then others", () => {
    const placement = LoadBalancer.create(ManualClock.create(), () => 0);
    assert.equal(placement.choose(createRequest([far, near, own]))?.instance, "own");
    assert.equal(placement.choose(createRequest([far, near]))?.instance, "near");
    assert.equal(placement.choose(createRequest([far]))?.instance, "far");
    assert.equal(placement.choose(createRequest([])), undefined);
});

test("a full failure domain sends what it cannot carry to others", () => {
    const placement = LoadBalancer.create(ManualClock.create(), () => 0);
    placement.utilization(near);
    placement.report(near.hostAddress, { open: 10, waiting: 5, limit: 10 }, 0);
    assert.equal(placement.choose(createRequest([far, near]))?.instance, "far");
});

test("own open requests count at once, so that one server does not get all", () => {
    const placement = LoadBalancer.create(ManualClock.create(), () => 0);
    const chosen = new Map<string, number>();
    for (let request = 0; request < 12; request++) {
        const server = placement.choose(createRequest([near, nearToo]))!;
        placement.start(server);
        chosen.set(server.instance, (chosen.get(server.instance) ?? 0) + 1);
    }
    assert.deepEqual([...chosen.values()].sort(), [6, 6]);
});

test("a server whose onward calls are refused gets less than one whose calls are served", () => {
    const placement = LoadBalancer.create(ManualClock.create());
    placement.utilization(near);
    placement.report(near.hostAddress, { open: 0, waiting: 0, limit: 10 }, 0.5);
    const chosen = Array.from({ length: 30 }, () => placement.choose(createRequest([near, nearToo]))?.instance);
    assert.ok(chosen.every(instance => instance === "near-too"));
});

test("a report of load fades, so that a server that was full gets work again", () => {
    const clock = ManualClock.create();
    const placement = LoadBalancer.create(clock, () => 0);
    placement.utilization(near);
    placement.report(near.hostAddress, { open: 10, waiting: 0, limit: 10 }, 0);
    assert.ok(placement.utilization(near) > 0.9);
    clock.advance(2_000);
    assert.ok(placement.utilization(near) < 0.1);
});

test("a server that fails requests gets less than one that does not", () => {
    const placement = LoadBalancer.create(ManualClock.create());
    for (let request = 0; request < 20; request++) {
        placement.start(near);
        placement.end(near, "failed");
    }
    const chosen = Array.from({ length: 50 }, () => placement.choose(createRequest([near, nearToo]))?.instance);
    assert.ok(chosen.every(instance => instance === "near-too"));
});

test("servers that were tried or cannot be reached are left out", () => {
    const placement = LoadBalancer.create(ManualClock.create(), () => 0);
    const request = createRequest([near, nearToo, far], {
        tried: new Set(["near"]),
        isReachable: server => server.failureDomain !== "b",
    });
    assert.equal(placement.choose(request)?.instance, "near-too");
});

test("a server that refused is passed over for a moment, unless there is no other", () => {
    const clock = ManualClock.create();
    const placement = LoadBalancer.create(clock, () => 0);
    placement.avoid(near, "refusal");
    assert.equal(placement.choose(createRequest([near, far]))?.instance, "far");
    assert.equal(placement.choose(createRequest([near]))?.instance, "near");
    clock.advance(500);
    assert.equal(placement.choose(createRequest([near, far]))?.instance, "near");
});
