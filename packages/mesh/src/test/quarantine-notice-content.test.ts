import type { ServerEnd } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { MAXIMUM_FINGERPRINTS_IN_NOTICE, selectForNotice } from "../process/quarantine-notice-content.js";

function createEnd(id: string, changes: Partial<ServerEnd>): ServerEnd {
    return { id, suspects: [], cleared: [], tried: undefined, ageMs: 0, idleMs: 0, ...changes };
}

function createNames(prefix: string, count: number): string[] {
    return Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
}

test("all that is known is told where it fits", () => {
    const ends = [createEnd("1", { suspects: ["a"], cleared: ["b"] }), createEnd("2", { suspects: ["c"] })];
    assert.deepEqual(selectForNotice(ends), ends);
});

test("a request that ran alone, and one that was in flight at several ends, are told before all others", () => {
    const many = createNames("other", MAXIMUM_FINGERPRINTS_IN_NOTICE);
    const ends = [
        createEnd("3", { suspects: many, cleared: createNames("done", MAXIMUM_FINGERPRINTS_IN_NOTICE) }),
        createEnd("2", { suspects: [...createNames("more", 10), "repeated", "alone"], tried: "alone" }),
        createEnd("1", { suspects: ["repeated"] }),
    ];
    const selected = selectForNotice(ends);
    const fingerprints = selected.flatMap(({ suspects, cleared }) => [...suspects, ...cleared]);
    assert.equal(fingerprints.length, MAXIMUM_FINGERPRINTS_IN_NOTICE);
    assert.deepEqual(selected.find(({ id }) => id === "2")?.suspects, ["repeated", "alone"]);
    assert.deepEqual(selected.find(({ id }) => id === "1")?.suspects, ["repeated"]);
});

test("the latest end is told, however many requests were in flight there", () => {
    const ends = [
        createEnd("2", { suspects: createNames("a", 600) }),
        createEnd("1", { suspects: createNames("b", 60) }),
    ];
    assert.equal(selectForNotice(ends)[0]?.suspects.length, MAXIMUM_FINGERPRINTS_IN_NOTICE);
});
