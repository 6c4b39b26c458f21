import assert from "node:assert/strict";
import { test } from "node:test";
import { LoadBalancer, ManualClock } from "../index.js";
import type { Host } from "../index.js";

const LONG_MS = 60_000;

function createHost(name: string): Host {
    return {
        name,
        address: "127.0.0.1",
        failureDomain: "khomas-a",
        region: "khomas",
        service: "items",
        callerPort: 1,
        forwardPort: 2,
        controlPort: 3,
        state: "live",
    };
}

test("an unresponsive host is used again after some time even if no request may be used as a probe", () => {
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

test("time during which an attempt is paused does not count towards its host being unresponsive", () => {
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

test("a host that was slow once gets requests again although the other host has capacity", () => {
    const clock = ManualClock.create();
    const balancer = LoadBalancer.create(clock);
    const sender = { failureDomain: "khomas-a", region: "khomas" };
    const hosts = ["items-1", "items-2"].map(createHost);
    const slow = balancer.start("items-1");
    clock.advance(4_000);
    slow.end({ kind: "answered" });
    const chosen = new Set<string | undefined>();
    for (let index = 0; index < 3_000; index++) {
        const host = balancer.choose(hosts, sender, true);
        chosen.add(host?.name);
        const open = balancer.start(host?.name ?? "");
        clock.advance(10);
        open.end({ kind: "answered" });
    }
    assert.deepEqual([...chosen].sort(), ["items-1", "items-2"]);
});
