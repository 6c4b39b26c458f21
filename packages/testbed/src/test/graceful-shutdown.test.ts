import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { ENTRY, FaultFleet } from "../fleet/fault-fleet.js";
import type { AttemptRecord } from "../fleet/recording-caller.js";
import { waitFor } from "../fleet/wait-for.js";

const SERVICE_MS = 2_500;

/** Whether the caller cannot know the outcome of its request. */
function isInterrupted({ result }: AttemptRecord): boolean {
    return result.kind === "lost" || (result.kind === "problem" && result.execution === "unknown");
}

describe("a graceful shutdown interrupts no request", () => {
    let faults: FaultFleet;

    before(async () => {
        faults = await FaultFleet.create({ servers: 2, directBackends: true });
    });
    after(() => faults.stop());

    test("of a node whose requests in flight complete, including their downstream calls", async () => {
        const { fleet } = faults;
        await fleet.setBehaviour(ENTRY, { serviceMs: SERVICE_MS, onwardCalls: ["/back/read/1"] });
        const url = `${fleet.callerUrl(ENTRY)}/front/book/1`;
        const pending = faults.book(ENTRY, "own", { url });
        await waitFor(() => fleet.runRecords().some(run => run.requestId === "own"), "the request runs");
        assert.equal(await fleet.restartNodeGracefully(ENTRY), 0);
        const { result } = await pending;
        assert.ok(result.kind === "answered" && result.status === 200, JSON.stringify(result));
        await fleet.waitForConfiguration(ENTRY);
        await faults.waitForTokens(ENTRY);
    });

    // Guards against a process that ends at the second signal, because its listener is gone after the first one.
    test("of a node that gets further signals while it stops", async () => {
        const { fleet } = faults;
        const { node } = fleet.host(ENTRY);
        node.signal("SIGHUP");
        const pending = faults.book(ENTRY, "signalled", { url: `${fleet.callerUrl(ENTRY)}/front/book/2` });
        const hasBegun = () => fleet.runRecords().some(run => run.requestId === "signalled") || !node.isRunning;
        await waitFor(hasBegun, "the request runs");
        (["SIGTERM", "SIGTERM", "SIGHUP", "SIGINT"] as const).forEach(signal => node.signal(signal));
        const { result } = await pending;
        assert.ok(result.kind === "answered" && result.status === 200, JSON.stringify(result));
        await node.waitForExit();
        assert.equal(node.exitCode, 0);
        await fleet.restartNode(ENTRY);
        await fleet.waitForConfiguration(ENTRY);
        await faults.waitForTokens(ENTRY);
    });

    test("of a node that runs requests forwarded by other nodes, and gets no new ones", async () => {
        const { fleet } = faults;
        const stopTraffic = faults.startTraffic({ hosts: [ENTRY], intervalMs: 10, prefix: "forwarded" });
        await waitFor(() => fleet.runRecords().filter(run => run.host === "server-0").length > 20, "traffic flows");
        fleet.host("server-0").node.signal("SIGTERM");
        await fleet.host("server-0").node.waitForExit();
        assert.equal(fleet.host("server-0").node.exitCode, 0);
        await stopTraffic();
        await fleet.restartNode("server-0");
        await fleet.waitForConfiguration("server-0");
        assert.deepEqual(faults.caller.records.filter(isInterrupted), []);
        assert.deepEqual(await faults.findContradictions(), []);
    });

    test("of a backend server while its node keeps running", async () => {
        const { fleet } = faults;
        const stopTraffic = faults.startTraffic({ hosts: [ENTRY, "server-1"], intervalMs: 10, prefix: "backend" });
        await waitFor(() => fleet.runRecords().filter(run => run.host === "server-1").length > 20, "traffic flows");
        await fleet.restartBackendGracefully("server-1");
        await stopTraffic();
        assert.deepEqual(faults.caller.records.filter(isInterrupted), []);
        assert.deepEqual(await faults.findContradictions(), []);
    });

    test("of a node, except a request that runs longer than the shutdown timeout, which is aborted", async () => {
        const limited = await FaultFleet.create({
            servers: 1,
            limits: { shutdownMs: 300 },
            addressSeed: process.pid + 1,
        });
        try {
            await limited.fleet.setBehaviour("server-0", { mode: "hang" });
            const pending = limited.book("server-0", "hanging");
            await waitFor(
                () => limited.fleet.runRecords().some(run => run.requestId === "hanging"),
                "the request runs",
            );
            assert.equal(await limited.fleet.restartNodeGracefully("server-0"), 0);
            assert.equal((await pending).result.kind, "lost");
        }
        finally {
            await limited.stop();
        }
    });
});
