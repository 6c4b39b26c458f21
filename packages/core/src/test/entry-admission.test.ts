import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../process/clock.js";
import { EntryAdmission } from "../process/entry-admission.js";
import type { ChainOutcome, EntryFlow } from "../process/entry-admission.js";

const flow: EntryFlow = { organisation: "archive", routeName: "GET /catalogue/read/*", importance: "normal" };
const refusedDownstream: ChainOutcome = { kind: "answered", level: { service: "items", pressure: 2 } };
const withoutPressure: ChainOutcome = { kind: "answered", level: { service: "items", pressure: 0 } };

interface OfferedLoad {
    readonly requests: number;
    readonly intervalMs: number;
    readonly responseMs: number;
    readonly outcome: ChainOutcome;
    readonly offeredFlow?: EntryFlow;
}

/** Offers requests at an interval, each of which ends after `responseMs`; returns how many were admitted. */
function offer(clock: ManualClock, admission: EntryAdmission, options: OfferedLoad): number {
    let admitted = 0;
    for (let count = 0; count < options.requests; count++) {
        const decision = admission.tryAdmit(options.offeredFlow ?? flow);
        if (decision.kind === "admitted") {
            admitted++;
            clock.setTimer(options.responseMs, () => decision.ticket.end(options.outcome));
        }
        else {
            assert.equal(decision.service, "items");
            assert.ok(decision.retryAfterMs >= 500);
        }
        clock.advance(options.intervalMs);
    }
    return admitted;
}

test("admits all requests while no service reports pressure", () => {
    const clock = ManualClock.create();
    const admission = EntryAdmission.create(clock);
    const offered: OfferedLoad = { requests: 1_000, intervalMs: 1, responseMs: 300, outcome: withoutPressure };
    assert.equal(offer(clock, admission, offered), offered.requests);
});

test("sheds requests at the entry node while a downstream service refuses them, except for a few probes", () => {
    const clock = ManualClock.create();
    const admission = EntryAdmission.create(clock);
    const offered: OfferedLoad = { requests: 5_000, intervalMs: 1, responseMs: 20, outcome: refusedDownstream };
    offer(clock, admission, { ...offered, requests: 2_000 });
    const admitted = offer(clock, admission, offered);
    assert.ok(admitted < offered.requests / 20, `${admitted} admitted`);
    assert.ok(admitted >= 4, `${admitted} probes`);
});

test("does not limit other organisations and routes", () => {
    const clock = ManualClock.create();
    const admission = EntryAdmission.create(clock);
    offer(clock, admission, { requests: 2_000, intervalMs: 1, responseMs: 20, outcome: refusedDownstream });
    const others = [{ ...flow, organisation: "mission" }, { ...flow, routeName: "GET /catalogue/list/*" }];
    for (const offeredFlow of others) {
        const offered: OfferedLoad = {
            requests: 100,
            intervalMs: 1,
            responseMs: 20,
            outcome: withoutPressure,
            offeredFlow,
        };
        assert.equal(offer(clock, admission, offered), offered.requests);
    }
});

test("admits all requests again once the pressure has ended, without a notification from downstream", () => {
    const clock = ManualClock.create();
    const admission = EntryAdmission.create(clock);
    offer(clock, admission, { requests: 2_000, intervalMs: 1, responseMs: 20, outcome: refusedDownstream });
    offer(clock, admission, { requests: 400, intervalMs: 5, responseMs: 50, outcome: withoutPressure });
    const offered: OfferedLoad = { requests: 400, intervalMs: 5, responseMs: 50, outcome: withoutPressure };
    assert.equal(offer(clock, admission, offered), offered.requests);
});

test("removes the limit after a time without reported pressure, even if responses stop arriving", () => {
    const clock = ManualClock.create();
    const admission = EntryAdmission.create(clock);
    offer(clock, admission, { requests: 2_000, intervalMs: 1, responseMs: 20, outcome: refusedDownstream });
    clock.advance(2_500);
    const offered: OfferedLoad = { requests: 50, intervalMs: 1, responseMs: 300, outcome: { kind: "abandoned" } };
    assert.equal(offer(clock, admission, offered), offered.requests);
});

test("admits fewer requests per second when a service slows down, at the same pressure", () => {
    const clock = ManualClock.create();
    const admission = EntryAdmission.create(clock);
    const mild: ChainOutcome = { kind: "answered", level: { service: "items", pressure: 0.5 } };
    offer(clock, admission, { requests: 500, intervalMs: 1, responseMs: 100, outcome: refusedDownstream });
    const fast = offer(clock, admission, { requests: 4_000, intervalMs: 1, responseMs: 100, outcome: mild });
    const slow = offer(clock, admission, { requests: 4_000, intervalMs: 1, responseMs: 400, outcome: mild });
    assert.ok(slow < fast / 2, `${slow} against ${fast}`);
});
