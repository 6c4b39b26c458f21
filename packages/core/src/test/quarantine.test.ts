import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../process/clock.js";
import { Quarantine } from "../process/quarantine.js";

const EXPIRY_MS = 600_000;
const MAXIMUM_ENDS = 16;
const MAXIMUM_SUSPECTS = 4;
const MAXIMUM_FINGERPRINTS = 40;
/** Longer than the time in which two ends may have one cause. */
const LATER_MS = 120_000;
const names = ["a", "b", "c", "d"];

function createQuarantine(clock = ManualClock.create()): Quarantine {
    return Quarantine.create(clock, {
        expiryMs: EXPIRY_MS,
        maximumEnds: MAXIMUM_ENDS,
        maximumSuspects: MAXIMUM_SUSPECTS,
        maximumFingerprints: MAXIMUM_FINGERPRINTS,
    });
}

function recordEnd(quarantine: Quarantine, id: string, suspects: readonly string[], tried?: string): boolean {
    return quarantine.recordEnd({ id, suspects, cleared: [], tried, ageMs: 0, idleMs: 0 });
}

test("a request is quarantined after two ends since it last completed, if it ran alone at one of them", () => {
    const quarantine = createQuarantine();
    recordEnd(quarantine, "1", ["a", "b"]);
    assert.equal(quarantine.suspicionOf("a"), "suspect");
    assert.equal(quarantine.suspicionOf("b"), "suspect");
    quarantine.clear("b");
    recordEnd(quarantine, "2", ["a", "c"], "a");
    assert.equal(quarantine.suspicionOf("a"), "quarantined");
    assert.equal(quarantine.suspicionOf("b"), "none");
    assert.equal(quarantine.suspicionOf("c"), "suspect");
});

test("a request that was in flight at any number of ends, and never alone, is not quarantined", () => {
    const quarantine = createQuarantine();
    for (let end = 0; end < 5; end++) {
        recordEnd(quarantine, String(end), ["a", "b"]);
        assert.equal(quarantine.suspicionOf("a"), "suspect");
    }
    quarantine.clear("a");
    assert.equal(quarantine.suspicionOf("a"), "none");
});

test("a request that ran alone when more requests were in flight than are stored is still held as the one that did", () => {
    const quarantine = createQuarantine();
    recordEnd(quarantine, "1", ["f", "g", "h", "i", "j", "a"], "a");
    recordEnd(quarantine, "2", ["k", "l", "m", "n", "o", "a"], "a");
    assert.equal(quarantine.suspicionOf("a"), "quarantined");
});

test("of more requests than are stored for an end, those that were in flight at earlier ends are held", () => {
    const quarantine = createQuarantine();
    recordEnd(quarantine, "1", ["a"]);
    recordEnd(quarantine, "2", ["b", "c", "d", "e", "f", "a"]);
    assert.equal(quarantine.endCountOf("a"), 2);
});

test("where all ends together have more requests than are stored, the ends that were met longest ago are dropped", () => {
    const quarantine = createQuarantine();
    for (let end = 0; end < 12; end++) {
        recordEnd(quarantine, String(end), [`a-${end}`, `b-${end}`, `c-${end}`, `d-${end}`]);
    }
    assert.deepEqual(quarantine.list().map(({ id }) => id).sort(), [
        "10",
        "11",
        "2",
        "3",
        "4",
        "5",
        "6",
        "7",
        "8",
        "9",
    ]);
});

test("each request that completes after an end is cleared, however many have before it", () => {
    const quarantine = createQuarantine();
    for (const name of ["a", "b", "c", "d", "e", "f"]) {
        recordEnd(quarantine, "1", [name]);
        quarantine.clear(name);
        assert.equal(quarantine.suspicionOf(name), "none");
    }
});

test("where servers end without the request too, it is quarantined after three ends", () => {
    const quarantine = createQuarantine();
    recordEnd(quarantine, "other", ["d"]);
    recordEnd(quarantine, "1", ["a"]);
    recordEnd(quarantine, "2", ["a"], "a");
    assert.equal(quarantine.suspicionOf("a"), "suspect");
    recordEnd(quarantine, "3", ["a"], "a");
    assert.equal(quarantine.suspicionOf("a"), "quarantined");
});

