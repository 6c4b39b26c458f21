import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import type { ServerRequest } from "../request/relayed-request.js";
import { ServerRig, until } from "./server-rig.js";

const HELD_UP_MS = 800;
let rig: ServerRig;

beforeEach(async () => {
    rig = await ServerRig.create();
});

afterEach(() => rig.close());

function createRequest(id: string, remainingMs = 60_000): ServerRequest {
    const content = {
        id,
        method: "GET",
        target: "/search/",
        headers: ["x-attempt", id],
        body: undefined,
        routeName: "search",
        priority: 0,
        isOnwardCall: false,
    };
    const giveUpAtMs = rig.clock.nowMs() + remainingMs;
    return { content, service: "catalogue", instance: "", deadlineAtMs: giveUpAtMs, softDeadlineAtMs: giveUpAtMs };
}

async function endMicrotasks(): Promise<void> {
    for (let count = 0; count < 50; count++) {
        await Promise.resolve();
    }
}

const stays = () => false;

test("a slot that is free after a pause goes to no request whose cancellation is still unread", async () => {
    const { client, clock, seen } = rig;
    const first = client.send(createRequest("first"), stays);
    await until(() => seen.includes("first"));
    const waiting = client.send(createRequest("gone"), stays);
    clock.pause(HELD_UP_MS);
    rig.answerLast();
    assert.equal((await first.result).outcome.kind, "answered");
    await rig.endTurn();
    await rig.untilSomethingElseIsSeen();
    waiting.abort("caller-gone");
    await rig.endTurn();
    assert.equal((await waiting.result).outcome.kind, "not-run");
    const next = client.send(createRequest("next"), stays);
    await until(() => seen.includes("next"));
    assert.deepEqual(seen, ["first", "something-else", "next"]);
    rig.answerLast();
    await next.result;
});

test("a request after a pause is not sent when its caller's connection has ended, though that is not announced", async () => {
    rig.clock.pause(HELD_UP_MS);
    let hasLeft = false;
    const send = rig.client.send(createRequest("gone"), () => hasLeft);
    await rig.untilSomethingElseIsSeen();
    hasLeft = true;
    await rig.endTurn();
    await rig.endTurn();
    assert.equal((await send.result).outcome.kind, "not-run");
    assert.deepEqual(rig.seen, ["something-else"]);
});

test("a request whose time passes while its connection is opened is not sent, and the server does not count as down", async () => {
    const { client, clock, seen } = rig;
    const late = client.send(createRequest("late", 500), stays);
    // The connection is asked for now, and is ready in a later turn at the earliest.
    await endMicrotasks();
    clock.pause(HELD_UP_MS);
    assert.equal((await late.result).outcome.kind, "not-run");
    const next = client.send(createRequest("next"), stays);
    await rig.endTurn();
    await rig.endTurn();
    await until(() => seen.includes("next"));
    assert.deepEqual(seen, ["next"]);
    rig.answerLast();
    assert.equal((await next.result).outcome.kind, "answered");
});
