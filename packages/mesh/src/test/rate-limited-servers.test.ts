/**
 * Plays callers on fleets of different size whose servers partly name a rate below what they would get: what the
 * servers get in four seconds, and what the callers get.
 */
import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LoadBalancer, ServerGate } from "../index.js";
import type { KnownServer } from "../index.js";
import { createGateRequest, createServer } from "./example-values.js";
import { createSeededRandom } from "./seeded-random.js";

const SERVICE_MS = 60;
const STEP_MS = 5;
const DURATION_MS = 14_000;
/** Time from which a limit has to hold. */
const SETTLED_MS = 3_000;
const WINDOW_MS = 4_000;
const MAXIMUM_ATTEMPTS = 4;

interface FleetOptions {
    readonly nodes: number;
    readonly servers: number;
    readonly requestsPerSecond: number;
    readonly limitedServers: number;
    readonly ratePerSecond: number;
    /** Whether the nodes use the fraction that the server's node reports. */
    readonly usesShares: boolean;
}

class LimitedFleet {
    readonly admittedAtMs: number[][];
    offered = 0;
    served = 0;
    attempts = 0;
    private readonly clock = ManualClock.create(1_000);
    private readonly random = createSeededRandom(11);
    private readonly gates: ServerGate[];
    private readonly servers: KnownServer[];
    private readonly balancers: LoadBalancer[];

    constructor(private readonly options: FleetOptions) {
        const indexes = Array.from({ length: options.servers }, (_, index) => index);
        this.gates = indexes.map(() => ServerGate.create(this.clock, this.random));
        this.servers = indexes.map(index => createServer(`s${index}`, { hostAddress: `host-${index}`, slots: 100 }));
        this.gates.forEach(gate => gate.setSlots(100));
        this.admittedAtMs = indexes.map(() => []);
        this.balancers = Array.from({ length: options.nodes }, () => LoadBalancer.create(this.clock, this.random));
        this.gates.slice(0, options.limitedServers).forEach(gate => gate.setRateLimit(options.ratePerSecond));
    }

    async run(): Promise<void> {
        const perStep = this.options.requestsPerSecond * STEP_MS / 1_000;
        for (let atMs = 0; atMs < DURATION_MS; atMs += STEP_MS) {
            for (let due = perStep; due > 0; due--) {
                if (this.random() < due) {
                    void this.send(Math.floor(this.random() * this.options.nodes));
                }
            }
            await new Promise(resolve => setImmediate(resolve));
            this.clock.advance(STEP_MS);
        }
    }

    /** Most requests that one of the limited servers got in a window. */
    mostInWindow(): number {
        const settledAtMs = 1_000 + SETTLED_MS;
        return Math.max(
            ...this.admittedAtMs.slice(0, this.options.limitedServers).flatMap(times => {
                const settled = times.filter(atMs => atMs >= settledAtMs);
                return settled.map(fromMs =>
                    settled.filter(atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length
                );
            }),
        );
    }

    private async send(node: number): Promise<void> {
        const balancer = this.balancers[node]!;
        const tried = new Set<string>();
        this.offered++;
        for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            const server = this.choose(balancer, node, tried);
            if (!server) {
                return;
            }
            tried.add(server.instance);
            if (await this.attempt(balancer, server)) {
                this.served++;
                return;
            }
        }
    }

    private choose(balancer: LoadBalancer, node: number, tried: ReadonlySet<string>): KnownServer | undefined {
        return balancer.choose({
            origin: { failureDomain: "a", hostAddress: `host-${node}` },
            candidates: this.servers,
            tried,
            localRateShare: this.shareOf(node),
            avoidsRateLimited: tried.size > 0,
            isReachable: () => true,
        });
    }

    private shareOf(server: number): number {
        return this.options.usesShares ? this.gates[server]?.rateShare() ?? 1 : 1;
    }

    private async attempt(balancer: LoadBalancer, server: KnownServer): Promise<boolean> {
        const index = this.servers.indexOf(server);
        const gate = this.gates[index]!;
        this.attempts++;
        balancer.start(server);
        const ticket = gate.enter(createGateRequest({ softDeadlineAtMs: this.clock.nowMs() + 1_000 }));
        const { kind } = await ticket.decision;
        if (kind === "admitted") {
            this.admittedAtMs[index]!.push(this.clock.nowMs());
            await new Promise<void>(resolve => this.clock.setTimer(SERVICE_MS, resolve));
            ticket.end({ kind: "answered", serviceMs: SERVICE_MS });
        }
        balancer.end(server, "neutral");
        const report = { load: gate.load(), onwardPressure: 0, rateShare: this.shareOf(index) };
        balancer.report(server.hostAddress, report);
        if (kind !== "admitted") {
            balancer.avoid(server, "refusal");
        }
        return kind === "admitted";
    }
}

async function play(options: FleetOptions): Promise<LimitedFleet> {
    const fleet = new LimitedFleet(options);
    await fleet.run();
    return fleet;
}

for (const { nodes, servers } of [{ nodes: 13, servers: 4 }, { nodes: 67, servers: 20 }, { nodes: 195, servers: 78 }]) {
    const requestsPerSecond = servers * 20;
    const limitedServers = Math.round(servers * 0.7);
    const options = { nodes, servers, requestsPerSecond, limitedServers, usesShares: true };

    test(`callers of ${nodes} nodes are served by the servers left, where most name half of what they would get`, async () => {
        const ratePerSecond = 10;
        const fleet = await play({ ...options, ratePerSecond });
        const gateAlone = await play({ ...options, ratePerSecond, usesShares: false });
        assert.ok(fleet.mostInWindow() <= ratePerSecond * WINDOW_MS / 1_000 * 1.5 + 5, `${fleet.mostInWindow()}`);
        assert.ok(fleet.served >= fleet.offered * 0.98, `${fleet.served} of ${fleet.offered}`);
        const wasted = (fleet.attempts - fleet.served) / fleet.offered;
        const wastedAtGate = (gateAlone.attempts - gateAlone.served) / gateAlone.offered;
        assert.ok(
            wasted < wastedAtGate / 2,
            `refused attempts a request: ${wasted}, by the gate alone ${wastedAtGate}`,
        );
    });

    test(`callers of ${nodes} nodes get what all servers together take, where all of them name less`, async () => {
        const ratePerSecond = 5;
        const fleet = await play({ ...options, limitedServers: servers, ratePerSecond });
        const possible = servers * ratePerSecond * DURATION_MS / 1_000;
        assert.ok(fleet.mostInWindow() <= ratePerSecond * WINDOW_MS / 1_000 * 1.5 + 5, `${fleet.mostInWindow()}`);
        assert.ok(fleet.served >= possible * 0.9, `${fleet.served} of ${possible}`);
    });
}
