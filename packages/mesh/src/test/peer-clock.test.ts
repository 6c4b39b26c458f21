import assert from "node:assert/strict";
import { test } from "node:test";
import { PeerClock } from "../index.js";

const CLOCK_OFFSET_MS = 70_000;
const TRANSIT_MS = 2;

/** Records an exchange whose reply takes `replyTransitMs` to arrive. */
function recordExchange(
    clock: PeerClock,
    requestedAtMs: number,
    replyTransitMs = TRANSIT_MS,
    clockOffsetMs = CLOCK_OFFSET_MS,
): void {
    const repliedAtMs = requestedAtMs + TRANSIT_MS;
    clock.recordExchange(requestedAtMs, repliedAtMs + clockOffsetMs, repliedAtMs + replyTransitMs);
}

/** Delay that the peer measures for a message that takes `transitMs` to arrive. */
function measuredDelayMs(
    clock: PeerClock,
    sentAtMs: number,
    transitMs: number,
    clockOffsetMs = CLOCK_OFFSET_MS,
): number {
    return sentAtMs + transitMs + clockOffsetMs - clock.toPeerTimeMs(sentAtMs);
}

test("the measured delay is at least the true delay, and too long by at most one round trip", () => {
    const clock = PeerClock.create();
    recordExchange(clock, 1_000);
    const delayMs = measuredDelayMs(clock, 1_010, 300);
    assert.ok(delayMs >= 300 && delayMs <= 300 + 2 * TRANSIT_MS, `${delayMs} ms`);
});

test("a late message is not measured as on time after a delayed reply", () => {
    const clock = PeerClock.create();
    recordExchange(clock, 1_000, 250);
    assert.ok(measuredDelayMs(clock, 1_300, 600) >= 600);
    recordExchange(clock, 1_400);
    assert.ok(measuredDelayMs(clock, 1_500, TRANSIT_MS) <= 3 * TRANSIT_MS);
});

test("drift between the clocks neither adds nor hides a delay", () => {
    const HOUR_MS = 3_600_000;
    const SECOND_MS = 1_000;
    for (const drift of [-0.0001, 0.0001]) {
        const clock = PeerClock.create();
        for (let atMs = 0; atMs < HOUR_MS; atMs += SECOND_MS) {
            const clockOffsetMs = CLOCK_OFFSET_MS + atMs * drift;
            recordExchange(clock, atMs, TRANSIT_MS, clockOffsetMs);
            const delayMs = measuredDelayMs(clock, atMs + 10, 300, clockOffsetMs);
            assert.ok(delayMs >= 300 && delayMs < 306, `${delayMs} ms`);
        }
    }
});

test("the offset from before a suspension of the peer's host, during which its clock stopped, is discarded", () => {
    const clock = PeerClock.create();
    recordExchange(clock, 1_000);
    const suspendedMs = 2_000;
    recordExchange(clock, 5_000, TRANSIT_MS, CLOCK_OFFSET_MS - suspendedMs);
    assert.ok(measuredDelayMs(clock, 5_100, 600, CLOCK_OFFSET_MS - suspendedMs) >= 600);
});
