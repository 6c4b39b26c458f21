import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, PauseDetector } from "../index.js";

const PAUSE_MS = 2_000;

test("input that a busy process reads some time after a pause counts as having waited for the pause", () => {
    const clock = ManualClock.create();
    let idleMs = 0;
    const detector = PauseDetector.create(clock, () => idleMs);
    clock.advance(1_000);
    assert.equal(detector.waitedMs(), 0);
    clock.pause(PAUSE_MS);
    clock.advance(300);
    assert.ok(detector.waitedMs() >= PAUSE_MS, `${detector.waitedMs()}`);
    idleMs += 100;
    clock.advance(1_000);
    assert.equal(detector.waitedMs(), 0);
});

test("input counts as having waited until the event loop has waited for input again, however long that takes", () => {
    const clock = ManualClock.create();
    let idleMs = 0;
    const detector = PauseDetector.create(clock, () => idleMs);
    // The event loop waited for input throughout the pause.
    idleMs += PAUSE_MS;
    clock.pause(PAUSE_MS);
    for (let elapsedMs = 0; elapsedMs < 3_000; elapsedMs += 50) {
        clock.advance(50);
        assert.ok(detector.waitedMs() >= PAUSE_MS, `${elapsedMs}: ${detector.waitedMs()}`);
    }
    idleMs += 100;
    clock.advance(50);
    assert.equal(detector.waitedMs(), 0);
});
