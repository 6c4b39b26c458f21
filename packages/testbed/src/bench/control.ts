/**
 * Scenario `control`: resource usage of membership, configuration and rate shares on each node, by number of
 * nodes.
 */
import { CONFIGURATION_KEY, HOST_LIST_KEY, hostListFormat, MembershipView } from "@radishrouter/core";
import type { Configuration, Host } from "@radishrouter/core";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { FleetAddresses, ports } from "../fleet/addresses.js";
import { Child } from "../fleet/child.js";
import { createExampleConfiguration } from "../fleet/example-configuration.js";
import { createNodeSettings } from "../fleet/node-settings.js";
import { waitFor } from "../fleet/wait-for.js";
import { controlSampleSchema } from "./control-sample.js";
import type { ControlSample } from "./control-sample.js";
import type { Measures, Scenario } from "./scenario.js";

const FLEET_SIZES = [24, 96, 192];
const WORKER_PROCESSES = 4;
const FAILURE_DOMAINS = ["khomas-a", "khomas-b", "khomas-c"];
const SETTLE_MS = 5_000;
const UNCHANGED_DURATION_MS = 6_000;
const CONFIGURATION_CHANGES = 8;
const CHANGE_INTERVAL_MS = 500;
const TARGET_HOSTS = 28_000;
const TARGET_FAILURE_DOMAINS = 31;
const TARGET_SERVICES = 1_300;

const workerScript = fileURLToPath(new URL("control-worker.js", import.meta.url));
const standInScript = fileURLToPath(new URL("../standin/main.js", import.meta.url));

interface WorkerFleet {
    readonly size: number;
    readonly addresses: FleetAddresses;
    readonly workers: readonly Child[];
    readonly configuration: Configuration;
}

function createHost(addresses: FleetAddresses, index: number): Host {
    return {
        name: `host-${index}`,
        address: addresses.host(index),
        failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!,
        region: "khomas",
        service: "catalogue",
        callerPort: ports.callers,
        forwardPort: ports.forward,
        controlPort: ports.control,
        state: "live",
    };
}

function createSettings(addresses: FleetAddresses, index: number): unknown {
    const { name, address, failureDomain, region, service } = createHost(addresses, index);
    const seat = Math.floor(index / FAILURE_DOMAINS.length);
    return createNodeSettings({}, { name, failureDomain, region, service, seat }, {
        host: address,
        platform: addresses.platform,
        backendServer: address,
    });
}

async function publish(addresses: FleetAddresses, key: string, value: unknown): Promise<void> {
    const url = `http://${addresses.platform}:${ports.platform + 1}/values/${encodeURIComponent(key)}`;
    const response = await request(url, { method: "PUT", body: JSON.stringify(value) });
    await response.body.dump();
}

function lastSample(worker: Child): ControlSample | undefined {
    const line = worker.lines.at(-1);
    return line?.startsWith("{") ? controlSampleSchema.parse(JSON.parse(line)) : undefined;
}

function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Average resource usage of one node while an action runs, from the samples before and after it. */
async function measureDuring(fleet: WorkerFleet, action: () => Promise<void>): Promise<Measures> {
    const before = fleet.workers.map(worker => lastSample(worker)!);
    await action();
    const after = fleet.workers.map(worker => lastSample(worker)!);
    const perNode = (readCounter: (sample: ControlSample) => number) =>
        after.reduce((sum, sample, index) => {
            const previous = before[index]!;
            return sum + (readCounter(sample) - readCounter(previous)) / ((sample.timeMs - previous.timeMs) / 1000);
        }, 0) / fleet.size;
    return {
        processor_ms_per_second: perNode(sample => sample.processorMs),
        sent_bytes_per_second: perNode(sample => sample.sentBytes),
        received_bytes_per_second: perNode(sample => sample.receivedBytes),
        batches_per_second: perNode(sample => sample.sentBatches),
        messages_per_second: perNode(sample => sample.sentMessages),
        sockets: after.reduce((sum, sample) => sum + sample.openSockets, 0) / fleet.size,
        heap_bytes: after.reduce((sum, sample) => sum + sample.heapBytes, 0) / fleet.size,
        resident_bytes: after.reduce((sum, sample) => sum + sample.residentBytes, 0) / fleet.size,
    };
}

