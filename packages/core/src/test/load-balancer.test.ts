import assert from "node:assert/strict";
import { test } from "node:test";
import { LoadBalancer, ManualClock } from "../index.js";

const LONG_MS = 60_000;

test("a host that hung is used again although no request may be its probe", () => {
    const clock = ManualClock.create();
    const balancer = LoadBalancer.create(clock);
    const open = balancer.start("items-1");
    clock.advance(LONG_MS);
    assert.ok(balancer.isUnresponsive("items-1"));
    open.end({ kind: "abandoned" });
    assert.ok(balancer.isUnresponsive("items-1"));
    clock.advance(LONG_MS);
    assert.ok(!balancer.isUnresponsive("items-1"));
});

test("time that is taken out of a send is no silence of its host", () => {
    const clock = ManualClock.create();
    const balancer = LoadBalancer.create(clock);
    const open = balancer.start("items-1");
    open.pause();
    clock.advance(LONG_MS);
    assert.ok(!balancer.isUnresponsive("items-1"));
    open.resume();
    clock.advance(LONG_MS);
    assert.ok(balancer.isUnresponsive("items-1"));
});
