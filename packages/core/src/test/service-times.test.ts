import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../index.js";
import { ServiceTimes } from "../process/service-times.js";

const ROUTE = "read";

test("after a time without completions, the next completed request outweighs the times recorded before", () => {
    const clock = ManualClock.create();
    const times = ServiceTimes.create(clock);
    times.record(ROUTE, 1_000);
    clock.advance(5_000);
    times.record(ROUTE, 100);
    assert.ok(times.minimumExpectedMs(ROUTE) < 130, `${times.minimumExpectedMs(ROUTE)} ms`);
    assert.ok(times.meanMs() < 130, `${times.meanMs()} ms`);
});

test("without a time gap a single request changes the mean by a tenth of the difference", () => {
    const clock = ManualClock.create();
    const times = ServiceTimes.create(clock);
    times.record(ROUTE, 1_000);
    times.record(ROUTE, 100);
    assert.equal(times.meanMs(), 910);
});
