import { NODE_USAGE_PATH } from "@radishrouter/core";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, test } from "node:test";
import { runCommandLine } from "../command/command-line.js";
import { collectUsage, formatUsage } from "../command/use-command.js";

const servers: Server[] = [];
const urls: string[] = [];

/** Starts an HTTP server that reports usage as a node does. */
async function addNode(startedAt: string, counts: Record<string, { answered: number; refusedForRate: number; }>) {
    const organisations = Object.entries(counts).map(([organisation, count]) => ({
        organisation,
        ...count,
        failedByServer: 1,
        refusedForRoom: 0,
        lost: 0,
    }));
    const server = createServer((request, response) => {
        const body = JSON.stringify({ host: "host", service: "catalogue", startedAt, organisations });
        response.writeHead(request.url === NODE_USAGE_PATH ? 200 : 404).end(body);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    servers.push(server);
    urls.push(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
}

before(async () => {
    await addNode("2026-12-04T10:00:00.000Z", { archive: { answered: 7, refusedForRate: 2 } });
    await addNode("2026-12-04T11:00:00.000Z", {
        archive: { answered: 3, refusedForRate: 6 },
        mission: { answered: 9, refusedForRate: 0 },
    });
});

after(() => servers.forEach(server => server.close()));

test("usage is summed over nodes, and nodes that do not respond are listed", async () => {
    const use = await collectUsage([...urls, "http://127.0.0.1:1"]);
    assert.deepEqual(use.organisations.map(({ organisation, answered }) => [organisation, answered]), [
        ["archive", 10],
        ["mission", 9],
    ]);
    assert.equal(use.youngestStart, "2026-12-04T11:00:00.000Z");
    assert.deepEqual(use.missing.map(({ url }) => url), ["http://127.0.0.1:1"]);
    const text = formatUsage(use, "tabs");
    assert.match(text, /archive\t20\t10\t50\.0%\t2\t8\t0\t0/);
    assert.match(text, /missing: http:\/\/127\.0\.0\.1:1/);
});

test("the exit code shows whether all nodes responded", async () => {
    const printed: string[] = [];
    const output = { print: (text: string) => printed.push(text), note: () => undefined };
    assert.equal(await runCommandLine(["use", ...urls], output), 0);
    assert.equal(await runCommandLine(["use", ...urls, "http://127.0.0.1:1"], output), 3);
    assert.equal(await runCommandLine(["use"], output), 2);
    assert.match(printed[0]!, /mission/);
});
