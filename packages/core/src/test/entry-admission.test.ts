import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../process/clock.js";
import { EntryAdmission } from "../process/entry-admission.js";
import type { ChainOutcome, EntryFlow } from "../process/entry-admission.js";

const flow: EntryFlow = { organisation: "archive", routeName: "GET /catalogue/read/*", importance: "normal" };
const refusedBelow: ChainOutcome = { kind: "answered", level: { service: "items", pressure: 2 } };
const withoutPressure: ChainOutcome = { kind: "answered", level: { service: "items", pressure: 0 } };

interface Offered {
    readonly requests: number;
    readonly intervalMs: number;
    readonly answerMs: number;
    readonly outcome: ChainOutcome;
    readonly offeredFlow?: EntryFlow;
}

/** Offers requests one after the other, each of which ends after a time; returns how many were admitted. */
function offer(clock: ManualClock, admission: EntryAdmission, options: Offered): number {
    let admitted = 0;
    for (let count = 0; count < options.requests; count++) {
        const decision = admission.tryAdmit(options.offeredFlow ?? flow);
        if (decision.kind === "admitted") {
            admitted++;
            clock.setTimer(options.answerMs, () => decision.ticket.end(options.outcome));
        }
        else {
            assert.equal(decision.service, "items");
            assert.ok(decision.retryAfterMs >= 500);
        }
        clock.advance(options.intervalMs);
    }
    return admitted;
}

test("admits everything while no service shows pressure", () => {
    const clock = ManualClock.create();
    const admission = EntryAdmission.create(clock);
    const offered: Offered = { requests: 1_000, intervalMs: 1, answerMs: 300, outcome: withoutPressure };
    assert.equal(offer(clock, admission, offered), offered.requests);
});

test("sheds where requests enter while a deep service refuses, except for a few probes", () => {
    const clock = ManualClock.create();
    const admission = EntryAdmission.create(clock);
    const offered: Offered = { requests: 5_000, intervalMs: 1, answerMs: 20, outcome: refusedBelow };
    offer(clock, admission, { ...offered, requests: 2_000 });
    const admitted = offer(clock, admission, offered);
    assert.ok(admitted < offered.requests / 20, `${admitted} admitted`);
    assert.ok(admitted >= 4, `${admitted} probes`);
});

test("leaves other organisations and routes alone", () => {
    const clock = ManualClock.create();
    const admission = EntryAdmission.create(clock);
    offer(clock, admission, { requests: 2_000, intervalMs: 1, answerMs: 20, outcome: refusedBelow });
    const others = [{ ...flow, organisation: "mission" }, { ...flow, routeName: "GET /catalogue/list/*" }];
    for (const offeredFlow of others) {
        const offered: Offered = { requests: 100, intervalMs: 1, answerMs: 20, outcome: withoutPressure, offeredFlow };
        assert.equal(offer(clock, admission, offered), offered.requests);
    }
});

test("admits everything again once the cause is gone, without any release from below", () => {
    const clock = ManualClock.create();
    const admission = EntryAdmission.create(clock);
    offer(clock, admission, { requests: 2_000, intervalMs: 1, answerMs: 20, outcome: refusedBelow });
    offer(clock, admission, { requests: 400, intervalMs: 5, answerMs: 50, outcome: withoutPressure });
    const offered: Offered = { requests: 400, intervalMs: 5, answerMs: 50, outcome: withoutPressure };
    assert.equal(offer(clock, admission, offered), offered.requests);
});

test("forgets the pressure when feedback is lost", () => {
    const clock = ManualClock.create();
    const admission = EntryAdmission.create(clock);
    offer(clock, admission, { requests: 2_000, intervalMs: 1, answerMs: 20, outcome: refusedBelow });
    clock.advance(2_500);
    const offered: Offered = { requests: 50, intervalMs: 1, answerMs: 300, outcome: { kind: "abandoned" } };
    assert.equal(offer(clock, admission, offered), offered.requests);
});

test("follows a service that slows down without any change of its window", () => {
    const clock = ManualClock.create();
    const admission = EntryAdmission.create(clock);
    const mild: ChainOutcome = { kind: "answered", level: { service: "items", pressure: 0.5 } };
    offer(clock, admission, { requests: 500, intervalMs: 1, answerMs: 100, outcome: refusedBelow });
    const fast = offer(clock, admission, { requests: 4_000, intervalMs: 1, answerMs: 100, outcome: mild });
    const slow = offer(clock, admission, { requests: 4_000, intervalMs: 1, answerMs: 400, outcome: mild });
    assert.ok(slow < fast / 2, `${slow} against ${fast}`);
});
