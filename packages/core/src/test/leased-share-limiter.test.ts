import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { configurationSchema, defaultShareTimings } from "../index.js";
import type { Configuration, ShareTimings } from "../index.js";
import { createSeededRandom, noFault, ShareSimulation } from "./share-simulation.js";

const SEED = 20261;
const RUNS = 40;
const END_MS = 12_000;
const ROUNDING = 1e-6;
const START_MS = 1_400;

/** A third of the default durations, so that more leases begin and end during a run. */
const timings: ShareTimings = {
    ...defaultShareTimings,
    tickMs: 50,
    leaseMs: 1_000,
    leaseRenewMs: 333,
    subleaseMs: 500,
    subleaseRenewMs: 167,
    grantMs: 267,
    maximumWaitMs: 150,
    pauseMs: 333,
};

const organisations = {
    archive: { rate: 60, burst: 40, keys: [] },
    mission: { rate: 60, burst: 60, keys: [] },
    // Fills its burst in 100 ms, so that a share that two processes count at once shows up as excess tokens.
    rapid: { rate: 600, burst: 60, keys: [] },
    register: { rate: 20, burst: 60, keys: [] },
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
const durationMs = fc.integer({ min: 50, max: 3_000 });
const eventArbitrary = fc.record({
    atMs: fc.integer({ min: START_MS, max: END_MS - 1_000 }),
    durationMs,
    fault: fc.oneof(
        fc.record({ kind: fc.constant("pause" as const), node: nodeIndex, sleep: fc.boolean() }),
        fc.record({ kind: fc.constant("restart" as const), node: nodeIndex }),
        fc.record({ kind: fc.constant("stop" as const), node: nodeIndex }),
        fc.record({
            kind: fc.constant("partition-failure-domain" as const),
            name: fc.constantFrom("khomas-a", "khomas-b"),
        }),
        fc.record({ kind: fc.constant("partition-node" as const), node: nodeIndex, oneWay: fc.boolean() }),
        fc.record({
            kind: fc.constant("messages" as const),
            lost: fc.double({ min: 0, max: 0.5, noNaN: true }),
            duplicated: fc.double({ min: 0, max: 0.5, noNaN: true }),
            maximumDelayMs: fc.integer({ min: 10, max: 1_500 }),
        }),
        fc.record({
            kind: fc.constant("list" as const),
            nodes: fc.uniqueArray(nodeIndex, { minLength: 1 }),
            missing: fc.uniqueArray(nodeIndex, { minLength: 1, maxLength: 3 }),
        }),
        fc.record({ kind: fc.constant("version" as const), nodes: fc.uniqueArray(nodeIndex, { minLength: 1 }) }),
    ),
});

type FaultEvent = typeof eventArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const scheduleArbitrary = fc.record({
    seed: fc.integer(),
    surges: fc.array(
        fc.record({
            atMs: fc.integer({ min: START_MS, max: END_MS - 1_000 }),
            nodes: fc.uniqueArray(nodeIndex, { minLength: 1 }),
            repeats: fc.integer({ min: 1, max: 12 }),
        }),
        { minLength: 3, maxLength: 8 },
    ),
    events: fc.array(eventArbitrary, { minLength: 1, maxLength: 10 }),
});

const VERSION_FACTOR = 1.5;

function applyFault(fleet: ShareSimulation, event: FaultEvent): void {
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
        case "partition-failure-domain":
            return fleet.cut(
                (from, to) => (from.failureDomain === fault.name) !== (to.failureDomain === fault.name),
                event.durationMs,
            );
        case "partition-node": {
            const partitionedNode = node(fault.node);
            return fleet.cut(
                (from, to) => from === partitionedNode || (!fault.oneWay && to === partitionedNode),
                event.durationMs,
            );
        }
        case "messages":
            fleet.fault = fault;
            return fleet.schedule(event.durationMs, () => {
                fleet.fault = noFault;
            });
        case "list":
            for (const listing of fault.nodes.map(node)) {
                const missing = fault.missing.map(node).filter(other => other !== listing);
                listing.knownHosts = fleet.completeHostList.filter(host =>
                    !missing.some(other => other.name === host.name)
                );
                fleet.schedule(event.durationMs, () => (listing.knownHosts = fleet.completeHostList));
            }
            return;
        case "version":
            return fault.nodes.forEach(index =>
                fleet.setConfiguration(
                    node(index),
                    createConfiguration({ version: 2, factor: VERSION_FACTOR }),
                )
            );
    }
}

interface Surge {
    readonly atMs: number;
    readonly nodes: readonly number[];
    readonly repeats: number;
}

