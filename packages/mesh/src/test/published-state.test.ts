import assert from "node:assert/strict";
import { test } from "node:test";
import { PublishedState } from "../index.js";
import type { PublishedItem, StateUpdate } from "../index.js";

function item(key: string, revision: number, value: string | undefined = `${key}-${revision}`): PublishedItem {
    return { key, revision, value: value === undefined ? undefined : Buffer.from(value) };
}

function snapshot(revision: number, items: readonly PublishedItem[], era = 1): StateUpdate {
    return { kind: "snapshot", position: { era, revision }, items };
}

function changes(revision: number, items: readonly PublishedItem[], era = 1): StateUpdate {
    return { kind: "changes", position: { era, revision }, items };
}

function keysOf(items: readonly PublishedItem[] | undefined): string[] {
    return (items ?? []).map(({ key }) => key).sort();
}

test("a node that is a little behind gets the changes, with only the last one of each item", () => {
    const state = PublishedState.create();
    state.apply(snapshot(10, [item("a", 3), item("b", 9)]));
    state.apply(changes(12, [item("a", 11), item("a", 12)]));
    state.apply(changes(13, [{ key: "b", revision: 13, value: undefined }]));
    const update = state.updateSince({ era: 1, revision: 10 });
    assert.equal(update?.kind, "changes");
    assert.deepEqual(update?.items.map(({ key, revision, value }) => [key, revision, value?.toString()]), [
        ["a", 12, "a-12"],
        ["b", 13, undefined],
    ]);
    assert.equal(state.updateSince({ era: 1, revision: 13 }), undefined);
});

test("a node that is far behind, new or of another era gets everything", () => {
    const state = PublishedState.create();
    state.apply(snapshot(10, [item("a", 3)]));
    state.apply(changes(11, [item("b", 11)]));
    for (const position of [undefined, { era: 1, revision: 9 }, { era: 0, revision: 500 }]) {
        const update = state.updateSince(position);
        assert.equal(update?.kind, "snapshot");
        assert.deepEqual(keysOf(update?.items), ["a", "b"]);
    }
});

test("changes beyond those that are kept are replaced by everything", () => {
    const state = PublishedState.create();
    state.apply(snapshot(0, []));
    for (let revision = 1; revision <= 3_000; revision++) {
        state.apply(changes(revision, [item(`key-${revision % 5}`, revision)]));
    }
    assert.equal(state.updateSince({ era: 1, revision: 100 })?.kind, "snapshot");
    const update = state.updateSince({ era: 1, revision: 2_990 });
    assert.equal(update?.kind, "changes");
    assert.equal(update?.items.length, 5);
});

test("an update that another node hands on late changes nothing", () => {
    const state = PublishedState.create();
    state.apply(snapshot(10, [item("a", 10)]));
    assert.deepEqual(state.apply(snapshot(8, [item("a", 8)])), []);
    assert.deepEqual(state.apply(changes(8, [item("a", 8)])), []);
    assert.deepEqual(state.apply(changes(20, [item("a", 20)], 2)), [], "changes of another era do not fit");
    assert.deepEqual(state.position, { era: 1, revision: 10 });
});

test("a snapshot reports the items that differ and those that are missing", () => {
    const state = PublishedState.create();
    state.apply(snapshot(10, [item("a", 3), item("b", 9), item("c", 10)]));
    const changed = state.apply(snapshot(12, [item("a", 3), item("b", 12)]));
    assert.deepEqual(keysOf(changed), ["b", "c"]);
    assert.equal(changed.find(({ key }) => key === "c")?.value, undefined);
});

test("the platform's own snapshot counts although its revisions are lower than those before", () => {
    const state = PublishedState.create();
    state.apply(snapshot(100, [item("a", 90), item("b", 95)]));
    const changed = state.applyFromPlatform(snapshot(60, [item("a", 50)], 2));
    assert.deepEqual(keysOf(changed), ["a", "b"]);
    assert.deepEqual(state.position, { era: 2, revision: 60 });
    const update = state.updateSince({ era: 1, revision: 100 });
    assert.equal(update?.kind, "snapshot", "positions of before the restore are answered with everything");
    assert.deepEqual(keysOf(update?.items), ["a"]);
});

test("a listener is called once, at the next update, unless it was cancelled", () => {
    const state = PublishedState.create();
    let calls = 0;
    state.onceUpdated(() => calls++);
    state.onceUpdated(() => calls += 10)();
    state.apply(snapshot(1, []));
    state.apply(changes(2, [item("a", 2)]));
    assert.equal(calls, 1);
});

test("values are copied, so that a small item does not keep a large message in memory", () => {
    const message = Buffer.alloc(1_000_000, "x");
    const state = PublishedState.create();
    state.apply({
        kind: "snapshot",
        position: { era: 1, revision: 1 },
        items: [{ key: "a", revision: 1, value: message.subarray(5, 10) }],
    });
    message.fill("y");
    const [held] = state.updateSince(undefined)!.items;
    assert.equal(held?.value?.toString(), "xxxxx");
});
