/**
 * Servers that answer before they have read a long body, keep the connection and read on later.
 */
import assert from "node:assert/strict";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { ExchangePool } from "../connection/http-exchange.js";

const BODY_BYTES = 8_000_000;
const BODY_BYTE = "b".charCodeAt(0);
const NEXT_REQUEST = "GET /next";
const HEAD_END = "\r\n\r\n";
const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** One connection: what was read on it, and the server's end of it, which reads on only when it is resumed. */
interface RecordedConnection {
    readonly socket: Socket;
    readonly chunks: Buffer[];
    hasEnded: boolean;
}

async function listen(connections: RecordedConnection[]) {
    const server = createServer(socket => {
        const connection: RecordedConnection = { socket, chunks: [], hasEnded: false };
        connections.push(connection);
        socket.on("error", () => undefined);
        socket.on("close", () => {
            connection.hasEnded = true;
        });
        socket.on("data", chunk => {
            connection.chunks.push(chunk);
            if (connection.chunks.length === 1) {
                socket.pause();
                socket.write(ANSWER);
            }
            else if (chunk.includes(NEXT_REQUEST)) {
                socket.write(ANSWER);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, port: (server.address() as AddressInfo).port };
}

test("the rest of a body that was answered early is followed by no other request before it is complete", async () => {
    const connections: RecordedConnection[] = [];
    const { server, port } = await listen(connections);
    const pool = ExchangePool.create({
        hostAddress: "127.0.0.1",
        port,
        maximumConnections: 1,
        connectTimeoutMs: 5_000,
        idleTimeoutMs: 5_000,
    });
    const body = Buffer.alloc(BODY_BYTES, BODY_BYTE);
    const headers = ["Host", "catalogue.example"];
    const first = await pool.start({ method: "POST", path: "/long", headers, body }).result;
    const second = pool.start({ method: "GET", path: "/next", headers, body: undefined });
    await new Promise(resolve => setImmediate(resolve));
    connections.forEach(({ socket }) => socket.resume());
    assert.equal((await second.result).kind, "answered");
    assert.ok(first.kind === "failed" ? first.sent : true);
    const long = Buffer.concat(connections[0]!.chunks);
    const rest = long.subarray(long.indexOf(HEAD_END) + HEAD_END.length);
    const received = rest.subarray(0, BODY_BYTES);
    assert.ok(received.every(byte => byte === BODY_BYTE), "another request stands where the rest of the body is due");
    assert.ok(rest.length >= BODY_BYTES || connections.length > 1, "the next request is on a connection of its own");
    await pool.destroy();
    connections.forEach(({ socket }) => socket.destroy());
    server.close();
});
