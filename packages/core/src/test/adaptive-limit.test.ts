import assert from "node:assert/strict";
import { test } from "node:test";
import { AdaptiveLimit } from "../process/adaptive-limit.js";
import { ManualClock } from "../process/clock.js";

const SLOTS = 16;
const SERVICE_MS = 100;

/** Keeps as many requests in flight as the limit allows; `latencyMs` returns their latency at that concurrency. */
function saturate(
    clock: ManualClock,
    limit: AdaptiveLimit,
    durationMs: number,
    latencyMs: (inFlight: number) => number,
): void {
    const endMs = clock.nowMs() + durationMs;
    while (clock.nowMs() < endMs) {
        const inFlight = limit.current;
        const latency = latencyMs(inFlight);
        clock.advance(latency);
        for (let count = 0; count < inFlight; count++) {
            limit.record(latency, inFlight);
        }
    }
}

test("lowers the limit to the real capacity of a contended server, and raises it again within seconds", () => {
    const clock = ManualClock.create();
    const limit = AdaptiveLimit.create(clock, { slots: SLOTS });
    const realSlots = 4;
    const contended = (inFlight: number) => SERVICE_MS * Math.max(1, inFlight / realSlots);
    saturate(clock, limit, 2_000, () => SERVICE_MS);
    saturate(clock, limit, 20_000, contended);
    assert.ok(limit.current <= 2 * realSlots, `limit ${limit.current}`);
    assert.ok(limit.current >= realSlots, `limit ${limit.current}`);
    saturate(clock, limit, 5_000, () => SERVICE_MS);
    assert.equal(limit.current, SLOTS);
});

test("keeps the limit at the slots when requests take longer without contention", () => {
    const clock = ManualClock.create();
    const limit = AdaptiveLimit.create(clock, { slots: SLOTS });
    saturate(clock, limit, 2_000, () => SERVICE_MS);
    const slow = SERVICE_MS * 4;
    let slotTime = 0;
    for (let round = 0; round < 100; round++) {
        saturate(clock, limit, slow, () => slow);
        slotTime += limit.current / SLOTS;
    }
    assert.ok(slotTime > 95, `${slotTime} of 100 rounds`);
    assert.equal(limit.current, SLOTS);
});

test("never exceeds the published slots", () => {
    const clock = ManualClock.create();
    const limit = AdaptiveLimit.create(clock, { slots: SLOTS });
    saturate(clock, limit, 5_000, () => 1);
    assert.equal(limit.current, SLOTS);
    limit.setSlots(3);
    assert.equal(limit.current, 3);
    saturate(clock, limit, 5_000, () => 1);
    assert.equal(limit.current, 3);
});
