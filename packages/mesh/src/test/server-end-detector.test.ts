import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { test } from "node:test";
import { createServerProbe, ServerEndDetector } from "../connection/server-end-detector.js";
import type { LostRequest, ProbeResult } from "../connection/server-end-detector.js";
import { createContent } from "./example-values.js";

const LATER_MS = 10_000;

/** A detector whose probes return what the test says. */
function createDetector(results: ProbeResult[]) {
    const clock = ManualClock.create();
    const ends: { readonly run: number; readonly ids: readonly string[]; }[] = [];
    const detector = ServerEndDetector.create({
        clock,
        probe: () => Promise.resolve(results.shift() ?? "open"),
        onEnded: (run, requests) => void ends.push({ run, ids: requests.map(({ content }) => content.id) }),
    });
    const lose = (id: string, run = detector.currentRun) => detector.recordLoss(createLoss(id, run));
    return { clock, detector, ends, lose };
}

function createLoss(id: string, run: number): LostRequest {
    return { content: createContent({ id }), isTried: false, run };
}

test("connections that are lost while the port accepts new ones are no end", async () => {
    const { ends, lose } = createDetector(["open"]);
    assert.equal(await lose("a"), false);
    assert.deepEqual(ends, []);
});

test("a port that refuses connections ends the run for all requests that lost theirs", async () => {
    const { ends, lose } = createDetector(["refused"]);
    assert.deepEqual(await Promise.all([lose("a"), lose("b")]), [true, true]);
    assert.deepEqual(ends, [{ run: 1, ids: ["a", "b"] }]);
});

test("a server that accepts connections while it is ending is asked again", async () => {
    const { ends, lose } = createDetector(["closed", "refused"]);
    assert.equal(await lose("a"), true);
    assert.deepEqual(ends, [{ run: 1, ids: ["a"] }]);
});

test("a server that closes each new connection at once, as one with too many, has not ended", async () => {
    const { ends, lose } = createDetector(["closed", "closed", "closed", "refused"]);
    assert.equal(await lose("a"), false);
    assert.deepEqual(ends, []);
});

test("a loss that is read late belongs to the run in which its request was sent", async () => {
    const { detector, ends, lose } = createDetector(["refused", "open"]);
    await lose("a");
    detector.recordConnected();
    assert.equal(detector.currentRun, 2);
    assert.equal(await lose("late", 1), true);
    assert.equal(await lose("reset", 2), false);
    assert.deepEqual(ends, [{ run: 1, ids: ["a"] }, { run: 1, ids: ["late"] }]);
});

test("a server that is back before it is asked has ended, as its new instance shows", async () => {
    const { clock, detector, ends, lose } = createDetector(["open"]);
    detector.recordInstance({ instance: "i-1", startedAtMs: 1 });
    assert.equal(await lose("a"), false);
    clock.advance(500);
    detector.recordInstance({ instance: "i-1", startedAtMs: undefined });
    assert.deepEqual(ends, []);
    detector.recordInstance({ instance: "i-1", startedAtMs: 2 });
    assert.deepEqual(ends, [{ run: 1, ids: ["a"] }]);
    assert.equal(detector.currentRun, 2);
    detector.recordInstance({ instance: "i-1", startedAtMs: 2 });
    assert.equal(detector.currentRun, 2);
});

test("a new instance long after a reset says nothing of the requests that were reset", async () => {
    const { clock, detector, ends, lose } = createDetector(["open"]);
    detector.recordInstance({ instance: "i-1", startedAtMs: 1 });
    await lose("a");
    clock.advance(LATER_MS);
    detector.recordInstance({ instance: "i-2", startedAtMs: 2 });
    assert.deepEqual(ends, []);
});

test("a request that was given up just before the end was in flight there", async () => {
    const { clock, detector, ends, lose } = createDetector(["refused"]);
    detector.recordGivenUp(createLoss("long-ago", 1));
    clock.advance(LATER_MS);
    detector.recordGivenUp(createLoss("given-up", 1));
    clock.advance(500);
    assert.equal(await lose("a"), true);
    assert.deepEqual(ends, [{ run: 1, ids: ["a", "given-up"] }]);
});

test("an end under nothing but a request that was given up is found when no connection can be opened", async () => {
    const { detector, ends, lose } = createDetector(["refused"]);
    detector.recordNotConnected();
    detector.recordGivenUp(createLoss("given-up", 1));
    detector.recordNotConnected();
    await new Promise(resolve => setImmediate(resolve));
    assert.deepEqual(ends, [{ run: 1, ids: ["given-up"] }]);
    detector.recordNotConnected();
    assert.equal(await lose("later", 2), false);
});

async function listen(onConnection: (socket: Socket) => void): Promise<{ server: Server; port: number; }> {
    const server = createServer(onConnection);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, port: (server.address() as AddressInfo).port };
}

test("the probe tells an open port from one that closes connections and from one that refuses them", async () => {
    const sockets: Socket[] = [];
    const open = await listen(socket => void sockets.push(socket));
    const closing = await listen(socket => socket.destroy());
    assert.equal(await createServerProbe("127.0.0.1", open.port)(), "open");
    assert.equal(await createServerProbe("127.0.0.1", closing.port)(), "closed");
    sockets.forEach(socket => socket.destroy());
    await Promise.all([open, closing].map(({ server }) => new Promise(resolve => server.close(resolve))));
    assert.equal(await createServerProbe("127.0.0.1", open.port)(), "refused");
});
