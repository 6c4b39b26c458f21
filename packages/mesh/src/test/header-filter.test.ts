import assert from "node:assert/strict";
import { test } from "node:test";
import { HeaderFilter } from "../index.js";

test("hop-by-hop fields and configured fields are dropped, whatever their case", () => {
    const filter = HeaderFilter.create(new Set(["api-key"]));
    const fields = ["Host", "a", "KEEP-ALIVE", "timeout=5", "Api-Key", "secret", "api-key", "other", "X-Own", "kept"];
    assert.deepEqual(filter.filter(fields), ["Host", "a", "X-Own", "kept"]);
    assert.deepEqual(filter.filter(fields), ["Host", "a", "X-Own", "kept"]);
});

test("fields that the Connection header names are dropped, including those that precede it", () => {
    const filter = HeaderFilter.create();
    const fields = [
        "X-Hop",
        "1",
        "Connection",
        "close, x-hop",
        "X-Own",
        "kept",
        "Connection",
        "X-Other",
        "x-other",
        "2",
    ];
    assert.deepEqual(filter.filter(fields), ["X-Own", "kept"]);
    assert.deepEqual(filter.filter(["X-Hop", "1", "Connection", "keep-alive"]), ["X-Hop", "1"]);
});

test("names beyond the capacity of the rule cache are still filtered by their rule", () => {
    const filter = HeaderFilter.create(new Set(["api-key"]));
    for (let index = 0; index < 2_000; index++) {
        assert.deepEqual(filter.filter([`X-${index}`, "kept"]), [`X-${index}`, "kept"]);
    }
    assert.deepEqual(filter.filter(["aPi-KeY", "secret", "TE", "trailers"]), []);
});
