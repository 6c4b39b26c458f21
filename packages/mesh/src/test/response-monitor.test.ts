import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import { ResponseMonitor } from "../index.js";

/** Way of a message to the peer and back. */
const ROUND_TRIP_MS = 5;

let clock: ManualClock;
let isWaiting: boolean;
let isAlive: boolean;
let pings: number[];
let doubtfulAtMs: number | undefined;
let unresponsiveAtMs: number | undefined;
let monitor: ResponseMonitor;

beforeEach(() => start(1_003));

function start(nowMs: number): void {
    clock = ManualClock.create(nowMs);
    isWaiting = false;
    isAlive = true;
    pings = [];
    doubtfulAtMs = undefined;
    unresponsiveAtMs = undefined;
    monitor = ResponseMonitor.create({
        clock,
        isWaiting: () => isWaiting,
        ping: () => {
            pings.push(clock.nowMs());
            clock.setTimer(ROUND_TRIP_MS, () => isAlive ? monitor.recordMessage() : undefined);
        },
        onDoubtful: () => {
            doubtfulAtMs = clock.nowMs();
        },
        onUnresponsive: () => {
            unresponsiveAtMs = clock.nowMs();
        },
    });
}

/** Has a call pending for a time. */
function call(durationMs: number): void {
    isWaiting = true;
    monitor.watch();
    clock.advance(durationMs);
    isWaiting = false;
}

test("calls of less than 0.2 s cost no ping", () => {
    for (let offsetMs = 0; offsetMs < 50; offsetMs += 7) {
        start(1_000 + offsetMs);
        call(195);
        assert.deepEqual(pings, []);
    }
});

test("a call of 550 ms costs two pings at most", () => {
    call(550);
    assert.ok(pings.length <= 2, `${pings}`);
    assert.equal(unresponsiveAtMs, undefined);
});

test("a peer that responds to pings is not unresponsive, however long a call takes", () => {
    call(20_000);
    assert.equal(doubtfulAtMs, undefined);
    assert.equal(unresponsiveAtMs, undefined);
});

test("a peer that falls silent is in doubt after 0.35 s and noticed within 0.65 s, and has 0.25 s at least to respond to a ping", () => {
    for (let offsetMs = 0; offsetMs < 50; offsetMs += 7) {
        start(1_000 + offsetMs);
        const startedAtMs = clock.nowMs();
        isAlive = false;
        call(700);
        const noticedAfterMs = (unresponsiveAtMs ?? Infinity) - startedAtMs;
        assert.ok(noticedAfterMs > 550 && noticedAfterMs <= 650, `noticed after ${noticedAfterMs} ms`);
        const doubtfulAfterMs = (doubtfulAtMs ?? Infinity) - startedAtMs;
        assert.ok(doubtfulAfterMs >= 300 && doubtfulAfterMs <= 350, `in doubt after ${doubtfulAfterMs} ms`);
        const responseTimeMs = startedAtMs + noticedAfterMs - pings[0]!;
        assert.ok(responseTimeMs >= 250, `${responseTimeMs} ms to respond`);
    }
});

test("a delay of this process does not count against the peer", () => {
    isWaiting = true;
    monitor.watch();
    clock.pause(3_000);
    assert.equal(unresponsiveAtMs, undefined);
    monitor.recordMessage();
    clock.advance(500);
    assert.equal(unresponsiveAtMs, undefined);
});
