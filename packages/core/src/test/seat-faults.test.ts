import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { configurationSchema, defaultShareTimings } from "../index.js";
import { ShareSimulation } from "./share-simulation.js";
import type { SimulatedNode } from "./share-simulation.js";

const SEED = 7;
const RATE = 60;
const READY_MS = 12_000;
const LEASE_AND_GRANT_MS = defaultShareTimings.leaseMs + defaultShareTimings.grantMs;

function createFleet(): ShareSimulation {
    const configuration = configurationSchema.parse({
        version: 1,
        organisations: { archive: { rate: RATE, burst: RATE, keys: [] } },
        services: {},
        failureDomains: { "khomas-a": { region: "khomas", seats: 4 }, "khomas-b": { region: "khomas", seats: 4 } },
    });
    return new ShareSimulation({ configuration, seed: SEED });
}

/** The collector of a failure domain: the node that holds the largest fraction. */
function collectorOf(fleet: ShareSimulation, failureDomain: string): SimulatedNode {
    const nodes = fleet.nodes.filter(node => node.failureDomain === failureDomain);
    const fraction = (node: SimulatedNode) => node.process.limiter.holdingOf("archive")?.fraction ?? 0;
    return nodes.reduce((best, node) => fraction(node) > fraction(best) ? node : best);
}

function removeFromLists(fleet: ShareSimulation, gone: SimulatedNode): void {
    for (const node of fleet.nodes) {
        node.knownHosts = node.knownHosts.filter(host => host.name !== gone.name);
    }
}

function heldFraction(fleet: ShareSimulation): number {
    return fleet.nodes.filter(node => node.process.alive)
        .reduce((sum, node) => sum + (node.process.limiter.holdingOf("archive")?.fraction ?? 0), 0);
}

describe("shares when seats fail", () => {
    test("a collector that stops as planned returns its leases before they expire", async () => {
        const fleet = createFleet();
        await fleet.runUntil(READY_MS);
        const stopped = collectorOf(fleet, "khomas-a");
        stopped.process.limiter.close();
        fleet.kill(stopped);
        removeFromLists(fleet, stopped);
        await fleet.runUntil(READY_MS + LEASE_AND_GRANT_MS / 2);
        // All shares but that of the stopped seat are held again.
        assert.ok(heldFraction(fleet) >= 7 / 8 - 1e-9, `${heldFraction(fleet)}`);
    });

    test("the leases of a crashed collector are unavailable until they expire", async () => {
        const fleet = createFleet();
        await fleet.runUntil(READY_MS);
        const crashed = collectorOf(fleet, "khomas-a");
        fleet.kill(crashed);
        removeFromLists(fleet, crashed);
        await fleet.runUntil(READY_MS + LEASE_AND_GRANT_MS / 2);
        assert.ok(heldFraction(fleet) <= 4 / 8 + 1e-9, `${heldFraction(fleet)}`);
        await fleet.runUntil(READY_MS + LEASE_AND_GRANT_MS * 2);
        assert.ok(heldFraction(fleet) >= 7 / 8 - 1e-9, `${heldFraction(fleet)}`);
    });

    test("a process whose seat a later process claims stops generating tokens and records a conflict", async () => {
        const fleet = createFleet();
        const rightful = fleet.nodes[0]!;
        const intruder = fleet.addNode("khomas-a-late", "khomas-a", 0);
        // Both processes get requests, so that each exchanges messages with its collector.
        fleet.load(rightful, "archive", 10, 30_000);
        fleet.load(intruder, "archive", 10, 30_000);
        await fleet.runUntil(30_000);
        const conflicts = rightful.process.audit.since(0).filter(entry => entry.change === "seat-conflict");
        assert.equal(conflicts.length, 1);
        assert.equal(rightful.process.limiter.readyInMs(), Infinity);
        assert.ok(heldFraction(fleet) <= 1 + 1e-9);
    });

    test("each failure domain of a partitioned fleet serves its own share, and they lend again afterwards", async () => {
        const fleet = createFleet();
        const entry = fleet.nodes[0]!;
        fleet.load(entry, "archive", RATE * 0.9, 60_000);
        fleet.load(fleet.nodes[4]!, "archive", 1, 60_000);
        await fleet.runUntil(20_000);
        fleet.cut((from, to) => from.failureDomain !== to.failureDomain, 20_000);
        await fleet.runUntil(40_000);
        const duringCut = fleet.admittedBetween("archive", 25_000, 40_000) / 15;
        assert.ok(duringCut >= 0.45 * RATE && duringCut <= 0.55 * RATE, `${duringCut} a second during the cut`);
        await fleet.runUntil(60_000);
        const afterCut = fleet.admittedBetween("archive", 50_000, 60_000) / 10;
        assert.ok(afterCut >= 0.85 * RATE, `${afterCut} a second after the cut`);
        assert.ok(fleet.excessOf("archive", RATE, RATE) <= 0);
    });
});
