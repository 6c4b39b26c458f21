import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { configurationSchema, findShareConflict, shareCountOf } from "../index.js";
import type { Configuration } from "../index.js";

const SEED = 41;

function createConfiguration(version: number, seats: readonly number[], shareCount?: number): Configuration {
    return configurationSchema.parse({
        version,
        organisations: {},
        services: {},
        failureDomains: Object.fromEntries(
            seats.map((count, index) => [`khomas-${index}`, { region: "khomas", seats: count }]),
        ),
        shareCount,
    });
}

const configurationArbitrary = fc
    .tuple(fc.array(fc.integer({ min: 1, max: 6 }), { minLength: 1, maxLength: 3 }), fc.nat(6))
    .map(([seats, spare]) => createConfiguration(1, seats, seats.reduce((sum, count) => sum + count, 0) + spare));

describe("two configuration versions active at once", () => {
    test("two compatible versions generate at most the full rate, whichever version each seat follows", () => {
        let accepted = 0;
        fc.assert(
            fc.property(
                configurationArbitrary,
                configurationArbitrary,
                fc.array(fc.boolean(), { minLength: 18, maxLength: 18 }),
                (former, next, choices) => {
                    if (findShareConflict(former, next) !== undefined) {
                        return;
                    }
                    accepted++;
                    let generated = 0;
                    for (const [domain, name] of ["khomas-0", "khomas-1", "khomas-2"].entries()) {
                        for (let seat = 0; seat < 6; seat++) {
                            const followed = choices[domain * 6 + seat] ? former : next;
                            const seats = followed.failureDomains[name]?.seats ?? 0;
                            generated += seat < seats ? 1 / shareCountOf(followed) : 0;
                        }
                    }
                    assert.ok(generated <= 1 + 1e-9);
                },
            ),
            { seed: SEED, numRuns: 2_000 },
        );
        assert.ok(accepted > 0);
    });

    test("seats can be added and removed in two versions, but not in one", () => {
        const small = createConfiguration(1, [2, 2]);
        const raised = createConfiguration(2, [2, 2], 6);
        const large = createConfiguration(3, [3, 3]);
        assert.match(findShareConflict(small, large) ?? "", /first raise shareCount alone/);
        assert.equal(findShareConflict(small, raised), undefined);
        assert.equal(findShareConflict(raised, large), undefined);
        assert.match(findShareConflict(large, small) ?? "", /keep shareCount/);
        assert.equal(findShareConflict(large, raised), undefined);
        assert.equal(findShareConflict(raised, small), undefined);
    });

    test("a configuration with fewer shares than seats is refused", () => {
        assert.throws(() => createConfiguration(1, [2, 2], 3), /at least the number of seats/);
    });
});
