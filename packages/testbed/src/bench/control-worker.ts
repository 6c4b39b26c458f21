/**
 * Worker process of the scenario `control`: runs membership, configuration and rate limiter of several nodes, without
 * request handling, and prints their resource usage each second.
 */
import { AuditTrail, SystemClock } from "@radishrouter/core";
import { createRateLimiter, DeploymentProof, FleetState, settingsSchema } from "@radishrouter/daemon";
import type { Settings } from "@radishrouter/daemon";
import { z } from "zod";
import type { ControlSample } from "./control-sample.js";

const SAMPLE_INTERVAL_MS = 1_000;

function startControlComponents(settings: Settings): FleetState {
    const clock = SystemClock.create();
    const audit = AuditTrail.create();
    const incarnation = BigInt(Date.now());
    const proof = DeploymentProof.create(settings.deploymentSecret);
    const state = FleetState.create({ clock, audit, proof, settings, incarnation, onHostList: () => undefined });
    const { membership, channels, store } = state;
    const limiter = createRateLimiter({ settings, clock, transport: channels, audit, incarnation, membership });
    store.events.on("inForce", version => limiter.setConfiguration(version));
    channels.createServer().listen(settings.ports.control, settings.address);
    state.start();
    return state;
}

function takeSample(nodes: readonly FleetState[]): ControlSample {
    const counters = nodes.map(node => node.channels.traffic.counters());
    const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
    const { user, system } = process.cpuUsage();
    const memory = process.memoryUsage();
    return {
        timeMs: Date.now(),
        processorMs: (user + system) / 1000,
        residentBytes: memory.rss,
        heapBytes: memory.heapUsed + memory.external,
        sentBytes: sum(counters.map(counter => counter.sentBytes)),
        receivedBytes: sum(counters.map(counter => counter.receivedBytes)),
        sentBatches: sum(counters.map(counter => counter.sentBatches)),
        sentMessages: sum(counters.map(counter => counter.sentMessages)),
        openSockets: sum(counters.map(counter => counter.openSockets)),
        fewestPeers: Math.min(...nodes.map(node => node.membership.livePeers().length)),
        lowestVersion: Math.min(...nodes.map(node => node.store.current?.configuration.version ?? 0)),
    };
}

const settings = z.array(settingsSchema).parse(JSON.parse(process.argv[2] ?? "[]"));
const nodes = settings.map(startControlComponents);
process.stdout.write("ready\n");
setInterval(() => process.stdout.write(`${JSON.stringify(takeSample(nodes))}\n`), SAMPLE_INTERVAL_MS);
