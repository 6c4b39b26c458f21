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

/** A third of the durations in use, so that a run sees more leases begin and end. */
const timings: ShareTimings = {
    ...defaultShareTimings,
    tickMs: 50,
    leaseMs: 1_000,
    leaseRenewMs: 333,
    subleaseMs: 500,
    subleaseRenewMs: 167,
    grantMs: 267,
    waitMs: 150,
    pauseMs: 333,
};

const organisations = {
    archive: { rate: 60, burst: 40, keys: [] },
    mission: { rate: 60, burst: 60, keys: [] },
    // Fills its burst within a tick, so that any share that two processes count at once shows in the tokens.
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
        fc.record({ kind: fc.constant("cut-failure-domain" as const), name: fc.constantFrom("khomas-a", "khomas-b") }),
        fc.record({ kind: fc.constant("cut-node" as const), node: nodeIndex, oneWay: fc.boolean() }),
        fc.record({
            kind: fc.constant("messages" as const),
            lost: fc.double({ min: 0, max: 0.5, noNaN: true }),
            doubled: fc.double({ min: 0, max: 0.5, noNaN: true }),
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
        case "list":
            for (const listing of fault.nodes.map(node)) {
                const missing = fault.missing.map(node).filter(other => other !== listing);
                listing.list = fleet.wholeList.filter(host => !missing.some(other => other.name === host.name));
                fleet.schedule(event.durationMs, () => (listing.list = fleet.wholeList));
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

/** By how much a run exceeded the limits; nothing above 0 is allowed. */
interface RunResult {
    readonly admissions: number;
    /** Admissions above rate·t + burst, over all intervals. */
    readonly excess: number;
    /** Parts of a rate that several processes minted at one time. */
    readonly excessFraction: number;
    /** Tokens that all processes held together above the burst. */
    readonly excessTokens: number;
}

const LOOK_INTERVAL_MS = 15;
const SURGE_REQUESTS = 30;
const SURGE_INTERVAL_MS = 60;

/** Many requests at once through some nodes, so that pools which had time to fill are emptied together. */
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

/** Offers one organisation several times its rate and others in surges, and runs a schedule of faults. */
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
        fleet.schedule(event.atMs, () => apply(fleet, event));
    }
    const holdings = Object.keys(organisations).map(name => fleet.watchHoldings(name, LOOK_INTERVAL_MS));
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
    test("never exceed rate and burst over any interval, whatever happens", async () => {
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

    test("the check finds lenders that mint while their lease runs", async () => {
        const shortTimings = { ...timings, marginMs: -timings.leaseMs - timings.grantMs };
        const result = await runSchedule({ seed: SEED, surges: [], events: [] }, shortTimings);
        assert.ok(result.excess > 1);
        assert.ok(result.excessFraction > 0.1);
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
