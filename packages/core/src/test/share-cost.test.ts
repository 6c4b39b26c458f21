import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { TestContext } from "node:test";
import { configurationSchema } from "../index.js";
import { ShareSimulation } from "./share-simulation.js";

const SEED = 11;
const ORGANISATIONS = 16;
const WARM_UP_MS = 6_000;
const MEASURED_MS = 5_000;
const DEMAND_PER_SECOND = 2;

/** Messages that a node sends per second on average. */
interface MessageRates {
    readonly lease: number;
    readonly grant: number;
}

async function measure(context: TestContext, seats: number, nodes: number): Promise<MessageRates> {
    const names = Array.from({ length: ORGANISATIONS }, (_, index) => `organisation-${index}`);
    const organisations = Object.fromEntries(
        names.map(
            name => [name, { rate: DEMAND_PER_SECOND * nodes * 2, burst: DEMAND_PER_SECOND * nodes * 4, keys: [] }],
        ),
    );
    const failureDomains = { "khomas-a": { region: "khomas", seats } };
    const configuration = configurationSchema.parse({ version: 1, organisations, services: {}, failureDomains });
    const fleet = new ShareSimulation({ configuration, seed: SEED });
    for (let number = seats; number < nodes; number++) {
        fleet.addNode(`khomas-a-${number}`, "khomas-a", number);
    }
    for (const node of fleet.nodes) {
        names.forEach(name => fleet.load(node, name, DEMAND_PER_SECOND, WARM_UP_MS + MEASURED_MS));
    }
    await fleet.runUntil(WARM_UP_MS);
    const before = new Map(fleet.messages);
    await fleet.runUntil(WARM_UP_MS + MEASURED_MS);
    const perSecond = (...kinds: string[]) =>
        kinds.reduce((sum, kind) => sum + (fleet.messages.get(kind) ?? 0) - (before.get(kind) ?? 0), 0) /
        nodes / (MEASURED_MS / 1000);
    const rates = {
        lease: perSecond("leaseRequest", "leaseAnswer", "leaseReturn"),
        grant: perSecond("grantRequest", "grantAnswer"),
    };
    context.diagnostic(
        `${nodes} nodes, ${seats} seats: ${rates.lease.toFixed(2)} lease and ${
            rates.grant.toFixed(2)
        } grant messages ` +
            "per node and second",
    );
    return rates;
}

describe("rate share messages", () => {
    test("lease messages increase with the number of seats, so that nodes without a seat cause few of them", async context => {
        const few = await measure(context, 4, 16);
        const half = await measure(context, 8, 16);
        const all = await measure(context, 16, 16);
        assert.ok(few.lease < all.lease / 2, `${few.lease} and ${all.lease}`);
        assert.ok(half.lease < all.lease, `${half.lease} and ${all.lease}`);
    });
});
