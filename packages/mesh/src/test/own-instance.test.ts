import assert from "node:assert/strict";
import { test } from "node:test";
import { LocalInstance } from "../index.js";

test("the server's own report takes precedence over its entry until the entry changes", () => {
    const local = LocalInstance.create();
    assert.equal(local.current, undefined);
    local.setListed("old");
    local.setReported("new");
    local.setListed("old");
    assert.equal(local.current, "new");
    local.setListed("newest");
    assert.equal(local.current, "newest");
});
