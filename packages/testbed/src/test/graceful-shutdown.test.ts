import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { ENTRY, FaultFleet } from "../fleet/fault-fleet.js";
import type { SendRecord } from "../fleet/recording-caller.js";
import { waitFor } from "../fleet/wait-for.js";

const RUNNING_MS = 2_500;

function isCut({ result }: SendRecord): boolean {
    return result.kind === "lost" || (result.kind === "problem" && result.execution === "unknown");
}

describe("a planned stop cuts no request", () => {
    let faults: FaultFleet;

    before(async () => {
        faults = await FaultFleet.create({ servers: 2, directBackends: true });
    });
    after(() => faults.stop());

    test("of a node, whose running requests end, with their onward calls", async () => {
        const { fleet } = faults;
        await fleet.setBehaviour(ENTRY, { serviceMs: RUNNING_MS, onwardCalls: ["/back/read/1"] });
        const url = `${fleet.callerUrl(ENTRY)}/front/book/1`;
        const own = faults.book(ENTRY, "own", { url });
        await waitFor(() => fleet.runRecords().some(run => run.requestId === "own"), "the request runs");
        assert.equal(await fleet.replaceNode(ENTRY), 0);
        const { result } = await own;
        assert.ok(result.kind === "answered" && result.status === 200, JSON.stringify(result));
        await fleet.waitForConfiguration(ENTRY);
        await faults.waitForRate(ENTRY);
    });

    test("of a node that runs requests of other nodes, and gets no new ones", async () => {
        const { fleet } = faults;
        const stopTraffic = faults.startTraffic({ hosts: [ENTRY], intervalMs: 10, prefix: "forwarded" });
        await waitFor(() => fleet.runRecords().filter(run => run.host === "server-0").length > 20, "traffic flows");
        fleet.host("server-0").node.signal("SIGTERM");
        await fleet.host("server-0").node.waitForExit();
        assert.equal(fleet.host("server-0").node.exitCode, 0);
        await stopTraffic();
        await fleet.restartNode("server-0");
        await fleet.waitForConfiguration("server-0");
        assert.deepEqual(faults.caller.records.filter(isCut), []);
        assert.deepEqual(await faults.findContradictions(), []);
    });

    test("of a backend server while its node lives", async () => {
        const { fleet } = faults;
        const stopTraffic = faults.startTraffic({ hosts: [ENTRY, "server-1"], intervalMs: 10, prefix: "backend" });
        await waitFor(() => fleet.runRecords().filter(run => run.host === "server-1").length > 20, "traffic flows");
        await fleet.replaceBackend("server-1");
        await stopTraffic();
        assert.deepEqual(faults.caller.records.filter(isCut), []);
        assert.deepEqual(await faults.findContradictions(), []);
    });

    test("of a node with a request that runs longer than the limit, which is aborted", async () => {
        const short = await FaultFleet.create({
            servers: 1,
            limits: { shutdownMs: 300 },
            addressSeed: process.pid + 1,
        });
        try {
            await short.fleet.setBehaviour("server-0", { mode: "hang" });
            const hanging = short.book("server-0", "hanging");
            await waitFor(() => short.fleet.runRecords().some(run => run.requestId === "hanging"), "the request runs");
            assert.equal(await short.fleet.replaceNode("server-0"), 0);
            assert.equal((await hanging).result.kind, "lost");
        }
        finally {
            await short.stop();
        }
    });
});
