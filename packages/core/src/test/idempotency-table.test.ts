import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../process/clock.js";
import { IdempotencyTable } from "../process/idempotency-table.js";
import type { KeyAttempt, StoredAnswer } from "../process/idempotency-table.js";

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

interface Memory {
    readonly fingerprint: string;
    readonly endedAtMs: number | undefined;
    readonly answer: StoredAnswer | undefined;
}

test("a key runs at most once while it is remembered, and gives only its own answer", () => {
    fc.assert(
        fc.property(fc.array(stepArbitrary, { maxLength: 60 }), steps => {
            const clock = ManualClock.create();
            const table = IdempotencyTable.create(clock, {
                retentionMs: RETENTION_MS,
                maximumKeys: MAXIMUM_KEYS,
                maximumAnswerBytes: MAXIMUM_ANSWER_BYTES,
            });
            const attempts = new Map<string, KeyAttempt>();
            const memories = new Map<string, Memory>();
            for (const step of steps) {
                if (step.kind === "advance") {
                    clock.advance(step.durationMs);
                    continue;
                }
                const memory = memories.get(step.key);
                if (step.kind === "end") {
                    const attempt = attempts.get(step.key);
                    attempts.delete(step.key);
                    if (attempt && memory) {
                        const answer = { status: 200, headers: {}, content: Buffer.alloc(step.size, step.key) };
                        endAttempt(attempt, step.how, answer);
                        memories.delete(step.key);
                        if (step.how !== "release") {
                            const kept = step.how === "complete" ? answer : undefined;
                            memories.set(step.key, { ...memory, endedAtMs: clock.nowMs(), answer: kept });
                        }
                    }
                    continue;
                }
                const isRemembered = memory &&
                    (memory.endedAtMs === undefined || clock.nowMs() - memory.endedAtMs < RETENTION_MS);
                const decision = table.begin(step.key, step.fingerprint);
                assert.ok(table.size <= MAXIMUM_KEYS);
                if (!isRemembered) {
                    assert.ok(decision.kind === "run" || decision.kind === "full");
                    if (decision.kind === "run") {
                        attempts.set(step.key, decision.attempt);
                        const { fingerprint } = step;
                        memories.set(step.key, { fingerprint, endedAtMs: undefined, answer: undefined });
                    }
                }
                else if (memory.fingerprint !== step.fingerprint) {
                    assert.equal(decision.kind, "reused");
                }
                else if (memory.endedAtMs === undefined) {
                    assert.equal(decision.kind, "running");
                }
                else if (decision.kind === "answered") {
                    assert.equal(decision.answer, memory.answer);
                }
                else {
                    assert.equal(decision.kind, "unknown");
                }
            }
        }),
        { seed: 6101, numRuns: 500 },
    );
});

test("an answer is kept while there is room for it", () => {
    const table = IdempotencyTable.create(ManualClock.create(), {
        retentionMs: RETENTION_MS,
        maximumKeys: MAXIMUM_KEYS,
        maximumAnswerBytes: MAXIMUM_ANSWER_BYTES,
    });
    for (const key of ["a", "b"]) {
        const decision = table.begin(key, "x");
        assert.ok(decision.kind === "run");
        decision.attempt.complete({ status: 200, headers: {}, content: Buffer.alloc(200) });
    }
    assert.equal(table.begin("a", "x").kind, "unknown");
    assert.equal(table.begin("b", "x").kind, "answered");
});

function endAttempt(attempt: KeyAttempt, how: "complete" | "release" | "lose", answer: StoredAnswer): void {
    switch (how) {
        case "complete":
            return attempt.complete(answer);
        case "release":
            return attempt.release();
        case "lose":
            return attempt.markUnknown();
    }
}
