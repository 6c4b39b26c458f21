import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestLog, UnexpectedErrorGuard } from "../index.js";

function createGuard(clock: ManualClock, lines: string[]): UnexpectedErrorGuard {
    const options = { host: "a", decisionLinesPerSecond: 0, successSampleInterval: 1 };
    const log = RequestLog.create(clock, options, { write: line => void lines.push(line) });
    return UnexpectedErrorGuard.create(clock, log);
}

test("a process goes on after single errors, and each is logged with its stack", () => {
    const clock = ManualClock.create();
    const lines: string[] = [];
    const guard = createGuard(clock, lines);
    for (let error = 0; error < 100; error++) {
        assert.equal(guard.mustEndAfter(new Error("of one request"), "unhandledRejection"), false);
        clock.advance(5_000);
    }
    assert.equal(lines.length, 100);
    assert.match(lines[0]!, /unexpected-error.*of one request.*unexpected-error-guard/);
});

test("a process ends when errors keep coming", () => {
    const guard = createGuard(ManualClock.create(), []);
    const decisions = Array.from({ length: 21 }, () => guard.mustEndAfter("no error object", "uncaughtException"));
    assert.equal(decisions.at(-1), true);
    assert.ok(decisions.slice(0, 20).every(mustEnd => !mustEnd));
});
