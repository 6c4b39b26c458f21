import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { configurationSchema, defaultShareTimings } from "../index.js";
import type { Configuration, ShareTimings } from "../index.js";
import { createRandom, noFault, ShareSimulation } from "./share-simulation.js";

const SEED = 20261;
const RUNS = 40;
const END_MS = 24_000;
const ROUNDING = 1e-6;
const START_MS = 4_000;

const organisations = {
    archive: { rate: 60, burst: 40, keys: [] },
    mission: { rate: 20, burst: 30, keys: [] },
};

function createConfiguration(limits: { version?: number; factor?: number; seats?: number; } = {}): Configuration {
    const factor = limits.factor ?? 1;
    const scaled = Object.entries(organisations).map(([name, { rate, burst, keys }]) => [
        name,
        { rate: rate * factor, burst: burst * factor, keys },
    ]);
    const seats = limits.seats ?? 3;
    return configurationSchema.parse({
        version: limits.version ?? 1,
        organisations: Object.fromEntries(scaled),
        services: {},
        failureDomains: {
            "khomas-a": { region: "khomas", seats },
            "khomas-b": { region: "khomas", seats },
            "khomas-c": { region: "khomas", seats: 2 },
        },
    });
}

const nodeIndex = fc.nat(7);
const durationMs = fc.integer({ min: 50, max: 9_000 });
const eventArbitrary = fc.record({
    atMs: fc.integer({ min: START_MS, max: END_MS - 2_000 }),
    durationMs,
    fault: fc.oneof(
        fc.record({ kind: fc.constant("pause" as const), node: nodeIndex, sleep: fc.boolean() }),
        fc.record({ kind: fc.constant("restart" as const), node: nodeIndex }),
        fc.record({ kind: fc.constant("stop" as const), node: nodeIndex }),
        fc.record({ kind: fc.constant("cut-failure-domain" as const), name: fc.constantFrom("khomas-a", "khomas-b") }),
        fc.record({ kind: fc.constant("cut-node" as const), node: nodeIndex, oneWay: fc.boolean() }),
        fc.record({
            kind: fc.constant("messages" as const),
            lost: fc.double({ min: 0, max: 0.5, noNaN: true }),
            doubled: fc.double({ min: 0, max: 0.5, noNaN: true }),
            maximumDelayMs: fc.integer({ min: 10, max: 4_500 }),
        }),
        fc.record({ kind: fc.constant("list" as const), node: nodeIndex, missing: fc.uniqueArray(nodeIndex) }),
        fc.record({ kind: fc.constant("version" as const), nodes: fc.uniqueArray(nodeIndex, { minLength: 1 }) }),
    ),
});

type FaultEvent = typeof eventArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const scheduleArbitrary = fc.record({
    seed: fc.integer(),
    events: fc.array(eventArbitrary, { minLength: 1, maxLength: 10 }),
});

const VERSION_FACTOR = 1.5;

function apply(fleet: ShareSimulation, event: FaultEvent): void {
    const { fault } = event;
    const node = (index: number) => fleet.nodes[index % fleet.nodes.length]!;
    switch (fault.kind) {
        case "pause":
            return node(fault.node).process.pause(event.durationMs, { sleep: fault.sleep });
        case "restart":
            fleet.kill(node(fault.node));
            return fleet.schedule(event.durationMs / 10, () => fleet.start(node(fault.node)));
        case "stop": {
            const process = node(fault.node).process;
            process.run(() => process.limiter.close());
            return fleet.schedule(event.durationMs / 10, () => fleet.start(node(fault.node)));
        }
        case "cut-failure-domain":
            return fleet.cut(
                (from, to) => (from.failureDomain === fault.name) !== (to.failureDomain === fault.name),
                event.durationMs,
            );
        case "cut-node": {
            const cutNode = node(fault.node);
            return fleet.cut(
                (from, to) => from === cutNode || (!fault.oneWay && to === cutNode),
                event.durationMs,
            );
        }
        case "messages":
            fleet.fault = fault;
            return fleet.schedule(event.durationMs, () => {
                fleet.fault = noFault;
            });
        case "list": {
            const whole = node(fault.node).list;
            const missing = fault.missing.map(index => node(index)).filter(other => other !== node(fault.node));
            node(fault.node).list = whole.filter(host => !missing.some(other => other.name === host.name));
            return;
        }
        case "version":
            return fault.nodes.forEach(index =>
                fleet.setConfiguration(
                    node(index),
                    createConfiguration({ version: 2, factor: VERSION_FACTOR }),
                )
            );
    }
}

/** Offers each organisation several times its rate through changing nodes, and runs a schedule. */
async function runSchedule(
    schedule: { seed: number; events: FaultEvent[]; },
    timings?: ShareTimings,
): Promise<ShareSimulation> {
    const fleet = new ShareSimulation({
        configuration: createConfiguration(),
        seed: schedule.seed,
        drift: true,
        ...(timings ? { timings } : {}),
    });
    const random = createRandom(schedule.seed);
    for (const node of fleet.nodes) {
        fleet.load(node, "archive", 5 + random() * 60, END_MS);
        // Pauses let the burst fill up, so that it is spent at once afterwards.
        for (let startMs = 0; startMs < END_MS; startMs += 4_000) {
            fleet.schedule(startMs, () => fleet.load(node, "mission", 30 + random() * 60, fleet.nowMs + 1_500));
        }
    }
    for (const event of schedule.events) {
        fleet.schedule(event.atMs, () => apply(fleet, event));
    }
    await fleet.runUntil(END_MS);
    return fleet;
}

function worstExcess(fleet: ShareSimulation, events: readonly FaultEvent[]): number {
    const factor = events.some(event => event.fault.kind === "version") ? VERSION_FACTOR : 1;
    const excesses = Object.entries(organisations)
        .map(([name, { rate, burst }]) => fleet.excessOf(name, rate * factor, burst * factor));
    return Math.max(...excesses);
}

describe("leased shares", () => {
    test("never exceed rate and burst over any interval, whatever happens", async () => {
        let admissions = 0;
        await fc.assert(
            fc.asyncProperty(scheduleArbitrary, async schedule => {
                const fleet = await runSchedule(schedule);
                admissions += fleet.admissions.length;
                assert.ok(worstExcess(fleet, schedule.events) <= ROUNDING);
            }),
            { seed: SEED, numRuns: RUNS },
        );
        assert.ok(admissions > 0);
    });

    test("the check finds lenders that mint while their lease runs", async () => {
        const timings = {
            ...defaultShareTimings,
            marginMs: -defaultShareTimings.leaseMs - defaultShareTimings.grantMs,
        };
        const fleet = await runSchedule({ seed: SEED, events: [] }, timings);
        assert.ok(worstExcess(fleet, []) > 1);
    });

    test("give an organisation that enters through one node nearly its whole rate", async () => {
        const fleet = new ShareSimulation({ configuration: createConfiguration(), seed: SEED });
        const node = fleet.nodes[0]!;
        fleet.load(node, "archive", organisations.archive.rate * 0.95, 60_000);
        await fleet.runUntil(60_000);
        const offeredPerSecond = organisations.archive.rate * 0.95;
        const admitted = fleet.admittedBetween("archive", 20_000, 60_000);
        assert.ok(admitted >= 0.99 * 40 * offeredPerSecond, `${admitted} of ${40 * offeredPerSecond}`);
    });
});
