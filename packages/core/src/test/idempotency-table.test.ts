import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../process/clock.js";
import { IdempotencyTable } from "../process/idempotency-table.js";
import type { KeyAttempt, StoredResponse } from "../process/idempotency-table.js";

const RETENTION_MS = 1_000;
const MAXIMUM_KEYS = 4;
const MAXIMUM_ANSWER_BYTES = 300;

type Step =
    | { readonly kind: "begin"; readonly key: string; readonly fingerprint: string; }
    | {
        readonly kind: "end";
        readonly key: string;
        readonly how: "complete" | "release" | "lose";
        readonly size: number;
    }
    | { readonly kind: "advance"; readonly durationMs: number; };

const keyArbitrary = fc.constantFrom("a", "b", "c", "d", "e", "f");
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
    fc.record({ kind: fc.constant("begin" as const), key: keyArbitrary, fingerprint: fc.constantFrom("x", "y") }),
    fc.record({
        kind: fc.constant("end" as const),
        key: keyArbitrary,
        how: fc.constantFrom("complete" as const, "release" as const, "lose" as const),
        size: fc.integer({ min: 0, max: 200 }),
    }),
    fc.record({ kind: fc.constant("advance" as const), durationMs: fc.integer({ min: 1, max: 700 }) }),
);

interface ExpectedEntry {
    readonly fingerprint: string;
    readonly endedAtMs: number | undefined;
    readonly answer: StoredResponse | undefined;
}

test("a key runs at most once while it is stored, and returns only its own response", () => {
    fc.assert(
        fc.property(fc.array(stepArbitrary, { maxLength: 60 }), steps => {
            const clock = ManualClock.create();
            const table = IdempotencyTable.create(clock, {
                retentionMs: RETENTION_MS,
                maximumKeys: MAXIMUM_KEYS,
                maximumResponseBytes: MAXIMUM_ANSWER_BYTES,
            });
            const attempts = new Map<string, KeyAttempt>();
            const expectedEntries = new Map<string, ExpectedEntry>();
            for (const step of steps) {
                if (step.kind === "advance") {
                    clock.advance(step.durationMs);
                    continue;
                }
                const expectedEntry = expectedEntries.get(step.key);
                if (step.kind === "end") {
                    const attempt = attempts.get(step.key);
                    attempts.delete(step.key);
                    if (attempt && expectedEntry) {
                        const answer = { status: 200, headers: {}, content: Buffer.alloc(step.size, step.key) };
                        endAttempt(attempt, step.how, answer);
                        expectedEntries.delete(step.key);
                        if (step.how !== "release") {
                            const kept = step.how === "complete" ? answer : undefined;
                            expectedEntries.set(step.key, { ...expectedEntry, endedAtMs: clock.nowMs(), answer: kept });
                        }
                    }
                    continue;
                }
                const isStored = expectedEntry &&
                    (expectedEntry.endedAtMs === undefined || clock.nowMs() - expectedEntry.endedAtMs < RETENTION_MS);
                const decision = table.begin(step.key, step.fingerprint);
                assert.ok(table.size <= MAXIMUM_KEYS);
                if (!isStored) {
                    assert.ok(decision.kind === "run" || decision.kind === "full");
                    if (decision.kind === "run") {
                        attempts.set(step.key, decision.attempt);
                        const { fingerprint } = step;
                        expectedEntries.set(step.key, { fingerprint, endedAtMs: undefined, answer: undefined });
                    }
                }
                else if (expectedEntry.fingerprint !== step.fingerprint) {
                    assert.equal(decision.kind, "reused");
                }
                else if (expectedEntry.endedAtMs === undefined) {
                    assert.equal(decision.kind, "running");
                }
                else if (decision.kind === "answered") {
                    assert.equal(decision.answer, expectedEntry.answer);
                }
                else {
                    assert.equal(decision.kind, "unknown");
                }
            }
        }),
        { seed: 6101, numRuns: 500 },
    );
});

test("the oldest response is dropped when the stored responses exceed the byte limit", () => {
    const table = IdempotencyTable.create(ManualClock.create(), {
        retentionMs: RETENTION_MS,
        maximumKeys: MAXIMUM_KEYS,
        maximumResponseBytes: MAXIMUM_ANSWER_BYTES,
    });
    for (const key of ["a", "b"]) {
        const decision = table.begin(key, "x");
        assert.ok(decision.kind === "run");
        decision.attempt.complete({ status: 200, headers: {}, content: Buffer.alloc(200) });
    }
    assert.equal(table.begin("a", "x").kind, "unknown");
    assert.equal(table.begin("b", "x").kind, "answered");
});

function endAttempt(attempt: KeyAttempt, how: "complete" | "release" | "lose", answer: StoredResponse): void {
    switch (how) {
        case "complete":
            return attempt.complete(answer);
        case "release":
            return attempt.release();
        case "lose":
            return attempt.markUnknown();
    }
}