async function publishChanges(fleet: WorkerFleet): Promise<void> {
    for (let change = 1; change <= CONFIGURATION_CHANGES; change++) {
        const organisations = structuredClone(fleet.configuration.organisations);
        organisations["archive"]!.rate += change;
        const version = fleet.configuration.version + change;
        await publish(fleet.addresses, CONFIGURATION_KEY, { ...fleet.configuration, organisations, version });
        await sleep(CHANGE_INTERVAL_MS);
    }
    const version = fleet.configuration.version + CONFIGURATION_CHANGES;
    const allHaveVersion = () => fleet.workers.every(worker => (lastSample(worker)?.lowestVersion ?? 0) === version);
    await waitFor(allHaveVersion, `all nodes activate configuration version ${version}`);
}

async function measureSize(size: number): Promise<Measures> {
    const addresses = FleetAddresses.create(process.pid + size);
    const { configuration } = createExampleConfiguration({
        organisations: { archive: { rate: 1_000, burst: 1_000 }, mission: { rate: 1_000, burst: 1_000 } },
        services: { catalogue: {} },
        failureDomains: Object.fromEntries(
            FAILURE_DOMAINS.map(name => [name, { region: "khomas", seats: size / FAILURE_DOMAINS.length }]),
        ),
    });
    const platformOptions = { kind: "platform", address: addresses.platform, port: ports.platform };
    const platform = Child.create("platform", standInScript, [JSON.stringify(platformOptions)]);
    await platform.ready;
    await publish(addresses, CONFIGURATION_KEY, configuration);
    const hosts = Array.from({ length: size }, (_, index) => createHost(addresses, index));
    await publish(addresses, HOST_LIST_KEY, { revision: 1, hosts });
    const workers = Array.from({ length: WORKER_PROCESSES }, (_, worker) => {
        const indexes = hosts.map((_, index) => index).filter(index => index % WORKER_PROCESSES === worker);
        const settings = indexes.map(index => createSettings(addresses, index));
        return Child.create(`worker ${worker}`, workerScript, [JSON.stringify(settings)]);
    });
    try {
        const fleet = { size, addresses, workers, configuration };
        await waitFor(
            () => workers.every(worker => lastSample(worker)?.fewestPeers === size - 1),
            "every node knows all other nodes as live",
        );
        await waitFor(
            () => workers.every(worker => lastSample(worker)!.lowestVersion >= 1),
            "all nodes have an active configuration",
        );
        await sleep(SETTLE_MS);
        const unchanged = await measureDuring(fleet, () => sleep(UNCHANGED_DURATION_MS));
        const changing = await measureDuring(fleet, () => publishChanges(fleet));
        return { ...withPrefix(`nodes_${size}_`, unchanged), ...withPrefix(`nodes_${size}_changing_`, changing) };
    }
    finally {
        await Promise.all([platform, ...workers].map(child => child.kill()));
    }
}

function withPrefix(prefix: string, measures: Measures): Measures {
    return Object.fromEntries(Object.entries(measures).map(([name, value]) => [prefix + name, value]));
}

/** Time and memory that one node needs to apply the host list at the fleet size that the design aims for. */
function measureHostList(): Measures {
    const addresses = FleetAddresses.create(1);
    const value = {
        revision: 1,
        hosts: Array.from({ length: TARGET_HOSTS }, (_, index) => ({
            ...createHost(addresses, 1),
            name: `host-${index}`,
            failureDomain: `domain-${index % TARGET_FAILURE_DOMAINS}`,
            service: `service-${index % TARGET_SERVICES}`,
        })),
    };
    const json = JSON.stringify(value);
    const heapBefore = process.memoryUsage().heapUsed;
    const startMs = performance.now();
    const checked = hostListFormat.check(JSON.parse(json));
    const records = hostListFormat.toRecords(value);
    const view = MembershipView.create({ ownName: "host-0" });
    if (checked.kind === "valid") {
        view.setHostList(checked.content);
    }
    view.livePeersOf("service-1");
    return {
        host_list_bytes: json.length,
        host_list_adopt_ms: performance.now() - startMs,
        host_list_heap_bytes: process.memoryUsage().heapUsed - heapBefore,
        host_list_records: records.length,
    };
}

async function run(): Promise<Measures> {
    let measures = measureHostList();
    for (const size of FLEET_SIZES) {
        measures = { ...measures, ...await measureSize(size) };
        process.stderr.write(`control: ${size} nodes done\n`);
    }
    return measures;
}

/** Measures the control components of nodes at several fleet sizes, with several nodes in each worker process. */
export const controlScenario: Scenario = {
    name: "control",
    description: "processor time, traffic and memory of the control components of each node, by number of nodes",
    run,
};
