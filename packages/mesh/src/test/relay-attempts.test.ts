/**
 * To how many backend servers one attempt of a caller is sent.
 */
import { ManualClock, RequestError } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { PeerClient } from "../connection/peer-client.js";
import { CrashingRequests, ServerDirectory } from "../index.js";
import type { AttemptOutcome } from "../request/outcome.js";
import { Relay } from "../request/relay.js";
import { createContent, createRoute, createServer } from "./example-values.js";
import { createRelayDependencies, createSilentLog } from "./relay-dependencies.js";
import { headerNames } from "./server-rig.js";

const DEADLINE_MS = 5_000;
const LOST: AttemptOutcome = { kind: "unknown", reason: "connection-lost", detail: "" };
const ENDED: AttemptOutcome = { kind: "unknown", reason: "server-ended", detail: "" };
const ENDED_IN_TRIAL: AttemptOutcome = { kind: "unknown", reason: "server-ended-in-trial", detail: "" };
const QUARANTINED: AttemptOutcome = { kind: "not-run", reason: "quarantined", reached: false, retryAfterMs: 0 };
const SUSPECTED: AttemptOutcome = { kind: "not-run", reason: "suspected", reached: false, retryAfterMs: 0 };

/** Relays one request; each server that it is sent to gives the next of the outcomes. */
async function relay(
    outcomes: AttemptOutcome[],
    options: { readonly maximumAttempts: number; readonly idempotent?: boolean; },
) {
    const clock = ManualClock.create();
    const trials: boolean[] = [];
    const directory = ServerDirectory.create(clock);
    for (const number of [2, 3, 4, 5, 6]) {
        directory.upsert(createServer(`i-${number}`, { hostAddress: `10.0.0.${number}` }), "test");
    }
    const peers: Pick<PeerClient, "send"> = {
        send: (_server, _request, isTrial) => {
            trials.push(isTrial);
            const outcome = outcomes.shift() ?? LOST;
            const result = Promise.resolve({ outcome, onwardPressure: undefined, timing: undefined });
            return { result, abort: () => undefined };
        },
    };
    const hostAddress = "10.0.0.1";
    const log = createSilentLog(clock);
    const crashing = CrashingRequests.create({
        clock,
        log,
        headerNames,
        hostAddress,
        service: "other",
        siblingServices: () => [],
        hostsOf: () => [],
        allHosts: () => [],
        readyServers: service => directory.readyServers(service),
        send: () => undefined,
    });
    const dependencies = createRelayDependencies({
        clock,
        random: Math.random,
        hostAddress,
        directory,
        crashing,
        log,
        peers,
        server: undefined,
    });
    const { maximumAttempts, idempotent = true } = options;
    const request = {
        content: createContent(),
        route: createRoute({ maximumAttempts, idempotent }),
        deadlineAtMs: DEADLINE_MS,
        softDeadlineAtMs: DEADLINE_MS,
    };
    const error = await Relay.create(dependencies, request, "catalogue", () => false).run().then(
        () => undefined,
        (failure: unknown) => failure instanceof RequestError ? failure : undefined,
    );
    return { trials, error };
}

for (const maximumAttempts of [1, 2, 3]) {
    test(`a request reaches no more servers than its route allows: ${maximumAttempts}`, async () => {
        const { trials, error } = await relay([], { maximumAttempts });
        assert.equal(trials.length, maximumAttempts);
        assert.equal(error?.execution, "unknown");
    });
}

test("a request under which a server ended runs alone at the next one, and at no third", async () => {
    const { trials } = await relay([ENDED, ENDED], { maximumAttempts: 3 });
    assert.deepEqual(trials, [false, true]);
});

test("a request that is known as a suspect only beside the server that it ends reaches no second one", async () => {
    const { trials, error } = await relay([ENDED_IN_TRIAL], { maximumAttempts: 3 });
    assert.deepEqual(trials, [false]);
    assert.equal(error?.execution, "unknown");
});

test("a request that may not be repeated is not sent to another server after one ended", async () => {
    const { trials, error } = await relay([ENDED], { maximumAttempts: 3, idempotent: false });
    assert.deepEqual(trials, [false]);
    assert.equal(error?.execution, "unknown");
});

test("a suspect that a node sends away runs at another server, as a suspect", async () => {
    const { trials } = await relay([SUSPECTED, LOST], { maximumAttempts: 1 });
    assert.deepEqual(trials, [false, true]);
});

test("a request that ends servers is refused as not run, and tried at no other server", async () => {
    const { trials, error } = await relay([QUARANTINED], { maximumAttempts: 3 });
    assert.equal(trials.length, 1);
    assert.equal(error?.result.name, "request-quarantined");
    assert.equal(error?.execution, "not-run");
});

test("a request that may have run is not reported as not run when it is found to end servers then", async () => {
    const { error } = await relay([ENDED, QUARANTINED], { maximumAttempts: 3 });
    assert.equal(error?.execution, "unknown");
});
