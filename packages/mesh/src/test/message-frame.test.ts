import assert from "node:assert/strict";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { appendFrame, BodyBudget, FrameError, FrameReader, MAXIMUM_FRAME_BYTES, MessageSocket } from "../index.js";
import type { LinkMessage } from "../index.js";

const exampleState = {
    load: { open: 1, waiting: 2, limit: 3 },
    onwardPressure: 0.5,
    rateShare: 1,
    leaving: undefined,
    isStopping: false,
    clockMs: 0,
};

function framesOf(texts: readonly string[]): Buffer {
    const buffers: Buffer[] = [];
    texts.forEach(text => appendFrame(buffers, Buffer.from(text)));
    return Buffer.concat(buffers);
}

test("payloads are read completely and in order, however the bytes are split", () => {
    const texts = ["one", "", "three", "x".repeat(1_000)];
    const bytes = framesOf(texts);
    for (const chunkBytes of [1, 3, 7, 500, bytes.length]) {
        const payloads: string[] = [];
        const reader = FrameReader.create(payload => payloads.push(payload.toString()));
        for (let start = 0; start < bytes.length; start += chunkBytes) {
            reader.push(bytes.subarray(start, start + chunkBytes));
        }
        assert.deepEqual(payloads, texts, `chunks of ${chunkBytes} bytes`);
    }
});

test("large payloads are read completely and in order, however the bytes are split, with room or after a wait for it", () => {
    const texts = ["one", "a".repeat(200_000), "", "b".repeat(70_000), "c".repeat(65_536), "last"];
    const bytes = framesOf(texts);
    for (const chunkBytes of [1_000, 65_536, 100_001, bytes.length]) {
        const payloads: string[] = [];
        let questions = 0;
        let takenBytes = 0;
        const reader = FrameReader.create(payload => payloads.push(payload.toString()), {
            // Every second question finds no room.
            tryTake: payloadBytes => {
                questions++;
                takenBytes += questions % 2 === 0 ? payloadBytes : 0;
                return questions % 2 === 0;
            },
            giveBack: () => takenBytes = 0,
        });
        for (let start = 0; start < bytes.length; start += chunkBytes) {
            reader.push(bytes.subarray(start, start + chunkBytes));
            while (reader.isWaitingForRoom) {
                reader.retry();
            }
        }
        assert.deepEqual(payloads, texts, `chunks of ${chunkBytes} bytes`);
        assert.equal(takenBytes, 0);
    }
});

// Guards against bodies on their way that exceed the memory of the node that they are forwarded to: they were counted only
// when they were whole.
test("a large message is not read before there is room for it, and its sender hears that the other end is alive", async () => {
    const budget = BodyBudget.create(1_000_000);
    const held = budget.open();
    assert.ok(held.tryAdd(500_000));
    const received: LinkMessage[] = [];
    let calls = 0;
    const sockets: Socket[] = [];
    const listener = createServer(socket => {
        sockets.push(socket);
        const onWaitingForRoom = () => void calls++;
        const onMessage = (message: LinkMessage) => void received.push(message);
        MessageSocket.create(socket, { onMessage, onClosed: () => listener.close(), onWaitingForRoom }, budget);
    });
    await new Promise<void>(resolve => listener.listen(0, "127.0.0.1", resolve));
    const socket = connect((listener.address() as AddressInfo).port, "127.0.0.1");
    const messages = MessageSocket.create(socket, { onMessage: () => undefined, onClosed: () => undefined });
    const outcome = { kind: "answered" as const, status: 200, headers: [], body: Buffer.alloc(600_000, "x") };
    messages.send({ kind: "ping" });
    messages.send({ kind: "outcome", number: 1, outcome, state: exampleState });
    while (calls < 2) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    assert.deepEqual(received.map(({ kind }) => kind), ["ping"]);
    assert.ok(sockets[0]!.bytesRead < 400_000, `${sockets[0]!.bytesRead} bytes were read`);
    held.release();
    while (received.length < 2) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    messages.destroy();
    const [, last] = received;
    assert.ok(last?.kind === "outcome" && last.outcome.kind === "answered");
    assert.deepEqual(Buffer.from(last.outcome.body), outcome.body);
    assert.ok(budget.open().tryAdd(1_000_000), "all room was given back");
});

test("a frame that is too large is rejected before its payload arrives", () => {
    const header = Buffer.alloc(4);
    header.writeUInt32BE(MAXIMUM_FRAME_BYTES + 1);
    const reader = FrameReader.create(() => assert.fail("no payload is complete"));
    assert.throws(() => reader.push(header), FrameError);
});

test("field names are sent once on a connection", async () => {
    let received = Buffer.alloc(0);
    const listener = createServer(socket => {
        socket.on("data", chunk => received = Buffer.concat([received, chunk]));
    });
    await new Promise<void>(resolve => listener.listen(0, "127.0.0.1", resolve));
    const socket = connect((listener.address() as AddressInfo).port, "127.0.0.1");
    const messages = MessageSocket.create(socket, { onMessage: () => undefined, onClosed: () => listener.close() });
    const message: LinkMessage = { kind: "state", state: exampleState };
    messages.send(message);
    messages.send(message);
    messages.send({ kind: "ping" });
    while (!received.includes("ping")) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    messages.destroy();
    assert.equal(received.toString("latin1").split("onwardPressure").length - 1, 1);
});

test("a connection that does not carry frames is closed", async () => {
    const isClosed = new Promise<void>(resolve => {
        const listener = createServer(socket => {
            MessageSocket.create(socket, {
                onMessage: () => undefined,
                onClosed: () => listener.close(() => resolve()),
            });
        });
        listener.listen(0, "127.0.0.1", () => {
            const socket = connect((listener.address() as AddressInfo).port, "127.0.0.1");
            socket.on("error", () => socket.destroy());
            socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        });
    });
    await isClosed;
});