interface Schedule {
    readonly seed: number;
    readonly surges: readonly Surge[];
    readonly events: readonly FaultEvent[];
}

/** By how much a run exceeded the limits; no value may be above 0. */
interface RunResult {
    readonly admissions: number;
    /** Maximum number of admissions above rate·t + burst, over all intervals. */
    readonly excess: number;
    /** Fraction of a rate above 1 that all processes together held at one time. */
    readonly excessFraction: number;
    /** Tokens above the burst that all processes together held at one time. */
    readonly excessTokens: number;
}

const SAMPLE_INTERVAL_MS = 15;
const SURGE_REQUESTS = 30;
const SURGE_INTERVAL_MS = 60;

/** Sends many requests at once through some nodes, so that pools that had time to fill are emptied together. */
function scheduleSurge(fleet: ShareSimulation, surge: Surge): void {
    for (let repeat = 0; repeat < surge.repeats; repeat++) {
        fleet.schedule(surge.atMs + repeat * SURGE_INTERVAL_MS, () => {
            for (const index of surge.nodes) {
                for (let count = 0; count < SURGE_REQUESTS; count++) {
                    fleet.request(fleet.nodes[index]!, "mission");
                    fleet.request(fleet.nodes[index]!, "register");
                }
            }
        });
    }
}

/** Sends two organisations' requests steadily and two others' in surges, while a schedule of faults runs. */
async function runSchedule(schedule: Schedule, ownTimings = timings): Promise<RunResult> {
    const fleet = new ShareSimulation({
        configuration: createConfiguration(),
        seed: schedule.seed,
        drift: true,
        timings: ownTimings,
    });
    const random = createSeededRandom(schedule.seed);
    for (const node of fleet.nodes) {
        fleet.load(node, "archive", 5 + random() * 60, END_MS);
        fleet.load(node, "rapid", 5 + random() * 40, END_MS);
    }
    schedule.surges.forEach(surge => scheduleSurge(fleet, surge));
    for (const event of schedule.events) {
        fleet.schedule(event.atMs, () => applyFault(fleet, event));
    }
    const holdings = Object.keys(organisations).map(name => fleet.watchHoldings(name, SAMPLE_INTERVAL_MS));
    await fleet.runUntil(END_MS);
    const factor = schedule.events.some(event => event.fault.kind === "version") ? VERSION_FACTOR : 1;
    return {
        admissions: fleet.admissions.length,
        excess: Math.max(
            ...Object.entries(organisations)
                .map(([name, { rate, burst }]) => fleet.excessOf(name, rate * factor, burst * factor)),
        ),
        excessFraction: Math.max(...holdings.map(holding => holding.fraction)) - 1,
        excessTokens: Math.max(
            ...Object.values(organisations).map(({ burst }, index) => holdings[index]!.tokens - burst * factor),
        ),
    };
}

describe("leased shares", () => {
    test("never exceed rate and burst over any interval under random faults", async () => {
        let admissions = 0;
        await fc.assert(
            fc.asyncProperty(scheduleArbitrary, async schedule => {
                const result = await runSchedule(schedule);
                admissions += result.admissions;
                assert.ok(result.excess <= ROUNDING, `excess ${result.excess}`);
                assert.ok(result.excessFraction <= ROUNDING, `excess fraction ${result.excessFraction}`);
                assert.ok(result.excessTokens <= ROUNDING, `excess tokens ${result.excessTokens}`);
            }),
            { seed: SEED, numRuns: RUNS },
        );
        assert.ok(admissions > 0);
    });

    test("the checks detect lenders that generate tokens for shares that are still leased", async () => {
        const shortTimings = { ...timings, clockMarginMs: -timings.leaseMs - timings.grantMs };
        const result = await runSchedule({ seed: SEED, surges: [], events: [] }, shortTimings);
        assert.ok(result.excess > 1);
        assert.ok(result.excessFraction > 0.1);
    });

    test("admit nearly the full rate of an organisation whose requests enter through one node", async () => {
        const fleet = new ShareSimulation({ configuration: createConfiguration(), seed: SEED });
        const node = fleet.nodes[0]!;
        fleet.load(node, "archive", organisations.archive.rate * 0.95, 60_000);
        await fleet.runUntil(60_000);
        const offeredPerSecond = organisations.archive.rate * 0.95;
        const admitted = fleet.admittedBetween("archive", 20_000, 60_000);
        assert.ok(admitted >= 0.99 * 40 * offeredPerSecond, `${admitted} of ${40 * offeredPerSecond}`);
    });
});
