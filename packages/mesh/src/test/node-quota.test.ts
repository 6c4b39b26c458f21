/**
 * From when on the node on a host generates tokens, by what happens to the entry of its backend server.
 */
import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestLog, ServerDirectory } from "../index.js";
import type { TokenGrant } from "../index.js";
import { NodeQuota } from "../process/node-quota.js";
import { createOrganisation, createServer } from "./example-values.js";

const LOCAL = "10.0.0.3";
const organisation = createOrganisation({ ratePerSecond: 100, burst: 20 });

interface Rig {
    readonly clock: ManualClock;
    readonly directory: ServerDirectory;
    readonly nodeQuota: NodeQuota;
    /** Answer of the host that is asked whether it still generates tokens. */
    answer: TokenGrant | undefined;
}

/** A node in a fleet of two listed hosts; both hold the organisation's tokens once its own host is listed too. */
function createRig(): Rig {
    const clock = ManualClock.create();
    const directory = ServerDirectory.create(clock);
    const options = { host: "a", decisionLinesPerSecond: 0, successSampleInterval: 1 };
    const rig: Rig = {
        clock,
        directory,
        answer: undefined,
        nodeQuota: NodeQuota.create({
            clock,
            directory,
            log: RequestLog.create(clock, options, { write: () => undefined }),
            settings: { hostAddress: LOCAL, keyLeaseMs: 5_000, rateReductionMs: 0, quotaTolerance: undefined },
            isReachable: () => true,
            requestTokens: async () => rig.answer,
        }),
    };
    rig.nodeQuota.quota.setOrganisations([organisation]);
    directory.events.on("changed", change => rig.nodeQuota.applyServerChange(change));
    ["x", "yy"].forEach(instance => directory.upsert(createServer(instance), "test"));
    return rig;
}

/** Lets a second pass, and returns whether the host has generated tokens in it. */
async function generatesTokens({ clock, nodeQuota }: Rig): Promise<boolean> {
    await new Promise(resolve => setImmediate(resolve));
    nodeQuota.quota.tryTake(organisation);
    await new Promise(resolve => setImmediate(resolve));
    clock.advance(1_000);
    await new Promise(resolve => setImmediate(resolve));
    clock.advance(100);
    return nodeQuota.quota.tryTake(organisation);
}

test("a host that joins generates tokens when the host that it replaces confirms that it does not", async () => {
    const rig = createRig();
    rig.directory.upsert(createServer("own", { hostAddress: LOCAL }), "test");
    assert.equal(await generatesTokens(rig), false, "without an answer");
    rig.answer = { granted: 0, nextTokenInMs: 0, isGenerating: true };
    assert.equal(await generatesTokens(rig), false, "while the other one generates");
    rig.answer = { granted: 0, nextTokenInMs: 0, isGenerating: false };
    await generatesTokens(rig);
    assert.equal(await generatesTokens(rig), true);
});

test("a host that joins generates tokens without any answer once the key lease of the others must have ended", async () => {
    const rig = createRig();
    rig.directory.upsert(createServer("own", { hostAddress: LOCAL }), "test");
    assert.equal(await generatesTokens(rig), false);
    rig.clock.advance(5_000);
    await generatesTokens(rig);
    assert.equal(await generatesTokens(rig), true);
});

test("a host whose server runs for long, or was listed a moment before, does not wait", async () => {
    const running = createRig();
    running.directory.upsert(createServer("own", { hostAddress: LOCAL, startedAtMs: Date.now() - 60_000 }), "test");
    assert.equal(await generatesTokens(running), true);

    const returning = createRig();
    const started = { hostAddress: LOCAL, startedAtMs: Date.now() - 60_000 };
    returning.directory.upsert(createServer("own", started), "test");
    assert.equal(await generatesTokens(returning), true);
    returning.directory.remove("own", 0, "test");
    await new Promise(resolve => setImmediate(resolve));
    returning.directory.upsert(createServer("new", { hostAddress: LOCAL }), "test");
    assert.equal(await generatesTokens(returning), true);
});
