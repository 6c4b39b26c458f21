import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../process/clock.js";
import { SeatLayoutHistory } from "../process/seat-layout-history.js";

const RETENTION_MS = 1_000;

function createLayout(seats: readonly number[]) {
    return Object.fromEntries(seats.map((count, index) => [`domain-${index}`, { region: "khomas", seats: count }]));
}

test("no two seats may authorise a key within the retention, for any sequence of layouts", () => {
    const layoutArbitrary = fc.array(fc.integer({ min: 1, max: 4 }), { minLength: 1, maxLength: 3 });
    const stepArbitrary = fc.record({ seats: layoutArbitrary, waitMs: fc.integer({ min: 0, max: 900 }) });
    fc.assert(
        fc.property(fc.array(stepArbitrary, { maxLength: 10 }), fc.string({ minLength: 1 }), (steps, key) => {
            const clock = ManualClock.create();
            const layouts = SeatLayoutHistory.create(clock, { retentionMs: RETENTION_MS });
            const authorised: { owner: string; timeMs: number; }[] = [];
            for (const { seats, waitMs } of steps) {
                layouts.setFailureDomains(createLayout(seats));
                if (layouts.keyHandoverRemainingMs(key) === 0) {
                    const owner = JSON.stringify(layouts.findOwner(key));
                    const isFree = authorised.every(earlier =>
                        earlier.owner === owner || clock.nowMs() - earlier.timeMs >= RETENTION_MS
                    );
                    assert.ok(isFree);
                    authorised.push({ owner, timeMs: clock.nowMs() });
                }
                clock.advance(waitMs);
            }
        }),
        { seed: 6104, numRuns: 500 },
    );
});

test("a seat that a layout change added must wait, and an existing seat need not", () => {
    const clock = ManualClock.create();
    const layouts = SeatLayoutHistory.create(clock, { retentionMs: RETENTION_MS });
    layouts.setFailureDomains(createLayout([2]));
    assert.equal(layouts.seatHandoverRemainingMs("domain-0", 1), 0);
    layouts.setFailureDomains(createLayout([3, 1]));
    assert.equal(layouts.seatHandoverRemainingMs("domain-0", 1), 0);
    assert.equal(layouts.seatHandoverRemainingMs("domain-0", 2), RETENTION_MS);
    assert.equal(layouts.seatHandoverRemainingMs("domain-1", 0), RETENTION_MS);
    clock.advance(RETENTION_MS);
    assert.equal(layouts.seatHandoverRemainingMs("domain-0", 2), 0);
});
