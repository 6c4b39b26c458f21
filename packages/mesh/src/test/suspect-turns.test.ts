import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { SuspectTurn, TurnRequest } from "../process/suspect-turns.js";
import { SuspectTurns } from "../process/suspect-turns.js";

const WAIT_MS = 100;

/** What each turn was granted so far; undefined while it waits. */
async function grantsOf(turns: readonly SuspectTurn[]): Promise<(boolean | undefined)[]> {
    return await Promise.all(turns.map(({ granted }) => Promise.race([granted, Promise.resolve(undefined)])));
}

function createTurns(...requests: Partial<TurnRequest>[]) {
    const clock = ManualClock.create();
    const order = SuspectTurns.create(clock);
    const turns = requests.map((request, index) =>
        order.enter({ fingerprint: String(index), mustBeAlone: () => false, startByMs: WAIT_MS, ...request })
    );
    return { clock, order, turns };
}

test("suspects run one at a time, in the order in which they came", async () => {
    const { turns } = createTurns({}, {}, {});
    assert.deepEqual(await grantsOf(turns), [true, undefined, undefined]);
    turns[0]!.end();
    turns[0]!.end();
    assert.deepEqual(await grantsOf(turns), [true, true, undefined]);
    assert.ok(turns[1]!.isAlone);
});

test("a suspect that is given up while it waits does not hold up the others", async () => {
    const { turns } = createTurns({}, {}, {});
    turns[1]!.end();
    turns[0]!.end();
    assert.deepEqual(await grantsOf(turns), [true, false, true]);
});

test("a suspect that would be late runs beside others, and neither counts as alone then", async () => {
    const { clock, turns } = createTurns({}, {});
    clock.advance(WAIT_MS);
    assert.deepEqual(await grantsOf(turns), [true, true]);
    assert.deepEqual(turns.map(({ isAlone }) => isAlone), [false, false]);
});

test("copies of one suspect that run beside each other count as alone: an end names it", async () => {
    const { clock, turns } = createTurns({ fingerprint: "a" }, { fingerprint: "a" });
    clock.advance(WAIT_MS);
    assert.deepEqual(await grantsOf(turns), [true, true]);
    assert.deepEqual(turns.map(({ isAlone }) => isAlone), [true, true]);
});

test("a suspect of more than one end runs beside no other, however long it or the other waits", async () => {
    const { clock, turns } = createTurns({}, { mustBeAlone: () => true }, {});
    clock.advance(WAIT_MS);
    assert.deepEqual(await grantsOf(turns), [true, undefined, true]);
    turns[0]!.end();
    assert.deepEqual(await grantsOf(turns), [true, undefined, true]);
    turns[2]!.end();
    assert.deepEqual(await grantsOf(turns), [true, true, true]);
    assert.ok(turns[1]!.isAlone);

    const second = createTurns({ mustBeAlone: () => true }, {});
    second.clock.advance(WAIT_MS);
    assert.deepEqual(await grantsOf(second.turns), [true, undefined]);
});

test("a suspect that is found at a second end while it runs is joined by no other", async () => {
    let mustBeAlone = false;
    const { clock, turns } = createTurns({ mustBeAlone: () => mustBeAlone }, {});
    mustBeAlone = true;
    clock.advance(WAIT_MS);
    assert.deepEqual(await grantsOf(turns), [true, undefined]);
    assert.ok(turns[0]!.isAlone);
});

test("all waiting copies of a request run at once when one of them has completed", async () => {
    const { order, turns } = createTurns(
        { fingerprint: "a" },
        { fingerprint: "a" },
        { fingerprint: "b" },
        { fingerprint: "a" },
    );
    order.releaseCleared("a");
    assert.deepEqual(await grantsOf(turns), [true, true, undefined, true]);
    // The released ones are no suspects any more, so an end of the server names none of them.
    assert.deepEqual(turns.map(({ isAlone }) => isAlone), [true, false, true, false]);
    turns[0]!.end();
    assert.deepEqual(await grantsOf(turns), [true, true, true, true]);
});
