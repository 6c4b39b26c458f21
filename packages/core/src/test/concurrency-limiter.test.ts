import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../process/clock.js";
import { ConcurrencyLimiter } from "../process/concurrency-limiter.js";
import type { ConcurrencyRequest, Permit } from "../process/concurrency-limiter.js";
import { RequestError } from "../result-code.js";

const FAR_MS = 1_000_000;

function createRequest(change: Partial<ConcurrencyRequest> = {}): ConcurrencyRequest {
    return {
        organisation: "archive",
        importance: "normal",
        deadlineMs: FAR_MS,
        signal: new AbortController().signal,
        ...change,
    };
}

/** Follows an acquisition without waiting for it. */
function follow(acquisition: Promise<Permit>): { result?: Permit | RequestError; } {
    const followed: { result?: Permit | RequestError; } = {};
    acquisition.then(permit => followed.result = permit, (error: RequestError) => followed.result = error);
    return followed;
}

function nameOf(followed: { result?: Permit | RequestError; }): string | undefined {
    return followed.result instanceof RequestError ? followed.result.result.name : undefined;
}

function executionOf(followed: { result?: Permit | RequestError; }): string | undefined {
    return followed.result instanceof RequestError ? followed.result.execution : undefined;
}

async function settle(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
}

test("refuses at once what cannot meet its deadline, before it runs", async () => {
    const clock = ManualClock.create();
    const limiter = ConcurrencyLimiter.create(clock, { slots: 1 });
    for (let count = 0; count < 20; count++) {
        const permit = await limiter.acquire(createRequest());
        clock.advance(100);
        permit.release("completed");
    }
    const running = await limiter.acquire(createRequest());
    const late = follow(limiter.acquire(createRequest({ deadlineMs: clock.nowMs() + 40 })));
    const waiting = follow(limiter.acquire(createRequest({ deadlineMs: clock.nowMs() + 150 })));
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

test("runs a request with a short deadline again some time after a slowness", async () => {
    const clock = ManualClock.create();
    const limiter = ConcurrencyLimiter.create(clock, { slots: 1 });
    const slow = await limiter.acquire(createRequest());
    clock.advance(5_000);
    slow.release("completed");
    const deadlineMs = 500;
    const refused = follow(limiter.acquire(createRequest({ deadlineMs: clock.nowMs() + deadlineMs })));
    await settle();
    assert.equal(nameOf(refused), "deadline-too-near");
    clock.advance(5_000);
    const permit = await limiter.acquire(createRequest({ deadlineMs: clock.nowMs() + deadlineMs }));
    permit.release("completed");
});

test("sheds by importance first, then the organisation that is ahead of its share", async () => {
    const clock = ManualClock.create();
    const limiter = ConcurrencyLimiter.create(clock, { slots: 4 });
    limiter.setWeights(name => name === "harbour" ? 4 : 1);
    const running = await Promise.all(Array.from({ length: 4 }, () => limiter.acquire(createRequest())));
    const archive = Array.from({ length: 4 }, () => follow(limiter.acquire(createRequest())));
    const harbour = follow(limiter.acquire(createRequest({ organisation: "harbour" })));
    await settle();
    assert.deepEqual(archive.map(nameOf), [undefined, undefined, undefined, "overloaded"]);
    const critical = follow(limiter.acquire(createRequest({ importance: "critical" })));
    const background = follow(limiter.acquire(createRequest({ importance: "background", organisation: "harbour" })));
    await settle();
    assert.deepEqual(archive.map(nameOf), [undefined, undefined, "overloaded", "overloaded"]);
    assert.equal(nameOf(background), "overloaded");
    running[0]!.release("completed");
    await settle();
    assert.ok(critical.result && !(critical.result instanceof RequestError));
    assert.equal(harbour.result, undefined);
});

test("lets go of a waiting request whose caller has gone", async () => {
    const clock = ManualClock.create();
    const limiter = ConcurrencyLimiter.create(clock, { slots: 1 });
    const running = await limiter.acquire(createRequest());
    const caller = new AbortController();
    const waiting = follow(limiter.acquire(createRequest({ signal: caller.signal })));
    caller.abort(RequestError.create("caller-gone"));
    await settle();
    assert.equal(nameOf(waiting), "caller-gone");
    assert.equal(executionOf(waiting), "not-run");
    assert.equal(limiter.load().queued, 0);
    running.release("completed");
});
