import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import { LocalInstance, LocalServerState, RequestLog, ServerGate } from "../index.js";
import { createServer } from "./example-values.js";

const DRAIN_MS = 2_000;
const READY = createServer("one");
const DRAINING = createServer("one", { state: "draining" });

let clock: ManualClock;
let gate: ServerGate;
let state: LocalServerState;

beforeEach(() => {
    clock = ManualClock.create();
    gate = ServerGate.create(clock);
    const log = RequestLog.create(clock, { host: "a", decisionLinesPerSecond: 0, successSampleInterval: 1 });
    state = LocalServerState.create({ clock, gate, log, localInstance: LocalInstance.create(), drainMs: DRAIN_MS });
    state.apply(READY, 0);
});

test("a server that leaves gets requests that are on their way, but no new ones of its own node", () => {
    state.apply(DRAINING, 0);
    assert.ok(state.isDraining);
    clock.advance(1_199);
    assert.ok(!gate.isClosed);
    clock.advance(1);
    assert.ok(gate.isClosed);
});

test("a server whose leaving was learned late gets nothing after the drain time, counted from the last proof before", () => {
    state.apply(DRAINING, 1_500);
    clock.advance(DRAIN_MS - 1_500);
    assert.ok(gate.isClosed);
});

test("a server whose leaving was learned after the drain time gets nothing at all", () => {
    const noEntry = undefined;
    state.apply(noEntry, 2_600);
    clock.advance(0);
    assert.ok(gate.isClosed);
});

test("a server that leaves, returns and leaves again is closed by its last leaving", () => {
    state.apply(DRAINING, 0);
    clock.advance(1_000);
    state.apply(READY, 0);
    clock.advance(100);
    state.apply(DRAINING, 0);
    clock.advance(1_199);
    assert.ok(!gate.isClosed, "the first leaving does not count any more");
    clock.advance(1);
    assert.ok(gate.isClosed);
    state.apply(READY, 0);
    assert.ok(!gate.isClosed);
});

test("a server that said that it leaves is closed like one that drains, and reported until it starts anew", () => {
    const start = { instance: "one", startedAtMs: 5 };
    state.recordLeaving(start);
    assert.ok(state.isDraining);
    assert.deepEqual(state.leaving, start);
    clock.advance(1_200);
    assert.ok(gate.isClosed);
    state.apply(createServer("one", { startedAtMs: 6 }), 0);
    assert.ok(!gate.isClosed);
    assert.equal(state.leaving, undefined);
});

test("the rate that a server names holds until it names none, and not for another start at its address", () => {
    state.setRateLimit("one", { kind: "limited", ratePerSecond: 7.5 });
    assert.equal(gate.ratePerSecond, 7.5);
    state.setRateLimit("one", { kind: "limited", ratePerSecond: 3 });
    state.setRateLimit("one", { kind: "invalid", text: "-1" });
    assert.equal(gate.ratePerSecond, 3, "what is no rate changes nothing");
    state.setRateLimit("one", { kind: "none" });
    assert.equal(gate.ratePerSecond, undefined);
    state.setRateLimit("one", { kind: "limited", ratePerSecond: 3 });
    state.apply(createServer("one", { slots: 7 }), 0);
    assert.equal(gate.ratePerSecond, 3);
    state.apply(createServer("one", { startedAtMs: 6 }), 0);
    assert.equal(gate.ratePerSecond, undefined);
    state.setRateLimit("one", { kind: "limited", ratePerSecond: 3 });
    state.apply(createServer("two", { startedAtMs: 7 }), 0);
    assert.equal(gate.ratePerSecond, undefined);
});
