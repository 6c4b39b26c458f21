import assert from "node:assert/strict";
import { test } from "node:test";
import { HeaderFilter } from "../index.js";

test("fields of one connection and replaced fields are dropped, whatever their case", () => {
    const filter = HeaderFilter.create(new Set(["api-key"]));
    const fields = ["Host", "a", "KEEP-ALIVE", "timeout=5", "Api-Key", "secret", "api-key", "other", "X-Own", "kept"];
    assert.deepEqual(filter.filter(fields), ["Host", "a", "X-Own", "kept"]);
    assert.deepEqual(filter.filter(fields), ["Host", "a", "X-Own", "kept"]);
});

test("fields that the connection header names are dropped, also those before it", () => {
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

test("more names than are remembered are still treated by their rule", () => {
    const filter = HeaderFilter.create(new Set(["api-key"]));
    for (let index = 0; index < 2_000; index++) {
        assert.deepEqual(filter.filter([`X-${index}`, "kept"]), [`X-${index}`, "kept"]);
    }
    assert.deepEqual(filter.filter(["aPi-KeY", "secret", "TE", "trailers"]), []);
});
