import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../process/clock.js";
import { Quarantine } from "../process/quarantine.js";

const EXPIRY_MS = 1_000;
const MAXIMUM_ENTRIES = 4;
const names = ["a", "b", "c", "d"];

test("a request is quarantined after exactly two crashes since it last completed, despite duplicate notices", () => {
    const stepArbitrary = fc.oneof(
        fc.record({
            kind: fc.constant("crash" as const),
            crashId: fc.constantFrom("1", "2", "3", "4", "5"),
            inFlight: fc.uniqueArray(fc.constantFrom(...names)),
        }),
        fc.record({ kind: fc.constant("clear" as const), name: fc.constantFrom(...names) }),
    );
    fc.assert(
        fc.property(fc.array(stepArbitrary, { maxLength: 30 }), steps => {
            const quarantine = Quarantine.create(ManualClock.create(), {
                expiryMs: EXPIRY_MS,
                maximumEntries: MAXIMUM_ENTRIES,
            });
            const seen = new Map(names.map(name => [name, new Set<string>()]));
            const counts = new Map(names.map(name => [name, 0]));
            for (const step of steps) {
                if (step.kind === "clear") {
                    quarantine.clear(step.name);
                    counts.set(step.name, 0);
                    continue;
                }
                quarantine.recordCrash(step.crashId, step.inFlight);
                for (const name of step.inFlight.filter(name => !seen.get(name)!.has(step.crashId))) {
                    seen.get(name)!.add(step.crashId);
                    counts.set(name, counts.get(name)! + 1);
                }
                for (const name of names) {
                    const count = counts.get(name)!;
                    const expected = count >= 2 ? "quarantined" : count === 1 ? "suspect" : "none";
                    assert.equal(quarantine.suspicionOf(name), expected);
                }
            }
        }),
        { seed: 6103, numRuns: 500 },
    );
});

test("requests are removed after the expiry, and the oldest when there are too many", () => {
    const clock = ManualClock.create();
    const quarantine = Quarantine.create(clock, { expiryMs: EXPIRY_MS, maximumEntries: MAXIMUM_ENTRIES });
    for (const name of ["a", "b", "c", "d", "e"]) {
        quarantine.recordCrash("1", [name]);
        quarantine.recordCrash("2", [name]);
        assert.ok(quarantine.size <= MAXIMUM_ENTRIES);
    }
    assert.equal(quarantine.suspicionOf("a"), "none");
    assert.equal(quarantine.suspicionOf("e"), "quarantined");
    clock.advance(EXPIRY_MS);
    assert.equal(quarantine.suspicionOf("e"), "none");
    assert.equal(quarantine.size, 0);
});

test("crashes count however often the request has crashed servers before", () => {
    const quarantine = Quarantine.create(ManualClock.create(), {
        expiryMs: EXPIRY_MS,
        maximumEntries: MAXIMUM_ENTRIES,
    });
    for (let crash = 0; crash < 40; crash++) {
        quarantine.recordCrash(`earlier-${crash}`, ["a"]);
        quarantine.clear("a");
    }
    quarantine.recordCrash("first", ["a"]);
    quarantine.recordCrash("first", ["a"]);
    assert.equal(quarantine.suspicionOf("a"), "suspect");
    quarantine.recordCrash("second", ["a"]);
    assert.equal(quarantine.suspicionOf("a"), "quarantined");
});
