import { create } from "@bufbuild/protobuf";
import { ControlMessageSchema } from "@radishrouter/protocol";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ControlTransport, ReceivedMessage } from "../connection/control-transport.js";
import { ManualClock } from "../process/clock.js";
import { SeatAuthority } from "../process/seat-authority.js";
import type { Host } from "../version/host-list.js";

const RETENTION_MS = 60_000;
const DELAY_MS = 20;
const STEP_MS = 50;
const LOSS_STEPS = 20;

const hosts: Host[] = ["a0", "a1", "a2", "b0", "b1", "b2"].map((name, index) => ({
    name,
    address: "127.0.0.1",
    failureDomain: name.slice(0, 1),
    region: "khomas",
    service: "catalogue",
    seat: index % 3,
    callerPort: 1,
    forwardPort: 1,
    controlPort: 1,
    state: "live",
}));

/** Processes of a small fleet on one clock; messages arrive unless their hosts are partitioned or a message is lost. */
class FakeFleet {
    readonly clock = ManualClock.create();
    readonly processes = new Map<string, { authority: SeatAuthority; incarnation: bigint; }>();
    private readonly listeners = new Map<string, Set<(received: ReceivedMessage) => void>>();
    private incarnations = 0n;
    readonly cut = new Set<string>();
    lost: () => boolean = () => false;

    /** Starts a process that replaces the previous one, which ends unless it is only paused. */
    start(name: string, earlier: "ends" | "pauses" = "ends"): void {
        if (earlier === "ends") {
            this.processes.get(name)?.authority.close();
        }
        const host = hosts.find(candidate => candidate.name === name)!;
        const incarnation = ++this.incarnations;
        const authority = SeatAuthority.create({
            clock: this.clock,
            transport: this.transportOf(name, incarnation),
            failureDomain: host.failureDomain,
            seat: host.seat!,
            incarnation,
            retentionMs: RETENTION_MS,
            seatHandoverRemainingMs: () => 0,
            livePeers: () => hosts.filter(peer => peer.name !== name),
        });
        this.processes.set(name, { authority, incarnation });
    }

    private transportOf(sender: string, incarnation: bigint): ControlTransport {
        return {
            send: (receiver, body) => {
                this.clock.setTimer(DELAY_MS, () => {
                    const isCut = this.cut.has(sender) !== this.cut.has(receiver);
                    if (!isCut && !this.lost()) {
                        const message = create(ControlMessageSchema, { body });
                        this.listenersOf(receiver).forEach(listener => listener({ sender, incarnation, message }));
                    }
                });
            },
            subscribe: listener => {
                const own = this.listenersOf(sender);
                own.add(listener);
                return () => own.delete(listener);
            },
        };
    }

    private listenersOf(name: string): Set<(received: ReceivedMessage) => void> {
        const own = this.listeners.get(name) ?? new Set();
        this.listeners.set(name, own);
        return own;
    }
}

test("the first process of each seat is authorised within two seconds", () => {
    const fleet = new FakeFleet();
    hosts.forEach(host => fleet.start(host.name));
    fleet.clock.advance(2_000);
    for (const { authority } of fleet.processes.values()) {
        assert.equal(authority.state.kind, "authorised");
    }
});

test("no process is authorised before the retention of requests of its previous process has ended", () => {
    const eventArbitrary = fc.record({
        kind: fc.constantFrom("restart" as const, "cut" as const, "heal" as const),
        waitMs: fc.integer({ min: 0, max: 8_000 }),
    });
    const lossArbitrary = fc.integer({ min: 0, max: LOSS_STEPS - 1 });
    fc.assert(
        fc.property(fc.array(eventArbitrary, { maxLength: 12 }), lossArbitrary, fc.integer(), (events, loss, seed) => {
            const fleet = new FakeFleet();
            let random = seed >>> 0;
            fleet.lost = () => {
                random = (Math.imul(random, 1_664_525) + 1_013_904_223) >>> 0;
                return (random >>> 8) % LOSS_STEPS < loss;
            };
            hosts.forEach(host => fleet.start(host.name));
            let lastAuthorisedMs = -Infinity;
            let lastIncarnation = 0n;
            const watch = (durationMs: number) => {
                for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
                    fleet.clock.advance(STEP_MS);
                    const { authority, incarnation } = fleet.processes.get("a1")!;
                    if (authority.state.kind === "authorised") {
                        const isNew = incarnation !== lastIncarnation;
                        assert.ok(!isNew || fleet.clock.nowMs() - lastAuthorisedMs >= RETENTION_MS);
                        lastIncarnation = incarnation;
                        lastAuthorisedMs = fleet.clock.nowMs();
                    }
                }
            };
            watch(3_000);
            for (const event of events) {
                if (event.kind === "restart") {
                    fleet.start("a1");
                }
                else if (event.kind === "cut") {
                    ["a0", "a1", "a2"].forEach(name => fleet.cut.add(name));
                }
                else {
                    fleet.cut.clear();
                }
                watch(event.waitMs);
            }
        }),
        { seed: 6102, numRuns: 150 },
    );
});

test("a paused process that was replaced no longer acts for its seat", () => {
    const fleet = new FakeFleet();
    hosts.forEach(host => fleet.start(host.name));
    fleet.clock.advance(2_000);
    const paused = fleet.processes.get("a1")!;
    fleet.start("a1", "pauses");
    fleet.clock.advance(2_000);
    assert.equal(fleet.processes.get("a1")!.authority.state.kind, "waiting");
    fleet.clock.pause(20_000);
    assert.equal(paused.authority.state.kind, "asking");
    fleet.clock.advance(2_000);
    assert.equal(paused.authority.state.kind, "superseded");
});
