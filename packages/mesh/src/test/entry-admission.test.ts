import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DownstreamPressure, DownstreamThrottle, ProcessOverloadGuard } from "../index.js";

const SEED = 12_345;

/** Numbers from 0 to 1 that are the same in each run. */
function createRandom(): () => number {
    let state = SEED;
    return () => {
        state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
        return state / 2_147_483_648;
    };
}

interface PlayedSecond {
    readonly admitted: readonly number[];
    readonly served: readonly number[];
}

const REQUESTS_A_SECOND = 100;
const CALLS = 4;

/**
 * Plays requests that make four calls each to a service with room for `callsPerSecond`; half of them are important.
 * A request is served if all of its calls are. The pressure is told with each outcome.
 */
function play(
    throttle: DownstreamThrottle,
    clock: ManualClock,
    seconds: number,
    callsPerSecond: number,
): PlayedSecond[] {
    const random = createRandom();
    const pressure = DownstreamPressure.create(clock);
    const played: PlayedSecond[] = [];
    let room = 0;
    for (let second = 0; second < seconds; second++) {
        const admitted = [0, 0];
        const served = [0, 0];
        for (let request = 0; request < REQUESTS_A_SECOND; request++) {
            const kind = request % 2;
            room = Math.min(callsPerSecond / 10, room + callsPerSecond / REQUESTS_A_SECOND);
            if (throttle.decide("catalogue", kind * 2).kind === "admitted") {
                admitted[kind]!++;
                let refused = 0;
                for (let call = 0; call < CALLS; call++) {
                    const fits = room >= 1 && random() < 0.95;
                    room -= fits ? 1 : 0;
                    refused += room < 1 && !fits ? 1 : 0;
                    pressure.record(fits || room >= 1 ? 0 : 1);
                }
                served[kind]! += refused === 0 ? 1 : 0;
                throttle.record("catalogue", pressure.current());
            }
            clock.advance(1000 / REQUESTS_A_SECOND);
        }
        played.push({ admitted, served });
    }
    return played;
}

test("with a third of the room below, the entry admits what fits, and important requests go first", () => {
    const clock = ManualClock.create();
    const throttle = DownstreamThrottle.create(clock, createRandom());
    const callsPerSecond = CALLS * REQUESTS_A_SECOND / 3;
    const played = play(throttle, clock, 12, callsPerSecond).slice(4);
    const served = played.reduce((sum, { served: [important = 0, other = 0] }) => sum + important + other, 0);
    const possible = played.length * REQUESTS_A_SECOND / 3;
    assert.ok(served > possible * 0.6, `${served} of ${possible} that fit`);
    const important = played.reduce((sum, { served: [count = 0] }) => sum + count, 0);
    assert.ok(important > served * 0.6, `${important} important ones of ${served}`);
});

test("after the room is back, all requests are admitted within a few seconds", () => {
    const clock = ManualClock.create();
    const throttle = DownstreamThrottle.create(clock, createRandom());
    play(throttle, clock, 5, 10);
    const played = play(throttle, clock, 6, 10_000);
    assert.deepEqual(played.at(-1)?.admitted, [50, 50]);
});

test("the longer an overload has lasted, the later those turned away are asked to return", () => {
    const clock = ManualClock.create();
    const throttle = DownstreamThrottle.create(clock, () => 0.99);
    const returnTimesMs: number[] = [];
    for (let step = 0; step < 100; step++) {
        throttle.record("catalogue", 0.9);
        const decision = throttle.decide("catalogue", 2);
        if (decision.kind === "refused") {
            returnTimesMs.push(decision.retryAfterMs);
        }
        clock.advance(50);
    }
    assert.ok(returnTimesMs[0]! < 1_000, `${returnTimesMs[0]}`);
    assert.ok(returnTimesMs.at(-1)! > 4_000 && returnTimesMs.at(-1)! <= 6_000, `${returnTimesMs.at(-1)}`);
});

test("without pressure nobody is turned away", () => {
    const clock = ManualClock.create();
    const throttle = DownstreamThrottle.create(clock, createRandom());
    const played = play(throttle, clock, 3, 10_000);
    assert.ok(played.every(({ admitted }) => admitted[0] === 50 && admitted[1] === 50));
});

test("pressure comes up the chain and fades when there are no calls", () => {
    const clock = ManualClock.create();
    const deep = DownstreamPressure.create(clock);
    const upper = DownstreamPressure.create(clock);
    for (let call = 0; call < 50; call++) {
        deep.record(1);
        upper.record(deep.current());
    }
    assert.ok(upper.current() > 0.7, `${upper.current()}`);
    clock.advance(4_000);
    assert.ok(upper.current() < 0.02, `${upper.current()}`);
});

test("a process without work to wait for takes everything", () => {
    const clock = ManualClock.create();
    const guard = ProcessOverloadGuard.create(clock);
    clock.advance(1_000);
    assert.equal(guard.decide(2).kind, "admitted");
});

test("a process that lags behind refuses the least important first, and takes all again soon after", () => {
    const clock = ManualClock.create();
    const guard = ProcessOverloadGuard.create(clock);
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
