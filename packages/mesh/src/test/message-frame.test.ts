import assert from "node:assert/strict";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { appendFrame, FrameError, FrameReader, MAXIMUM_FRAME_BYTES, MessageSocket } from "../index.js";
import type { LinkMessage } from "../index.js";

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
    const state = {
        load: { open: 1, waiting: 2, limit: 3 },
        onwardPressure: 0.5,
        rateShare: 1,
        leaving: undefined,
        isStopping: false,
        clockMs: 0,
    };
    const message: LinkMessage = { kind: "state", state };
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
