import assert from "node:assert/strict";
import { test } from "node:test";
import { BacklogMonitor, ManualClock } from "../index.js";
import type { Backlog } from "../index.js";

const HELD_UP_MS = 800;
const TICK_MS = 20;

/** A process whose turns of the event loop end when the test says so. */
function createProcess() {
    const clock = ManualClock.create(1_000);
    let waiting: (() => void)[] = [];
    const afterReading = (callback: () => void) => void waiting.push(callback);
    const time = { suspendedMs: 0 };
    const wallClock = () => clock.nowMs() + time.suspendedMs;
    const watch = BacklogMonitor.create(clock, { afterPollPhase: afterReading, wallClock });
    const endTurn = () => {
        const callbacks = waiting;
        waiting = [];
        callbacks.forEach(callback => callback());
    };
    return { clock, watch, endTurn, time };
}

test("what is read by a process that keeps reading has just arrived", () => {
    const { clock, watch } = createProcess();
    clock.advance(500);
    assert.equal(watch.earliestArrivalMs({}), clock.nowMs());
});

test("what is read after a pause may have waited for all of it, until the turn has ended", () => {
    const { clock, watch, endTurn } = createProcess();
    clock.pause(HELD_UP_MS);
    assert.equal(watch.earliestArrivalMs({}), clock.nowMs() - HELD_UP_MS);
    endTurn();
    assert.equal(watch.earliestArrivalMs({}), clock.nowMs());
});

test("the first bytes of a connection that was accepted after a pause may have waited as long as the connection", () => {
    const { clock, watch, endTurn } = createProcess();
    const connection = {};
    clock.pause(HELD_UP_MS);
    const pausedAtMs = clock.nowMs() - HELD_UP_MS;
    watch.recordAccepted(connection);
    endTurn();
    assert.equal(watch.earliestArrivalMs(connection), pausedAtMs);
    endTurn();
    assert.equal(watch.earliestArrivalMs(connection), clock.nowMs());
});

test("connections that are accepted one a turn for long are told as a backlog, and their first bytes as first", async () => {
    const { clock, watch, endTurn } = createProcess();
    const told: Backlog[] = [];
    watch.events.on("noticed", backlog => void told.push(backlog));
    for (let turn = 0; turn < 50; turn++) {
        clock.advance(10);
        const connection = {};
        watch.recordAccepted(connection);
        endTurn();
        assert.equal(watch.isNewlyAccepted(connection), true);
    }
    endTurn();
    await new Promise(resolve => setImmediate(resolve));
    assert.deepEqual(told, [{ of: "connections", waitedMs: 490 }]);
});

test("long turns one after another do not add up", () => {
    const { clock, watch, endTurn } = createProcess();
    for (let turn = 0; turn < 10; turn++) {
        clock.pause(HELD_UP_MS);
        const waitedMs = clock.nowMs() - watch.earliestArrivalMs({});
        assert.ok(waitedMs <= HELD_UP_MS + TICK_MS, `${waitedMs} ms`);
        endTurn();
    }
});

test("a suspension of the host, which the steady clock does not count, makes input wait", () => {
    const { clock, watch, time } = createProcess();
    time.suspendedMs = HELD_UP_MS;
    assert.equal(watch.earliestArrivalMs({}), clock.nowMs() - HELD_UP_MS);
});

test("a backlog is told once", async () => {
    const { clock, watch } = createProcess();
    const told: number[] = [];
    watch.events.on("noticed", ({ waitedMs }) => void told.push(waitedMs));
    clock.pause(HELD_UP_MS);
    watch.earliestArrivalMs({});
    watch.earliestArrivalMs({});
    await new Promise(resolve => setImmediate(resolve));
    assert.deepEqual(told, [HELD_UP_MS]);
});

test("input has caught up only when the next turn has been read as well", async () => {
    const { clock, watch, endTurn } = createProcess();
    clock.pause(HELD_UP_MS);
    assert.equal(watch.isReadingBacklog(), true);
    let isCaughtUp = false;
    const caughtUp = watch.whenCaughtUp().then(() => isCaughtUp = true);
    endTurn();
    await Promise.resolve();
    assert.equal(isCaughtUp, false);
    endTurn();
    await caughtUp;
    assert.equal(watch.isReadingBacklog(), false);
});
