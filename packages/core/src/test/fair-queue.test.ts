import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { FairQueue } from "../process/fair-queue.js";

const SEED = 4_001;

interface Entry {
    readonly organisation: string;
    readonly rank: number;
}

const weights = new Map([["large", 4], ["small", 1], ["tiny", 0.5]]);
const organisationArbitrary = fc.constantFrom("large", "small", "tiny");
const entryArbitrary = fc.record({ organisation: organisationArbitrary, rank: fc.integer({ min: 0, max: 2 }) });

function createQueue(): FairQueue<Entry> {
    return FairQueue.create<Entry>(organisation => weights.get(organisation)!);
}

test("organisations that always have waiting entries are served in proportion to their weights", () => {
    const queue = createQueue();
    const served = new Map([...weights.keys()].map(name => [name, 0]));
    for (const organisation of weights.keys()) {
        for (let count = 0; count < 4; count++) {
            queue.push({ organisation, rank: 1 });
        }
    }
    const rounds = 550;
    for (let round = 0; round < rounds; round++) {
        const { organisation } = queue.takeNext()!;
        served.set(organisation, served.get(organisation)! + 1);
        queue.push({ organisation, rank: 1 });
    }
    for (const [name, weight] of weights) {
        assert.ok(Math.abs(served.get(name)! - rounds * weight / 5.5) <= 2, `${name}: ${served.get(name)}`);
    }
});

test("a request is among the first two served however many requests another organisation has queued", () => {
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 200 }), surplus => {
            const queue = createQueue();
            for (let count = 0; count < surplus; count++) {
                queue.push({ organisation: "large", rank: 1 });
            }
            queue.push({ organisation: "tiny", rank: 1 });
            const firstTwo = [queue.takeNext(), queue.takeNext()].map(entry => entry?.organisation);
            assert.ok(firstTwo.includes("tiny"));
        }),
        { seed: SEED },
    );
});

test("serves higher ranks first, sheds lower ranks first, and loses no entry", () => {
    fc.assert(
        fc.property(fc.array(entryArbitrary, { minLength: 1, maxLength: 60 }), fc.boolean(), (entries, shed) => {
            const queue = createQueue();
            entries.forEach(entry => queue.push(entry));
            const taken = entries.map(() => (shed ? queue.takeNextToShed() : queue.takeNext())!);
            const ranks = taken.map(entry => entry.rank);
            const expected = [...ranks].sort((left, right) => shed ? left - right : right - left);
            assert.deepEqual(ranks, expected);
            assert.deepEqual(new Set(taken), new Set(entries));
            assert.equal(queue.length, 0);
        }),
        { seed: SEED },
    );
});

test("sheds the organisation that is furthest over its share, and refunds the cost of the shed entries", () => {
    const queue = createQueue();
    for (let count = 0; count < 3; count++) {
        queue.push({ organisation: "small", rank: 1 });
        queue.push({ organisation: "large", rank: 1 });
    }
    queue.push({ organisation: "tiny", rank: 1 });
    assert.equal(queue.takeNextToShed()?.organisation, "small");
    assert.equal(queue.takeNextToShed()?.organisation, "small");
    queue.push({ organisation: "small", rank: 1 });
    const order = Array.from({ length: queue.length }, () => queue.takeNext()!.organisation);
    assert.equal(order.filter(name => name === "small").length, 2);
    assert.ok(order.lastIndexOf("small") <= 5);
});