test("a request that was found after three ends stays so when servers end for other reasons later", () => {
    const quarantine = createQuarantine();
    recordEnd(quarantine, "1", ["a"]);
    recordEnd(quarantine, "2", ["a"]);
    recordEnd(quarantine, "3", ["a"], "a");
    recordEnd(quarantine, "other", ["d"]);
    assert.equal(quarantine.suspicionOf("a"), "quarantined");
});

test("a request that ran alone at two ends stays found, whatever else was in flight there and ends servers later", () => {
    const quarantine = createQuarantine();
    recordEnd(quarantine, "1", ["a", "b"]);
    recordEnd(quarantine, "2", ["a", "b"], "a");
    assert.equal(quarantine.suspicionOf("a"), "suspect");
    recordEnd(quarantine, "3", ["a", "c"], "a");
    recordEnd(quarantine, "4", ["c"]);
    assert.equal(quarantine.suspicionOf("a"), "quarantined");
    assert.equal(quarantine.suspicionOf("b"), "suspect");
    assert.equal(quarantine.suspicionOf("c"), "suspect");
});

test("requests that end servers at the same time are each quarantined after two ends", () => {
    const quarantine = createQuarantine();
    recordEnd(quarantine, "1", ["a"]);
    recordEnd(quarantine, "2", ["b"]);
    recordEnd(quarantine, "3", ["a"], "a");
    recordEnd(quarantine, "4", ["b"], "b");
    assert.equal(quarantine.suspicionOf("a"), "quarantined");
    assert.equal(quarantine.suspicionOf("b"), "quarantined");
});

test("a request that ran alone, but for one that had begun before it was a suspect, is not quarantined", () => {
    const quarantine = createQuarantine();
    recordEnd(quarantine, "1", ["a", "b"]);
    recordEnd(quarantine, "2", ["a", "b"], "a");
    assert.equal(quarantine.suspicionOf("a"), "suspect");
    recordEnd(quarantine, "3", ["b"], "b");
    assert.equal(quarantine.suspicionOf("b"), "quarantined");
    assert.equal(quarantine.suspicionOf("a"), "suspect");
    quarantine.clear("a");
    assert.equal(quarantine.suspicionOf("b"), "quarantined");
});

test("ends long before or after do not count as having the same cause", () => {
    const clock = ManualClock.create();
    const quarantine = createQuarantine(clock);
    recordEnd(quarantine, "other", ["d"]);
    clock.advance(LATER_MS);
    recordEnd(quarantine, "1", ["a"]);
    recordEnd(quarantine, "2", ["a"], "a");
    clock.advance(LATER_MS);
    recordEnd(quarantine, "yet another", ["d"]);
    assert.equal(quarantine.suspicionOf("a"), "quarantined");
});

test("notices make the same state in any order, and duplicates count once", () => {
    const endArbitrary = fc.record({
        id: fc.constantFrom("1", "2", "3"),
        suspects: fc.uniqueArray(fc.constantFrom(...names)),
        tried: fc.option(fc.constantFrom(...names), { nil: undefined }),
    });
    fc.assert(
        fc.property(fc.array(endArbitrary, { maxLength: 12 }), fc.array(fc.nat(), { maxLength: 12 }), (ends, order) => {
            // The node beside a server names one request that ran alone, in all its notices.
            const triedById = new Map(ends.map(({ id, tried }) => [id, tried]));
            const consistent = ends.map(end => ({ ...end, tried: triedById.get(end.id) }));
            const shuffled = [...consistent, ...consistent.slice(0, 3)]
                .map((end, index) => ({ end, rank: order[index] ?? index }))
                .sort((left, right) => left.rank - right.rank);
            const first = createQuarantine();
            const second = createQuarantine();
            consistent.forEach(({ id, suspects, tried }) => recordEnd(first, id, suspects, tried));
            shuffled.forEach(({ end }) => recordEnd(second, end.id, end.suspects, end.tried));
            for (const name of names) {
                assert.equal(second.suspicionOf(name), first.suspicionOf(name));
            }
        }),
        { seed: 6103, numRuns: 500 },
    );
});

