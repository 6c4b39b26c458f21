import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestError } from "../index.js";

test("an error that ends a request has no stack trace, and others keep theirs", () => {
    const { stackTraceLimit } = Error;
    const error = RequestError.create("overloaded", { detail: "the queue is full" });
    assert.equal(error.stack?.includes("\n    at "), false);
    assert.equal(error.message, "the queue is full");
    assert.equal(Error.stackTraceLimit, stackTraceLimit);
    assert.ok(new Error("another").stack?.includes("\n    at "));
});
