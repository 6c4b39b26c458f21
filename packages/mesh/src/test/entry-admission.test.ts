import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ChainThrottle, ProcessorGuard } from "../index.js";

const SEED = 12_345;

/** Numbers from 0 to 1 that are the same in each run. */
function createRandom(): () => number {
    let state = SEED;
    return () => {
        state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
        return state / 2_147_483_648;
    };
}

/** Offers requests of a route at 100 a second; gives the part of each second that was admitted. */
function play(throttle: ChainThrottle, clock: ManualClock, seconds: number, succeeds: (index: number) => boolean) {
    const admittedParts: number[] = [];
    for (let second = 0; second < seconds; second++) {
        let admitted = 0;
        for (let request = 0; request < 100; request++) {
            if (throttle.decide("search").kind === "admitted") {
                admitted++;
                throttle.record("search", succeeds(request) ? "succeeded" : "failed");
            }
            clock.advance(10);
        }
        admittedParts.push(admitted / 100);
    }
    return admittedParts;
}

test("a route whose requests fail further down is turned away at the entry, and others are not", () => {
    const clock = ManualClock.create();
    const throttle = ChainThrottle.create(clock, createRandom());
    const parts = play(throttle, clock, 5, request => request % 25 === 0);
    assert.ok(parts.at(-1)! < 0.3, `admitted ${parts.join(" ")}`);
    assert.ok(parts.at(-1)! > 0.04, `some requests find out when the chain recovers: ${parts.join(" ")}`);
    assert.equal(throttle.decide("book").kind, "admitted");
});

test("after the chain has recovered, all requests are admitted within a few seconds", () => {
    const clock = ManualClock.create();
    const throttle = ChainThrottle.create(clock, createRandom());
    play(throttle, clock, 5, () => false);
    const parts = play(throttle, clock, 6, () => true);
    assert.ok(parts[3]! > 0.95, `admitted ${parts.join(" ")}`);
});

test("failures of the smaller part turn nobody away", () => {
    const clock = ManualClock.create();
    const throttle = ChainThrottle.create(clock, createRandom());
    const parts = play(throttle, clock, 5, request => request % 3 !== 0);
    assert.deepEqual(parts, [1, 1, 1, 1, 1]);
});

test("a process without work to wait for takes everything", () => {
    const clock = ManualClock.create();
    const guard = ProcessorGuard.create(clock);
    clock.advance(1_000);
    assert.equal(guard.decide(2).kind, "admitted");
});

test("a process that lags behind refuses the least important first, and takes all again soon after", () => {
    const clock = ManualClock.create();
    const guard = ProcessorGuard.create(clock);
    for (let stall = 0; stall < 10; stall++) {
        clock.pause(120);
    }
    assert.deepEqual([0, 1, 2, 7].map(priority => guard.decide(priority).kind), [
        "admitted",
        "admitted",
        "refused",
        "refused",
    ]);
    for (let stall = 0; stall < 10; stall++) {
        clock.pause(600);
    }
    assert.equal(guard.decide(0).kind, "refused");
    clock.advance(1_000);
    assert.equal(guard.decide(2).kind, "admitted");
});
