import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { HOST_LIST_KEY } from "@radishrouter/core";
import { ControlBatchSchema, ControlService } from "@radishrouter/protocol";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { after, before, describe, test } from "node:test";
import { request } from "undici";
import { ports } from "../fleet/addresses.js";
import { createExampleConfiguration } from "../fleet/example-configuration.js";
import { Fleet } from "../fleet/fleet.js";
import { waitFor } from "../fleet/wait-for.js";
import { createMalformedRequests, createRequestHeads } from "./malformed-requests.js";
import { sendRaw } from "./raw-http.js";

const example = createExampleConfiguration({
    organisations: { archive: { rate: 2000, burst: 2000 } },
    services: { catalogue: {}, items: {} },
    failureDomains: { "khomas-a": { region: "khomas", seats: 2 } },
});
const key = example.keys["archive"]!;
const limits = {
    bodyBytes: 2_000,
    replayBytes: 1_000,
    headersTimeoutMs: 800,
    requestTimeoutMs: 1_600,
    connectionsPerAddress: 40,
    requestsPerCaller: 6,
};
const location = { failureDomain: "khomas-a", region: "khomas", limits };

describe("hostile callers", () => {
    let fleet: Fleet;
    let address: string;

    before(async () => {
        fleet = await Fleet.create({
            configuration: example.configuration,
            hosts: [
                { ...location, name: "catalogue-1", service: "catalogue", seat: 0 },
                { ...location, name: "items-1", service: "items", seat: 1 },
            ],
        });
        address = fleet.host("catalogue-1").address;
        for (const host of ["catalogue-1", "items-1"]) {
            await waitFor(() => serves(host), `${host} serves requests of the organisation`);
        }
    });

    after(() => fleet.stop());

    async function serves(host: string): Promise<boolean> {
        const headers = { authorization: `Bearer ${key}` };
        const response = await request(`${fleet.callerUrl(host)}/catalogue/read/innocent`, { headers, reset: true });
        await response.body.dump();
        return response.statusCode === 200;
    }

    function send(text: string) {
        return sendRaw(address, ports.callers, text, received => received.includes('"execution"'));
    }

    function parseProblem(body: string): { code: number; execution: string; } {
        return JSON.parse(body.slice(body.indexOf("{"))) as { code: number; execution: string; };
    }

    /** Creates headers that contain the access key in many positions and encodings. */
    function createKeyHeaders(): string {
        const encoded = [...key].map(character => `%${character.charCodeAt(0).toString(16)}`).join("");
        const spellings: Record<string, string> = {
            "Authorization": `Bearer ${key}`,
            "Proxy-Authorization": `Bearer ${key}`,
            "X-Api-Key": key,
            "X-Quoted": `token="${key}"`,
            "X-Lower": key.toLowerCase(),
            "X-Encoded": encoded,
            "X-Encoded-Twice": encoded.replaceAll("%", "%25"),
            "X-Broken-Encoding": `%zz%${encoded}`,
            "X-Basic": `Basic ${Buffer.from(`user:${key}`).toString("base64")}`,
            "Cookie": `session=1; key=${key}`,
            "Referer": `http://a/?key=${key}`,
            [key]: "1",
        };
        return Object.entries(spellings).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    }

    const { read, book } = createRequestHeads(key);
    for (const { description, text, code, status } of createMalformedRequests(key)) {
        test(`get a refusal with a result code for ${description}`, async () => {
            const response = await send(text);
            assert.match(response.text, /content-type: application\/problem\+json/i);
            const problem = parseProblem(response.body);
            assert.deepEqual(
                { status: response.status, code: problem.code, execution: problem.execution },
                { status: status ?? 400, code, execution: "not-run" },
            );
            assert.ok(await serves("catalogue-1"), "another caller is served");
        });
    }

    for (const name of ["__proto__", "constructor", "toString"]) {
        test(`are served with a header or trailer named ${name}, sent once or twice`, async () => {
            const headers = `Host: a\r\nAuthorization: Bearer ${key}\r\nX-Request-Id: property\r\n`;
            const field = `${name}: 0\r\n`;
            const texts = [
                `GET /catalogue/read/property HTTP/1.1\r\n${headers}${field}\r\n`,
                `GET /catalogue/read/property HTTP/1.1\r\n${headers}${field}${field}\r\n`,
                `POST /catalogue/book/property HTTP/1.1\r\n${headers}Transfer-Encoding: chunked\r\n\r\n` +
                `3\r\nabc\r\n0\r\n${field}${field}\r\n`,
            ];
            for (const text of texts) {
                const response = await sendRaw(address, ports.callers, text, got => got.includes("}"));
                assert.equal(response.status, 200, response.text);
            }
            assert.ok(await serves("catalogue-1"), "another caller is served");
        });
    }

    test("never make a backend server run a refused request", () => {
        assert.ok(!fleet.runRecords().some(run => run.path.includes("hostile")));
    });

    test("get a timeout when they send headers or bodies too slowly", async () => {
        for (const text of [read, `${book}Content-Length: 100\r\n\r\nslow`]) {
            const response = await send(text);
            assert.equal(response.status, 408);
            assert.deepEqual({ ...parseProblem(response.body) }.code, 1007);
        }
        const idle = await sendRaw(address, ports.callers, "");
        assert.equal(idle.status, 408);
        assert.ok(!fleet.runRecords().some(run => run.path.includes("hostile")));
    });

    test("get a result that their request may have run when its large body stops arriving", async () => {
        const response = await send(`${book}Content-Length: 1999\r\n\r\n${"a".repeat(1500)}`);
        assert.equal(parseProblem(response.body).execution, "unknown");
    });

    test("hold a slot only until the deadline when they do not read their response", async () => {
        await fleet.setBehaviour("catalogue-1", { answerBytes: 64_000_000 });
        const before = (await fleet.report("catalogue-1")).organisations["archive"]?.unknown["3001"] ?? 0;
        const socket = connect(ports.callers, address, () => socket.write(`${read}Deadline-Ms: 1000\r\n\r\n`));
        socket.pause();
        socket.on("error", () => undefined);
        await waitFor(async () => (await fleet.status("catalogue-1")).load.inFlight === 1, "the request holds a slot");
        await waitFor(async () => {
            const { load } = await fleet.status("catalogue-1");
            const unknown = (await fleet.report("catalogue-1")).organisations["archive"]?.unknown["3001"];
            return load.inFlight === 0 && unknown === before + 1;
        }, "the slot is free and the request is counted as past its deadline");
        socket.destroy();
        await fleet.setBehaviour("catalogue-1", { answerBytes: 0 });
    });

    test("can keep only a limited number of connections and requests open", async () => {
        const sockets: Socket[] = [];
        let refused = 0;
        for (let index = 0; index < limits.connectionsPerAddress + 5; index++) {
            const socket = connect({ port: ports.callers, host: address, localAddress: fleet.addresses.client });
            socket.on("data", chunk => (refused += chunk.includes('"code":1010') ? 1 : 0));
            socket.on("error", () => undefined);
            sockets.push(socket);
        }
        await waitFor(() => refused === 5, "the connections above the limit are refused");
        assert.ok(await serves("catalogue-1"), "callers at other addresses are served");
        sockets.forEach(socket => socket.destroy());
        await fleet.setBehaviour("catalogue-1", { mode: "hang" });
        const headers = { authorization: `Bearer ${key}`, "deadline-ms": "4000" };
        const pending = Array.from({ length: limits.requestsPerCaller + 3 }, async () => {
            const response = await request(`${fleet.callerUrl("catalogue-1")}/catalogue/read/held`, { headers });
            return (await response.body.json() as { code: number; }).code;
        });
        const codes = await Promise.all(pending);
        assert.equal(codes.filter(code => code === 1010).length, 3);
        await fleet.setBehaviour("catalogue-1", { mode: "normal" });
        await waitFor(() => serves("catalogue-1"), "the caller is served again");
    });

    test("cannot make an access key reach a backend server in any encoding", async () => {
        const keyHeaders = createKeyHeaders();
        const body = `Transfer-Encoding: chunked\r\nTrailer: x-late\r\n\r\n3\r\nabc\r\n0\r\nX-Late: ${key}\r\n\r\n`;
        for (const host of ["catalogue-1", "items-1"]) {
            for (const start of ["POST /catalogue/book/spelled", "POST /items/book/spelled"]) {
                const text =
                    `${start} HTTP/1.1\r\nHost: a\r\nX-Kept: yes\r\nX-Request-Id: spelled\r\n${keyHeaders}${body}`;
                const response = await sendRaw(fleet.host(host).address, ports.callers, text, got => got.includes("}"));
                assert.equal(response.status, 200, response.text);
            }
        }
        const runs = fleet.runRecords().filter(run => run.requestId === "spelled" && run.event === "start");
        assert.equal(runs.length, 4);
        for (const { headers } of runs) {
            assert.equal(headers["x-kept"], "yes");
            const forwarded = new Set(["x-kept", "x-request-id", "radishrouter-handle"]);
            const others = Object.keys(headers).filter(name => !forwarded.has(name));
            const allowed = ["connection", "content-length", "content-type", "host", "transfer-encoding", "x-late"];
            assert.deepEqual(others.filter(name => !allowed.includes(name)), []);
        }
        assert.ok(!JSON.stringify(runs).toLowerCase().includes(key.slice(3, 12).toLowerCase()));
    });

    test("cannot make downstream calls without the handle of a running request", async () => {
        await waitFor(() => serves("catalogue-1"), "a request has run");
        const ended = fleet.runRecords().find(run => run.host === "catalogue-1" && run.path === "/read/innocent");
        const endedHandle = String(ended?.headers["radishrouter-handle"]);
        assert.match(endedHandle, /^[A-Za-z0-9_-]{20,}$/);
        const organisation = { "radishrouter-organisation": "archive", "authorization": `Bearer ${key}` };
        for (const handle of [{}, { "radishrouter-handle": "x" }, { "radishrouter-handle": endedHandle }]) {
            const headers = { ...organisation, ...handle };
            const response = await request(`http://${address}:${ports.backend}/items/read/onward`, { headers });
            assert.deepEqual([response.statusCode, (await response.body.json() as { code: number; }).code], [
                403,
                1011,
            ]);
        }
        assert.ok(!fleet.runRecords().some(run => run.path.includes("onward")));
    });

    test("cannot impersonate a node on the forward listener", async () => {
        const url = `http://${address}:${ports.forward}/catalogue/read/forged`;
        const forged: Record<string, string> = {
            "radishrouter-sender": "items-1",
            "radishrouter-organisation": "archive",
            "radishrouter-importance": "critical",
            "radishrouter-remaining-ms": "1000",
            "radishrouter-retries": "1",
        };
        const otherSecret = "0".repeat(64);
        for (const proof of [{}, { "radishrouter-proof": otherSecret }, { "radishrouter-proof": "zz" }]) {
            const response = await request(url, { headers: { ...forged, ...proof } });
            const problem = await response.body.json() as { code: number; };
            assert.deepEqual([response.statusCode, problem.code], [403, 1012]);
            assert.equal(response.headers["radishrouter-load"], undefined);
        }
        assert.ok(!fleet.runRecords().some(run => run.path.includes("forged")));
    });

    test("cannot impersonate a node on the control stream", async () => {
        const baseUrl = `http://${address}:${ports.control}`;
        const client = createClient(ControlService, createConnectTransport({ baseUrl, httpVersion: "2" }));
        async function* forgedBatches() {
            yield create(ControlBatchSchema, { sender: "items-1", incarnation: 1n, proof: new Uint8Array(32) });
        }
        const controller = new AbortController();
        await assert.rejects(async () => {
            for await (const _batch of client.exchange(forgedBatches(), { signal: controller.signal })) {
                // A forged stream receives no batch; the loop only reads until the error.
            }
        }, error => error instanceof ConnectError && error.code === Code.PermissionDenied);
        controller.abort();
    });

    test("cannot make an access key reach another node", async context => {
        const received: string[] = [];
        const headerNames: string[] = [];
        const peer = createServer((incoming, response) => {
            received.push(incoming.url ?? "", ...incoming.rawHeaders);
            headerNames.push(...Object.keys(incoming.headers));
            incoming.on("data", chunk => received.push(String(chunk)));
            incoming.on("end", () => {
                received.push(...incoming.rawTrailers);
                const exchange = String(incoming.headers["radishrouter-exchange"]);
                const headers = { "radishrouter-outcome": "answered", "radishrouter-retries-left": "0" };
                response.writeHead(200, { ...headers, "radishrouter-exchange": exchange });
                response.end("{}");
            });
        });
        const peerAddress = fleet.addresses.client;
        await new Promise<void>(resolve => peer.listen(ports.forward, peerAddress, resolve));
        context.after(() => {
            peer.close();
            peer.closeAllConnections();
        });
        const location = { failureDomain: "khomas-a", region: "khomas", callerPort: ports.callers };
        const listeners = { ...location, forwardPort: ports.forward, controlPort: ports.control, state: "live" };
        await fleet.publishValue(HOST_LIST_KEY, {
            revision: 1_000,
            hosts: [
                { ...listeners, name: "catalogue-1", service: "catalogue", address },
                { ...listeners, name: "items-9", service: "items", address: peerAddress },
            ],
        });
        const usesPeer = async () => (await fleet.status("catalogue-1")).livePeers.join() === "items-9";
        await waitFor(usesPeer, "the only live peer of the node is the server of this test");
        const text = `POST /items/book/peer HTTP/1.1\r\nHost: a\r\nX-Kept: yes\r\n${createKeyHeaders()}`;
        const body = `Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Late: ${key}\r\n\r\n`;
        const response = await sendRaw(address, ports.callers, text + body, got => got.includes("{}"));
        assert.equal(response.status, 200, response.text);
        assert.ok(received.includes("/items/book/peer") && received.includes("yes"));
        const allowed = /^(x-kept|radishrouter-.*|connection|content-length|transfer-encoding|host)$/i;
        assert.deepEqual(headerNames.filter(name => !allowed.test(name)), []);
        assert.ok(!received.join().toLowerCase().includes(key.slice(3, 12).toLowerCase()));
    });

    test("have all requests counted with an outcome, and no access key in any operators' view", async () => {
        await waitFor(async () => (await fleet.report("catalogue-1")).openRequests === 0, "no request is in flight");
        const report = await fleet.report("catalogue-1");
        for (const outcomes of Object.values(report.organisations)) {
            const ended = [outcomes.refused, outcomes.failed, outcomes.unknown]
                .flatMap(counters => Object.values(counters))
                .reduce((sum, count) => sum + count, outcomes.completed);
            assert.equal(ended, outcomes.offered);
        }
        for (const path of ["report", "audit", "status", "configuration"]) {
            const response = await request(`${fleet.operatorsUrl("catalogue-1")}/${path}`);
            const text = await response.body.text();
            assert.ok(!text.includes(key), path);
        }
    });
});
