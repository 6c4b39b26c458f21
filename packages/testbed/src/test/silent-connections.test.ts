import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, afterEach, before, describe, test } from "node:test";
import { ports } from "../fleet/addresses.js";
import { ENTRY, FaultFleet } from "../fleet/fault-fleet.js";
import { waitFor } from "../fleet/wait-for.js";

const PEER_CONNECTION_LOST = 3003;
const SENDER_TOO_SLOW = "1007";
const CALLER_DISCONNECTED = "3005";

describe("a connection that stops carrying data without being closed", () => {
    let faults: FaultFleet;

    before(async () => {
        faults = await FaultFleet.create({
            servers: 2,
            deadlineMs: 30_000,
            limits: { requestTimeoutMs: 2_000, headersTimeoutMs: 1_000 },
        });
    });
    afterEach(async () => {
        await faults.fleet.setProxyRules([]);
        for (const server of faults.servers) {
            await faults.fleet.setBehaviour(server, { serviceMs: 2 });
        }
    });
    after(() => faults.stop());

    /** Starts slow reads and bookings; resolves once all of them run on backend servers. */
    async function startRequests(host: string, prefix: string, count: number, deadlineMs: number) {
        const headers = { "deadline-ms": String(deadlineMs) };
        for (const server of faults.servers) {
            await faults.fleet.setBehaviour(server, { serviceMs: 400 });
        }
        const reads = Array.from({ length: count }, (_, number) => faults.read(host, `${prefix}-read-${number}`));
        const books = Array.from(
            { length: count },
            (_, number) => faults.book(host, `${prefix}-book-${number}`, { headers }),
        );
        await waitFor(() => {
            const ids = new Set(faults.fleet.runRecords().map(run => run.requestId));
            return [...ids].filter(id => id.startsWith(prefix)).length === 2 * count;
        }, "all requests run on backend servers");
        for (const server of faults.servers) {
            await faults.fleet.setBehaviour(server, { serviceMs: 2 });
        }
        return { reads: Promise.all(reads), books: Promise.all(books) };
    }

    test("between nodes is detected, and requests on it get a result before their deadline", async () => {
        const { reads, books } = await startRequests(ENTRY, "peer", 6, 30_000);
        const to = faults.servers.map(server => faults.fleet.proxiedAddressOf(server));
        await faults.fleet.setProxyRules([{ to, ports: [ports.forward], fault: "silence" }]);
        assert.equal((await faults.book(ENTRY, "peer-new-book")).result.kind, "answered");
        assert.ok((await reads).every(({ result }) => result.kind === "answered"));
        for (const { result } of await books) {
            assert.ok(result.kind === "problem" && result.code === PEER_CONNECTION_LOST, JSON.stringify(result));
            assert.equal(result.execution, "unknown");
        }
        assert.equal((await faults.read(ENTRY, "peer-new-read")).result.kind, "answered");
        assert.deepEqual(await faults.findContradictions(), []);
    });

    test("to the backend server is detected while new connections work", async () => {
        const { reads, books } = await startRequests("server-0", "backend", 3, 4_000);
        const to = faults.servers.map(server => faults.fleet.proxiedAddressOf(server));
        await faults.fleet.setProxyRules([{ to, ports: [ports.backendServer], fault: "silence" }]);
        const stopTraffic = faults.startTraffic({ hosts: faults.servers, intervalMs: 20, prefix: "backend-after" });
        assert.ok((await reads).every(({ result }) => result.kind === "answered"));
        await stopTraffic();
        const laterRecords = faults.caller.records.filter(send => send.requestId.startsWith("backend-after"));
        assert.ok(laterRecords.every(({ method, result }) => method === "POST" || result.kind === "answered"));
        for (const { result } of await books) {
            assert.ok(result.kind === "problem" && result.execution === "unknown");
        }
        assert.deepEqual(await faults.findContradictions(), []);
    });

    test("from a caller is closed and its request ended while new connections work", async () => {
        await faults.waitForTokens(ENTRY);
        const address = faults.fleet.proxiedAddressOf(ENTRY);
        const { port, localAddress } = { port: ports.callers, localAddress: faults.fleet.addresses.client };
        const head = `POST /back/book/1 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${faults.key}\r\n`;
        const socket = connect({ host: address, port, localAddress });
        socket.write(`${head}content-length: 100\r\nx-request-id: caller-half\r\n\r\nhalf`);
        await waitFor(async () => (await faults.fleet.report(ENTRY)).openRequests === 1, "the request is in flight");
        await faults.fleet.setProxyRules([{ to: [address], fault: "silence" }]);
        await waitFor(async () => (await faults.fleet.report(ENTRY)).openRequests === 0, "the request has ended");
        socket.destroy();
        await faults.waitForTokens(ENTRY);
        assert.ok(!faults.fleet.runRecords().some(run => run.requestId === "caller-half"));
        const { refused } = (await faults.fleet.report(ENTRY)).organisations["archive"]!;
        assert.equal((refused[SENDER_TOO_SLOW] ?? 0) + (refused[CALLER_DISCONNECTED] ?? 0), 1, JSON.stringify(refused));
    });
});
