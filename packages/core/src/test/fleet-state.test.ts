import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ManualClock } from "../process/clock.js";
import { createSeededRandom } from "./share-simulation.js";
import { createConfiguration, createHosts, SimulatedFleet } from "./simulated-fleet.js";

const hosts = createHosts({ a: 3, b: 3 });
const readers = ["a-1", "b-1"];
const names = hosts.map(host => host.name);
const SETTLE_MS = 90_000;

type Step =
    | { readonly kind: "advance"; readonly durationMs: number; }
    | { readonly kind: "publish"; }
    | { readonly kind: "stale"; readonly age: number; }
    | { readonly kind: "down"; }
    | { readonly kind: "restart"; readonly host: string; }
    | { readonly kind: "pause"; readonly host: string; readonly durationMs: number; }
    | { readonly kind: "partition"; readonly hosts: readonly string[]; }
    | {
        readonly kind: "network";
        readonly lossRatio: number;
        readonly duplicateRatio: number;
        readonly delayMs: number;
    };

const host = fc.constantFrom(...names);
const step: fc.Arbitrary<Step> = fc.oneof(
    fc.record({ kind: fc.constant("advance" as const), durationMs: fc.integer({ min: 100, max: 15_000 }) }),
    fc.record({ kind: fc.constant("publish" as const) }),
    fc.record({ kind: fc.constant("stale" as const), age: fc.integer({ min: 1, max: 3 }) }),
    fc.record({ kind: fc.constant("down" as const) }),
    fc.record({ kind: fc.constant("restart" as const), host }),
    fc.record({ kind: fc.constant("pause" as const), host, durationMs: fc.integer({ min: 100, max: 20_000 }) }),
    fc.record({ kind: fc.constant("partition" as const), hosts: fc.subarray(names) }),
    fc.record({
        kind: fc.constant("network" as const),
        lossRatio: fc.double({ min: 0, max: 0.3, noNaN: true }),
        duplicateRatio: fc.double({ min: 0, max: 0.3, noNaN: true }),
        delayMs: fc.integer({ min: 0, max: 3_000 }),
    }),
);

/** Starts a fleet of which only the first host reads the platform, and waits until it is running. */
function startFleet(counts: Readonly<Record<string, number>>): SimulatedFleet {
    const fleet = new SimulatedFleet(ManualClock.create(), createHosts(counts), ["a-1"], createSeededRandom(11));
    fleet.conditions.platformVersion = 1;
    fleet.startAll();
    fleet.clock.advance(10_000);
    return fleet;
}

class Schedule {
    readonly fleet: SimulatedFleet;
    published = 1;
    private readonly incarnations = new Map<string, bigint>();

    constructor(seed: number) {
        this.fleet = new SimulatedFleet(ManualClock.create(), hosts, readers, createSeededRandom(seed));
        this.fleet.conditions.platformVersion = 1;
        this.fleet.startAll();
        this.fleet.clock.advance(10_000);
    }

    run(step: Step): void {
        const { conditions, clock } = this.fleet;
        switch (step.kind) {
            case "advance":
                clock.advance(step.durationMs);
                break;
            case "publish":
                conditions.platformVersion = ++this.published;
                break;
            case "stale":
                conditions.platformVersion = Math.max(1, this.published - step.age);
                break;
            case "down":
                conditions.platformVersion = undefined;
                break;
            case "restart":
                this.fleet.start(step.host);
                break;
            case "pause": {
                const process = this.fleet.process(step.host);
                process.clock.pause();
                clock.setTimer(step.durationMs, () => process.clock.resume());
                break;
            }
            case "partition":
                conditions.partitioned = new Set(step.hosts);
                break;
            case "network":
                conditions.lossRatio = step.lossRatio;
                conditions.duplicateRatio = step.duplicateRatio;
                conditions.maximumDelayMs = step.delayMs;
                break;
        }
        this.check();
    }

    settle(): void {
        Object.assign(this.fleet.conditions, {
            lossRatio: 0,
            duplicateRatio: 0,
            maximumDelayMs: 20,
            partitioned: new Set(),
            platformVersion: this.published,
        });
        this.fleet.clock.advance(SETTLE_MS);
        this.check();
    }

