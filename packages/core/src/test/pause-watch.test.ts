import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, PauseDetector } from "../index.js";

const PAUSE_MS = 2_000;

test("input that a busy process reads some time after a pause counts as having waited for the pause", () => {
    const clock = ManualClock.create();
    const detector = PauseDetector.create(clock);
    clock.advance(1_000);
    assert.equal(detector.waitedMs(), 0);
    clock.pause(PAUSE_MS);
    clock.advance(300);
    assert.ok(detector.waitedMs() >= PAUSE_MS, `${detector.waitedMs()}`);
    clock.advance(1_000);
    assert.equal(detector.waitedMs(), 0);
});