test("a request is never quarantined without two ends since it last completed", () => {
    const stepArbitrary = fc.oneof(
        fc.record({
            kind: fc.constant("end" as const),
            id: fc.constantFrom("1", "2", "3", "4", "5"),
            suspects: fc.uniqueArray(fc.constantFrom(...names)),
            tried: fc.option(fc.constantFrom(...names), { nil: undefined }),
        }),
        fc.record({ kind: fc.constant("clear" as const), name: fc.constantFrom(...names) }),
    );
    fc.assert(
        fc.property(fc.array(stepArbitrary, { maxLength: 30 }), steps => {
            const quarantine = createQuarantine();
            const seen = new Map(names.map(name => [name, new Set<string>()]));
            const counts = new Map(names.map(name => [name, 0]));
            for (const step of steps) {
                if (step.kind === "clear") {
                    quarantine.clear(step.name);
                    counts.set(step.name, 0);
                    continue;
                }
                recordEnd(quarantine, step.id, step.suspects, step.tried);
                for (const name of step.suspects.filter(name => !seen.get(name)!.has(step.id))) {
                    seen.get(name)!.add(step.id);
                    counts.set(name, counts.get(name)! + 1);
                }
                for (const name of names) {
                    const suspicion = quarantine.suspicionOf(name);
                    assert.equal(suspicion === "none", counts.get(name) === 0);
                    assert.ok(suspicion !== "quarantined" || counts.get(name)! >= 2);
                }
            }
        }),
        { seed: 6103, numRuns: 500 },
    );
});

test("a notice that arrives after the request completed does not make it a suspect again", () => {
    const quarantine = createQuarantine();
    recordEnd(quarantine, "1", ["a"]);
    assert.deepEqual(quarantine.clear("a").map(({ id, cleared }) => [id, cleared]), [["1", ["a"]]]);
    assert.equal(recordEnd(quarantine, "1", ["a"]), false);
    assert.equal(quarantine.suspicionOf("a"), "none");
    assert.equal(quarantine.isEmpty, true);
});

test("a request that is known to have completed after an end is no suspect when the notice of the end arrives", () => {
    const first = createQuarantine();
    recordEnd(first, "1", ["a", "b"]);
    const cleared = first.clear("a");
    assert.deepEqual(first.clear("a"), []);
    const second = createQuarantine();
    cleared.forEach(end => assert.equal(second.recordEnd(end), true));
    recordEnd(second, "1", ["a", "b"]);
    assert.equal(second.suspicionOf("a"), "none");
    assert.equal(second.suspicionOf("b"), "suspect");
    recordEnd(second, "2", ["a"], "a");
    assert.equal(second.suspicionOf("a"), "suspect");
});

test("suspicion ends the expiry after the last arrival, not after the last end", () => {
    const clock = ManualClock.create();
    const quarantine = createQuarantine(clock);
    recordEnd(quarantine, "1", ["a"]);
    recordEnd(quarantine, "2", ["a"], "a");
    for (let arrivals = 0; arrivals < 6; arrivals++) {
        clock.advance(EXPIRY_MS / 2);
        assert.equal(quarantine.recordArrival("a"), true);
        assert.equal(quarantine.recordArrival("a"), false);
        assert.equal(quarantine.suspicionOf("a"), "quarantined");
    }
    const [end] = quarantine.list();
    assert.equal(end?.idleMs, 0);
    clock.advance(EXPIRY_MS);
    assert.equal(quarantine.suspicionOf("a"), "none");
    assert.equal(quarantine.size, 0);
});

test("a node that is told of ends holds them as long as the one that tells it", () => {
    const clock = ManualClock.create();
    const first = createQuarantine(clock);
    recordEnd(first, "1", ["a"]);
    recordEnd(first, "2", ["a"], "a");
    clock.advance(EXPIRY_MS / 2);
    const second = createQuarantine(clock);
    first.list().forEach(end => assert.equal(second.recordEnd(end), true));
    assert.equal(second.suspicionOf("a"), "quarantined");
    clock.advance(EXPIRY_MS / 2);
    assert.equal(second.suspicionOf("a"), first.suspicionOf("a"));
    assert.equal(second.suspicionOf("a"), "none");
});

test("ends and their suspects are bounded; those that arrived longest ago are dropped first", () => {
    const clock = ManualClock.create();
    const quarantine = createQuarantine(clock);
    recordEnd(quarantine, "kept", ["a"]);
    for (let end = 0; end < 3 * MAXIMUM_ENDS; end++) {
        clock.advance(1);
        quarantine.recordArrival("a");
        recordEnd(quarantine, `end ${end}`, Array.from({ length: 20 }, (_, number) => `${end}/${number}`));
        assert.ok(quarantine.size <= MAXIMUM_ENDS * MAXIMUM_SUSPECTS);
    }
    assert.equal(quarantine.suspicionOf("a"), "suspect");
    assert.equal(quarantine.suspicionOf("0/0"), "none");
});
