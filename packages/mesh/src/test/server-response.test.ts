import assert from "node:assert/strict";
import { test } from "node:test";
import { HeaderList } from "../connection/http-exchange.js";
import { toServerOutcome } from "../connection/server-response.js";
import { headerNames } from "./server-rig.js";

const VALID = [headerNames.attemptId, "1", headerNames.signature, "s"];

function outcomeOf(status: number, fields: readonly string[]) {
    const response = { status, headers: HeaderList.create(fields), body: Buffer.alloc(0) };
    return toServerOutcome("1", response, headerNames);
}

test("a response with a content encoding is not the server's body, and the request may have run", () => {
    assert.equal(outcomeOf(200, VALID).kind, "answered");
    assert.equal(outcomeOf(200, [...VALID, "Content-Encoding", "gzip"]).kind, "unknown");
});

test("a response without the server's mark, or to another request, leaves unknown whether the request ran", () => {
    assert.equal(outcomeOf(200, VALID.slice(0, 2)).kind, "unknown");
    assert.equal(outcomeOf(503, [headerNames.attemptId, "2", headerNames.notRun, "1"]).kind, "unknown");
});

test("a server error without the header that says so does not count as not run", () => {
    assert.equal(outcomeOf(503, VALID).kind, "answered");
    assert.equal(outcomeOf(503, [...VALID, headerNames.notRun, "1"]).kind, "not-run");
    assert.equal(outcomeOf(421, VALID).kind, "not-run");
});
