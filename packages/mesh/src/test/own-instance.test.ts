import assert from "node:assert/strict";
import { test } from "node:test";
import { OwnInstance } from "../index.js";

test("what the server says of itself goes before its entry, until the entry changes", () => {
    const own = OwnInstance.create();
    assert.equal(own.current, undefined);
    own.adoptListed("old");
    own.adoptTold("new");
    own.adoptListed("old");
    assert.equal(own.current, "new");
    own.adoptListed("newest");
    assert.equal(own.current, "newest");
});
