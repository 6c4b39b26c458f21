import assert from "node:assert/strict";
import { test } from "node:test";
import { TransitDelay } from "../index.js";

test("a message that took longer than the fastest one is delayed by the difference", () => {
    const delay = TransitDelay.create();
    assert.equal(delay.measure(1_000, 50), 0);
    assert.ok(Math.abs(delay.measure(1_100, 450) - 300) < 1);
    assert.ok(Math.abs(delay.measure(1_600, 650)) < 1);
});

test("clocks that drift apart do not make a delay", () => {
    const delay = TransitDelay.create();
    const HOUR_MS = 3_600_000;
    const SECOND_MS = 1_000;
    for (let atMs = 0; atMs < HOUR_MS; atMs += SECOND_MS) {
        assert.ok(delay.measure(atMs, atMs * 1.0001) < 2);
    }
});
