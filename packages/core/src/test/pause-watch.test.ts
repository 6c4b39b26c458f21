import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, PauseDetector } from "../index.js";

const PAUSE_MS = 2_000;

test("what a busy process reads only some time after waking counts as having waited for the pause", () => {
    const clock = ManualClock.create();
    const pauses = PauseDetector.create(clock);
    clock.advance(1_000);
    assert.equal(pauses.waitedMs(), 0);
    clock.pause(PAUSE_MS);
    clock.advance(300);
    assert.ok(pauses.waitedMs() >= PAUSE_MS, `${pauses.waitedMs()}`);
    clock.advance(1_000);
    assert.equal(pauses.waitedMs(), 0);
});