    private check(): void {
        for (const process of this.fleet.processes.values()) {
            const sorted = [...process.versions].sort((left, right) => left - right);
            assert.deepEqual(process.versions, sorted, `${process.name} returned to an earlier version`);
            for (const name of names) {
                const incarnation = process.view.statusOf(name)?.incarnation ?? 0n;
                const key = `${process.incarnation} ${name}`;
                assert.ok(
                    incarnation >= (this.incarnations.get(key) ?? 0n),
                    `${name} returned to an earlier process`,
                );
                this.incarnations.set(key, incarnation);
            }
        }
    }
}

describe("membership and configuration under a schedule of faults", () => {
    test("no node returns to an earlier version or process, and the fleet converges once the faults end", () => {
        fc.assert(
            fc.property(fc.integer(), fc.array(step, { maxLength: 25 }), (seed, steps) => {
                const schedule = new Schedule(seed);
                steps.forEach(step => schedule.run(step));
                schedule.settle();
                for (const process of schedule.fleet.processes.values()) {
                    assert.equal(process.replica.version, schedule.published, `${process.name} is behind`);
                    const live = process.view.livePeers().map(peer => peer.name).sort();
                    const others = names.filter(name => name !== process.name);
                    assert.deepEqual(live, others, `${process.name} at ${steps.length} steps`);
                }
            }),
            { seed: 20_261_204, numRuns: 60 },
        );
    });

    test("a restarted process does not apply a stale version of the platform while a peer is reachable", () => {
        fc.assert(
            fc.property(fc.integer(), host, fc.integer({ min: 2, max: 9 }), (seed, host, published) => {
                const schedule = new Schedule(seed);
                schedule.published = published;
                schedule.fleet.conditions.platformVersion = published;
                schedule.fleet.clock.advance(20_000);
                schedule.fleet.conditions.platformVersion = 1;
                const restarted = schedule.fleet.start(host);
                schedule.fleet.clock.advance(10_000);
                assert.deepEqual(restarted.versions, [published]);
            }),
            { seed: 20_261_204, numRuns: 50 },
        );
    });

    test("a fleet that starts all at once applies the version of the platform", () => {
        const schedule = new Schedule(1);
        assert.deepEqual([...schedule.fleet.processes.values()].map(process => process.replica.version), [
            1,
            1,
            1,
            1,
            1,
            1,
        ]);
    });

    test("every node detects a failed process, and a later process of its host is eligible again", () => {
        const { fleet } = new Schedule(2);
        fleet.kill("a-2");
        fleet.clock.advance(20_000);
        for (const process of fleet.processes.values()) {
            assert.equal(process.view.isEligible("a-2"), false, process.name);
            assert.equal(process.view.eligibleSinceMs("a-2"), undefined);
        }
        fleet.start("a-2");
        fleet.clock.advance(10_000);
        for (const process of fleet.processes.values()) {
            assert.equal(process.view.isEligible("a-2"), true, process.name);
        }
        assert.ok(fleet.process("a-1").view.eligibleSinceMs("a-2")! > 0);
    });

    test("a draining host is not eligible at any node, and does not become eligible again", () => {
        const { fleet } = new Schedule(3);
        fleet.process("a-2").view.markDraining("a-2", "drain signal");
        fleet.clock.advance(5_000);
        for (const process of fleet.processes.values()) {
            assert.equal(process.view.isEligible("a-2"), false, process.name);
        }
        fleet.clock.advance(60_000);
        for (const process of fleet.processes.values()) {
            assert.equal(process.view.isEligible("a-2"), false, process.name);
        }
    });

    test("a partitioned failure domain is marked unreachable, and its hosts are not marked failed", () => {
        const { fleet } = new Schedule(4);
        fleet.conditions.partitioned = new Set(["b-1", "b-2", "b-3"]);
        fleet.clock.advance(20_000);
        const { view } = fleet.process("a-1");
        assert.deepEqual(view.livePeers().map(peer => peer.failureDomain), ["a", "a"]);
        assert.equal(view.nonLiveStatuses().length, 0);
        fleet.conditions.partitioned = new Set();
        fleet.clock.advance(20_000);
        assert.equal(view.livePeers().length, 5);
    });

    test("a process does not mark its peers failed when it resumes after a pause", () => {
        const { fleet } = new Schedule(5);
        const paused = fleet.process("a-1");
        paused.clock.pause();
        fleet.clock.advance(30_000);
        assert.equal(fleet.process("a-2").view.isEligible("a-1"), false);
        paused.clock.resume();
        assert.equal(paused.view.livePeers().length, 5);
        fleet.clock.advance(20_000);
        assert.equal(paused.view.livePeers().length, 5);
        assert.equal(fleet.process("a-2").view.isEligible("a-1"), true);
    });

    test("a process that is paused while peers probe a host does not mark the host failed on outdated evidence", () => {
        const { fleet } = new Schedule(7);
        const watcher = [...fleet.processes.values()].find(process => process.agent.neighbours().includes("a-2"))!;
        fleet.process("a-2").clock.pause();
        fleet.clock.advance(4_000);
        watcher.clock.pause();
        fleet.clock.advance(10_000);
        fleet.process("a-2").clock.resume();
        fleet.clock.advance(100);
        const ownDecisions: string[] = [];
        watcher.view.subscribe((status, source) => {
            if (!names.includes(source)) {
                ownDecisions.push(`${status.host} ${status.state}`);
            }
        });
        watcher.clock.resume();
        assert.ok(!ownDecisions.includes("a-2 failed"), ownDecisions.join());
    });

    test("a host that only one peer cannot reach is not marked failed, because other peers reach it", () => {
        const { fleet } = new Schedule(8);
        const failed: string[] = [];
        for (const process of fleet.processes.values()) {
            process.view.subscribe(status => failed.push(...status.state === "failed" ? [status.host] : []));
        }
        assert.ok(fleet.process("a-1").agent.neighbours().includes("a-2"));
        fleet.conditions.blocked = new Set(["a-1>a-2", "a-2>a-1"]);
        fleet.clock.advance(60_000);
        assert.deepEqual(failed, []);
    });

    test("a failed status that was refuted during a long partition is corrected after it", () => {
        const fleet = startFleet({ a: 8, b: 3 });
        const isInDomainB = (name: string) => name.startsWith("b-");
        const process = [...fleet.processes.values()].find(({ agent }) => !agent.neighbours().some(isInDomainB))!;
        process.clock.pause();
        fleet.clock.advance(20_000);
        assert.equal(fleet.process("b-3").view.isEligible(process.name), false);
        fleet.conditions.partitioned = new Set(["b-1", "b-2", "b-3"]);
        process.clock.resume();
        fleet.clock.advance(300_000);
        assert.equal(fleet.process("a-1").view.isEligible(process.name), true);
        assert.equal(fleet.process("b-3").view.isEligible(process.name), false);
        fleet.conditions.partitioned = new Set();
        fleet.clock.advance(120_000);
        for (const { name, view } of fleet.processes.values()) {
            assert.equal(view.isEligible(process.name), true, name);
        }
    });

    test("a new version reaches every node by pushes alone", () => {
        const fleet = startFleet({ a: 20 });
        fleet.conditions.platformVersion = 2;
        fleet.clock.advance(1_000);
        for (const { name, replica } of fleet.processes.values()) {
            assert.equal(replica.version, 2, name);
        }
    });

    test("both sides of a partition within a failure domain become live to each other again after it", () => {
        const fleet = startFleet({ a: 4 });
        fleet.conditions.partitioned = new Set(["a-1", "a-2"]);
        fleet.clock.advance(60_000);
        assert.deepEqual(fleet.process("a-1").view.livePeers().map(peer => peer.name), ["a-2"]);
        fleet.conditions.partitioned = new Set();
        fleet.clock.advance(60_000);
        for (const process of fleet.processes.values()) {
            assert.equal(process.view.livePeers().length, 3, process.name);
        }
    });

    test("a document with the active version and different content is refused and reported once", () => {
        const { fleet } = new Schedule(6);
        const { replica, refusals } = fleet.process("a-1");
        const other = createConfiguration(1, 99);
        assert.equal(replica.offerDocument(other, "platform"), "conflict");
        assert.equal(replica.offerDocument(other, "platform"), "conflict");
        assert.equal(replica.offerDocument({ version: 2 }, "platform"), "invalid");
        assert.equal(replica.version, 1);
        assert.equal(refusals.length, 2);
    });
});
