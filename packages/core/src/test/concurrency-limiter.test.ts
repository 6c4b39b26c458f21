import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../process/clock.js";
import { ConcurrencyLimiter } from "../process/concurrency-limiter.js";
import type { ConcurrencyRequest, Permit } from "../process/concurrency-limiter.js";
import { RequestError } from "../result-code.js";

const DISTANT_DEADLINE_MS = 1_000_000;

function createRequest(change: Partial<ConcurrencyRequest> = {}): ConcurrencyRequest {
    return {
        organisation: "archive",
        importance: "normal",
        deadlineMs: DISTANT_DEADLINE_MS,
        signal: new AbortController().signal,
        ...change,
    };
}

/** Records the outcome of an acquisition without waiting for it. */
function trackOutcome(acquisition: Promise<Permit>): { result?: Permit | RequestError; } {
    const tracked: { result?: Permit | RequestError; } = {};
    acquisition.then(permit => tracked.result = permit, (error: RequestError) => tracked.result = error);
    return tracked;
}

function nameOf(tracked: { result?: Permit | RequestError; }): string | undefined {
    return tracked.result instanceof RequestError ? tracked.result.result.name : undefined;
}

function executionOf(tracked: { result?: Permit | RequestError; }): string | undefined {
    return tracked.result instanceof RequestError ? tracked.result.execution : undefined;
}

async function settle(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
}

test("refuses requests that cannot meet their deadline, on arrival or while queued, before they run", async () => {
    const clock = ManualClock.create();
    const limiter = ConcurrencyLimiter.create(clock, { slots: 1 });
    for (let count = 0; count < 20; count++) {
        const permit = await limiter.acquire(createRequest());
        clock.advance(100);
        permit.release("completed");
    }
    const running = await limiter.acquire(createRequest());
    const late = trackOutcome(limiter.acquire(createRequest({ deadlineMs: clock.nowMs() + 40 })));
    const waiting = trackOutcome(limiter.acquire(createRequest({ deadlineMs: clock.nowMs() + 150 })));
    await settle();
    assert.equal(nameOf(late), "deadline-too-near");
    assert.equal(waiting.result, undefined);
    clock.advance(120);
    await settle();
    assert.equal(nameOf(waiting), "deadline-too-near");
    assert.equal(executionOf(waiting), "not-run");
    running.release("completed");
    assert.equal(limiter.load().inFlight, 0);
});

test("admits requests with a short deadline again some time after a slowdown", async () => {
    const clock = ManualClock.create();
    const limiter = ConcurrencyLimiter.create(clock, { slots: 1 });
    const slow = await limiter.acquire(createRequest());
    clock.advance(5_000);
    slow.release("completed");
    const deadlineMs = 500;
    const refused = trackOutcome(limiter.acquire(createRequest({ deadlineMs: clock.nowMs() + deadlineMs })));
    await settle();
    assert.equal(nameOf(refused), "deadline-too-near");
    clock.advance(5_000);
    const permit = await limiter.acquire(createRequest({ deadlineMs: clock.nowMs() + deadlineMs }));
    permit.release("completed");
});

test("sheds the lowest importance first, then the organisation that is furthest over its share", async () => {
    const clock = ManualClock.create();
    const limiter = ConcurrencyLimiter.create(clock, { slots: 4 });
    limiter.setWeights(name => name === "harbour" ? 4 : 1);
    const running = await Promise.all(Array.from({ length: 4 }, () => limiter.acquire(createRequest())));
    const archive = Array.from({ length: 4 }, () => trackOutcome(limiter.acquire(createRequest())));
    const harbour = trackOutcome(limiter.acquire(createRequest({ organisation: "harbour" })));
    await settle();
    assert.deepEqual(archive.map(nameOf), [undefined, undefined, undefined, "overloaded"]);
    const critical = trackOutcome(limiter.acquire(createRequest({ importance: "critical" })));
    const background = trackOutcome(
        limiter.acquire(createRequest({ importance: "background", organisation: "harbour" })),
    );
    await settle();
    assert.deepEqual(archive.map(nameOf), [undefined, undefined, "overloaded", "overloaded"]);
    assert.equal(nameOf(background), "overloaded");
    running[0]!.release("completed");
    await settle();
    assert.ok(critical.result && !(critical.result instanceof RequestError));
    assert.equal(harbour.result, undefined);
});

test("removes a queued request whose caller has disconnected", async () => {
    const clock = ManualClock.create();
    const limiter = ConcurrencyLimiter.create(clock, { slots: 1 });
    const running = await limiter.acquire(createRequest());
    const caller = new AbortController();
    const waiting = trackOutcome(limiter.acquire(createRequest({ signal: caller.signal })));
    caller.abort(RequestError.create("caller-gone"));
    await settle();
    assert.equal(nameOf(waiting), "caller-gone");
    assert.equal(executionOf(waiting), "not-run");
    assert.equal(limiter.load().queued, 0);
    running.release("completed");
});

test("a queue that is full again does not report the importance that was shed in an earlier overload", async () => {
    const clock = ManualClock.create();
    const limiter = ConcurrencyLimiter.create(clock, { slots: 1 });
    const fill = async (importance: ConcurrencyRequest["importance"], count: number) => {
        const callers = Array.from({ length: count }, () => new AbortController());
        callers.forEach(({ signal }) => trackOutcome(limiter.acquire(createRequest({ importance, signal }))));
        await settle();
        return () => callers.forEach(caller => caller.abort(RequestError.create("caller-gone")));
    };
    const running = await limiter.acquire(createRequest());
    const emptyQueue = await fill("critical", 5);
    assert.equal(limiter.load().admittedRank, 3, "critical requests are shed");
    emptyQueue();
    await settle();
    clock.advance(60_000);
    await fill("normal", 4);
    assert.equal(limiter.load().admittedRank, 0, "nothing has been shed in this overload");
    running.release("completed");
});
