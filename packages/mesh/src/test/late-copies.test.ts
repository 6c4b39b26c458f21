/**
 * A backend server that sends a second copy of a response, late, on a connection that is in use again.
 */
import assert from "node:assert/strict";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { ExchangePool } from "../index.js";
import type { ExchangeResult } from "../index.js";

const ID_HEADER = "x-attempt";

let server: Server;
let pool: ExchangePool;
let connections: Socket[];
/** Responses that the server sends before its response to the request with an id. */
let extraBefore: Map<string, string>;

beforeEach(async () => {
    connections = [];
    extraBefore = new Map();
    server = createServer(socket => {
        connections.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", data => {
            const id = /x-attempt: (\S+)/i.exec(data.toString("latin1"))?.[1] ?? "";
            const extra = extraBefore.get(id);
            if (extra !== undefined) {
                socket.write(responseOf(extra));
                // The real response comes in a later read of the other side.
                setTimeout(() => socket.write(responseOf(id)), 20);
                return;
            }
            socket.write(responseOf(id));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    pool = ExchangePool.create({
        hostAddress: "127.0.0.1",
        port: (server.address() as AddressInfo).port,
        maximumConnections: 1,
        connectTimeoutMs: 1_000,
        idleTimeoutMs: 10_000,
        idHeader: ID_HEADER,
    });
});

afterEach(async () => {
    await pool.destroy();
    connections.forEach(socket => socket.destroy());
    server.close();
});

function responseOf(id: string): string {
    const body = `answer to ${id}`;
    return `HTTP/1.1 200 OK\r\n${ID_HEADER}: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

async function send(id: string): Promise<ExchangeResult> {
    return await pool.start({ method: "POST", path: "/", headers: [ID_HEADER, id], body: Buffer.from("x"), id }).result;
}

function bodyOf(result: ExchangeResult): string {
    return result.kind === "answered" ? result.response.body.toString() : `failed: ${result.reason}`;
}

test("the copy does not reach the next caller, and the connection is not used again", async () => {
    assert.equal(bodyOf(await send("first")), "answer to first");
    extraBefore.set("second", "first");
    const second = await send("second");
    assert.equal(second.kind, "failed");
    assert.equal(second.kind === "failed" && second.sent, true, "it may have run");
    assert.equal(bodyOf(await send("third")), "answer to third");
    assert.equal(bodyOf(await send("fourth")), "answer to fourth");
    assert.equal(connections.length, 2);
});

test("the copy of a response that arrives while the connection is idle closes the connection", async () => {
    assert.equal(bodyOf(await send("first")), "answer to first");
    const closed = new Promise(resolve => connections[0]!.once("close", resolve));
    connections[0]!.write(responseOf("first"));
    await closed;
    assert.equal(bodyOf(await send("second")), "answer to second");
});

test("a response that names no request is not a copy; its reader decides about it", async () => {
    server.removeAllListeners("connection");
    server.on("connection", (socket: Socket) => {
        connections.push(socket);
        socket.on("data", () => socket.write("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"));
    });
    const result = await send("first");
    assert.equal(result.kind === "answered" && result.response.status, 503);
});
