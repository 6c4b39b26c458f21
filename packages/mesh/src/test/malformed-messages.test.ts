/**
 * Messages of a peer that is wrong or of another version cost that peer its connection at most, never the process.
 */
import fastCheck from "fast-check";
import { Packr } from "msgpackr";
import assert from "node:assert/strict";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import type { PeerServer } from "../connection/peer-server.js";
import { appendFrame } from "../index.js";
import { createPeerServer } from "./peer-server-rig.js";
import { ServerRig, waitUntil } from "./server-rig.js";

let rig: ServerRig;
let peerServer: PeerServer;
let rejections: unknown[];
const recordRejection = (reason: unknown) => void rejections.push(reason);

beforeEach(async () => {
    rejections = [];
    process.on("unhandledRejection", recordRejection);
    rig = await ServerRig.create();
    peerServer = createPeerServer(rig);
    await new Promise<void>(resolve => peerServer.listener.listen(0, "127.0.0.1", resolve));
});

afterEach(async () => {
    process.off("unhandledRejection", recordRejection);
    peerServer.closeLinks();
    peerServer.listener.close();
    await rig.close();
});

function encode(message: unknown): Buffer {
    const frames: Buffer[] = [];
    appendFrame(frames, new Packr({ sequential: true }).pack(message) as Buffer);
    return Buffer.concat(frames);
}

/** Sends a message on a new connection; resolves when the node has closed it or answered a ping behind the message. */
async function sendAlone(message: unknown): Promise<void> {
    const socket: Socket = connect((peerServer.listener.address() as AddressInfo).port, "127.0.0.1");
    let isDone = false;
    socket.on("error", () => undefined);
    socket.once("close", () => isDone = true);
    socket.on("data", () => isDone = true);
    socket.write(Buffer.concat([encode(message), encode({ kind: "ping" })]));
    await waitUntil(() => isDone);
    await new Promise(resolve => setImmediate(resolve));
    socket.destroy();
}

const validRequest = {
    content: { id: "x", method: "GET", target: "/", headers: [], routeName: "r", priority: 0, isOnwardCall: false },
    service: "catalogue",
    instance: "",
    remainingMs: 50,
    answerInMs: 50,
};

test("requests with missing or mistyped fields do not end the process", async () => {
    const malformed: unknown[] = [
        { ...validRequest, content: undefined },
        { ...validRequest, content: 5 },
        { ...validRequest, content: { ...validRequest.content, headers: 7 } },
        { ...validRequest, content: { ...validRequest.content, method: {} } },
        undefined,
    ];
    for (const request of malformed) {
        await sendAlone({ kind: "request", number: 1, sentAtMs: rig.clock.nowMs(), request });
        await sendAlone({ kind: "request", number: 1, sentAtMs: -1e9, request });
        rig.clock.advance(1_000);
        await rig.endIteration();
        await rig.endIteration();
    }
    assert.deepEqual(rejections, []);
    assert.deepEqual(rig.gate.load(), { open: 0, waiting: 0, limit: 1 }, "no slot is lost");
});

test("no message ends the process, whatever it contains", async () => {
    const kinds = fastCheck.constantFrom(
        "request",
        "cancel",
        "ask-tokens",
        "ask-state",
        "ping",
        "outcome",
        "state",
        "?",
    );
    await fastCheck.assert(
        fastCheck.asyncProperty(kinds, fastCheck.object({ maxDepth: 2 }), async (kind, fields) => {
            await sendAlone({ ...fields, kind, number: 1 });
            rig.clock.advance(1_000);
        }),
        { numRuns: 60, seed: 11 },
    );
    assert.deepEqual(rejections, []);
});

test("a node goes on serving other peers after a malformed message", async () => {
    await sendAlone({ kind: "request", number: 1, sentAtMs: 0, request: { service: "catalogue" } });
    await sendAlone({ kind: "ping" });
    assert.deepEqual(rejections, []);
});
