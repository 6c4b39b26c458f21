import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import { UpdateSourceSelector } from "../index.js";
import type { RelayPlan } from "../index.js";

let clock: ManualClock;
let plan: RelayPlan;
let unreachable: Set<string>;
let selector: UpdateSourceSelector;

beforeEach(() => {
    clock = ManualClock.create();
    plan = { ancestors: ["parent", "root"], helpers: ["helper"] };
    unreachable = new Set();
    selector = UpdateSourceSelector.create(clock, {
        plan: () => plan,
        isReachable: address => !unreachable.has(address),
    });
});

function nextName(): string {
    const source = selector.next();
    return source.kind === "peer" ? source.address : source.mode;
}

test("the platform is read first, then the nearest ancestor is followed", () => {
    assert.equal(nextName(), "check");
    selector.recordPlatformAnswer();
    assert.equal(nextName(), "parent");
    selector.recordPeerAnswer("parent");
    assert.equal(nextName(), "parent");
});

test("the root of the fleet watches the platform", () => {
    plan = { ancestors: [], helpers: ["helper"] };
    assert.equal(nextName(), "check");
    selector.recordPlatformAnswer();
    assert.equal(nextName(), "watch");
});

test("after a host gave no answer the platform is read once, at once, and the next host is followed", () => {
    selector.recordPlatformAnswer();
    selector.recordPeerFailure("parent", "no-answer");
    assert.equal(nextName(), "check");
    selector.recordPlatformAnswer();
    assert.equal(nextName(), "root");
    clock.advance(2_001);
    assert.equal(nextName(), "parent", "it is tried again after a while");
});

test("after the connection to a host was lost another host is asked, and the platform only if there is none", () => {
    selector.recordPlatformAnswer();
    selector.recordPeerFailure("parent", "connection-lost");
    assert.equal(nextName(), "root");
    selector.recordPeerFailure("root", "connection-lost");
    assert.equal(nextName(), "check");
    selector.recordPlatformAnswer();
    assert.equal(nextName(), "watch");
});

test("when no ancestor can be used, the platform is watched", () => {
    selector.recordPlatformAnswer();
    unreachable = new Set(["parent", "root"]);
    assert.equal(nextName(), "watch");
});

test("when the platform serves other hosts only, an ancestor is followed, else a helper", () => {
    selector.recordPlatformFailure();
    assert.equal(nextName(), "parent");
    unreachable = new Set(["parent", "root"]);
    assert.equal(nextName(), "helper");
    clock.advance(1_001);
    assert.equal(nextName(), "watch", "the platform is tried again after a while");
});

test("after the only host to follow turned out to be outdated, the platform is asked without waiting", () => {
    plan = { ancestors: ["root"], helpers: [] };
    selector.recordPlatformAnswer();
    selector.recordPeerFailure("root", "outdated");
    assert.equal(nextName(), "check");
    selector.recordPlatformAnswer();
    assert.equal(nextName(), "watch");
    clock.advance(201);
    assert.equal(nextName(), "root");
});

test("an outdated host is not followed while the platform or another host answers", () => {
    selector.recordPlatformAnswer();
    selector.recordPeerFailure("parent", "outdated");
    selector.recordPlatformFailure();
    assert.equal(nextName(), "root");
    selector.recordPeerFailure("root", "outdated");
    assert.equal(nextName(), "helper");
});

test("at the start any peer is asked before the platform is believed", () => {
    selector.recordPlatformAnswer();
    plan = { ancestors: [], helpers: ["helper"] };
    assert.deepEqual(selector.nextAtStart(), { kind: "peer", address: "helper" });
    unreachable = new Set(["helper"]);
    assert.equal(selector.nextAtStart().kind, "platform");
});
