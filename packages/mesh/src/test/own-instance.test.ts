import assert from "node:assert/strict";
import { test } from "node:test";
import { LocalInstance } from "../index.js";

test("what the server says of itself goes before its entry, until the entry changes", () => {
    const own = LocalInstance.create();
    assert.equal(own.current, undefined);
    own.setListed("old");
    own.setReported("new");
    own.setListed("old");
    assert.equal(own.current, "new");
    own.setListed("newest");
    assert.equal(own.current, "newest");
});
