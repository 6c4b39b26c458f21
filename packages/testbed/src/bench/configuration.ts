/**
 * Scenario `configuration`: how long a published configuration version takes to become active on all
 * nodes, and whether a node ever activates an older version.
 */
import type { AuditEntry, Configuration } from "@radishrouter/core";
import { request } from "undici";
import { createExampleConfiguration } from "../fleet/example-configuration.js";
import type { ExampleConfiguration } from "../fleet/example-configuration.js";
import { Fleet } from "../fleet/fleet.js";
import { waitFor } from "../fleet/wait-for.js";
import type { Measures, Scenario } from "./scenario.js";

const FAILURE_DOMAINS = ["khomas-a", "khomas-b", "khomas-c"];
const HOSTS_PER_FAILURE_DOMAIN = 4;
const ROUNDS = 10;
const ROUND_INTERVAL_MS = 1_000;
const CALL_INTERVAL_MS = 5;
const STALE_DURATION_MS = 3_000;
const PARTITION_DURATION_MS = 15_000;

/** Publishes configuration versions to one fleet and measures the time until they are active. */
class Publisher {
    private version = 1;

    constructor(private readonly fleet: Fleet, private readonly example: ExampleConfiguration) {}

    /** Publishes a version; resolves with the milliseconds until it was active on all of the given nodes. */
    async publish(change: Partial<Configuration> = {}, nodes = [...this.fleet.hosts.keys()]): Promise<number> {
        const version = ++this.version;
        const startMs = Date.now();
        await this.fleet.publish({ ...this.example.configuration, ...change, version });
        return this.waitUntilActive(version, startMs, nodes);
    }

    /** Milliseconds from `startMs` until the version, by default the latest, is active on all of the given nodes. */
    async waitUntilActive(
        version = this.version,
        startMs = Date.now(),
        nodes = [...this.fleet.hosts.keys()],
    ): Promise<number> {
        const times = await Promise.all(nodes.map(async name => {
            let entry: AuditEntry | undefined;
            await waitFor(async () => {
                entry = (await readAuditEntries(this.fleet, name)).find(entry => isActivationOf(entry, version));
                return entry !== undefined;
            }, `${name} activates configuration version ${version}`);
            return Date.parse(entry!.time);
        }));
        return Math.max(0, Math.max(...times) - startMs);
    }

    /** Publishes a version without waiting until it is active. */
    async publishOnly(): Promise<void> {
        await this.fleet.publish({ ...this.example.configuration, version: ++this.version });
    }
}

function isActivationOf(entry: AuditEntry, version: number): boolean {
    return entry.change === "configuration-in-force" && entry.subject === String(version);
}

async function readAuditEntries(fleet: Fleet, name: string): Promise<AuditEntry[]> {
    const response = await request(`${fleet.operatorsUrl(name)}/audit`);
    return (await response.body.json() as { entries: AuditEntry[]; }).entries;
}

/**
 * Counts how often a node activated a lower version than the highest that was active before on its host,
 * also in the process that ran there before a restart.
 */
async function countReverts(fleet: Fleet, versionsBefore: ReadonlyMap<string, number>): Promise<number> {
    let reverts = 0;
    for (const name of fleet.hosts.keys()) {
        let highestVersion = versionsBefore.get(name) ?? 0;
        for (const entry of await readAuditEntries(fleet, name)) {
            if (entry.change === "configuration-in-force") {
                reverts += Number(entry.subject) < highestVersion ? 1 : 0;
                highestVersion = Math.max(highestVersion, Number(entry.subject));
            }
        }
    }
    return reverts;
}

/** Calls every node with a key until stopped and records when the last accepted request was sent. */
class ContinuousCallers {
    private stopped = false;
    private lastAcceptedAtMs = 0;
    private readonly tasks: Promise<void>[];

    constructor(fleet: Fleet, key: string) {
        this.tasks = [...fleet.hosts.keys()].map(name => this.call(fleet.callerUrl(name), key));
    }

    /** Stops the calls; resolves with the time at which the last accepted request was sent. */
    async stop(): Promise<number> {
        this.stopped = true;
        await Promise.all(this.tasks);
        return this.lastAcceptedAtMs;
    }

    private async call(url: string, key: string): Promise<void> {
        while (!this.stopped) {
            const sentAtMs = Date.now();
            const response = await request(`${url}/catalogue/read/1`, { headers: { authorization: `Bearer ${key}` } });
            await response.body.dump();
            if (response.statusCode === 200) {
                this.lastAcceptedAtMs = Math.max(this.lastAcceptedAtMs, sentAtMs);
            }
            await sleep(CALL_INTERVAL_MS);
        }
    }
}

function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function measureWithoutFaults(fleet: Fleet, publisher: Publisher): Promise<Measures> {
    const readsBefore = await fleet.platformReads();
    const startMs = Date.now();
    const times: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
        times.push(await publisher.publish());
        await sleep(ROUND_INTERVAL_MS);
    }
    const reads = await fleet.platformReads() - readsBefore;
    const seconds = (Date.now() - startMs) / 1000;
    times.sort((left, right) => left - right);
    return {
        in_force_ms: times.at(-1)!,
        in_force_p50_ms: times[Math.floor(ROUNDS / 2)]!,
        platform_reads_per_second: reads / seconds,
        platform_reads_per_change: reads / ROUNDS,
    };
}

async function measureKeyRevocation(
    fleet: Fleet,
    publisher: Publisher,
    example: ExampleConfiguration,
): Promise<Measures> {
    const callers = new ContinuousCallers(fleet, example.keys["mission"]!);
    await sleep(ROUND_INTERVAL_MS);
    const organisations = structuredClone(example.configuration.organisations);
    organisations["mission"]!.keys = [];
    const publishedAtMs = Date.now();
    await publisher.publish({ organisations });
    await sleep(ROUND_INTERVAL_MS);
    const lastAcceptedAtMs = await callers.stop();
    return { withdrawal_ms: Math.max(0, lastAcceptedAtMs - publishedAtMs) };
}

async function measureFaults(fleet: Fleet, publisher: Publisher): Promise<Measures> {
    const readsBefore = await fleet.platformReads();
    const startMs = Date.now();
    await fleet.setPlatformFault("stale");
    await publisher.publishOnly();
    await fleet.restartNode(`host-${FAILURE_DOMAINS[0]}-0`);
    await sleep(STALE_DURATION_MS);
    await fleet.setPlatformFault("none");
    const afterStaleMs = await publisher.waitUntilActive();
    logProgress(`active on all nodes ${afterStaleMs} ms after the platform stopped returning stale values`);
    const [partitionedDomain, ...otherDomains] = FAILURE_DOMAINS;
    const names = [...fleet.hosts.keys()];
    await fleet.setProxyRules(fleet.createPartitionRules([partitionedDomain!], { platform: true }));
    const outsidePartitionMs = await publisher.publish(
        {},
        names.filter(name => otherDomains.some(domain => name.includes(domain))),
    );
    logProgress(`active on all nodes outside the partition after ${outsidePartitionMs} ms`);
    await sleep(PARTITION_DURATION_MS);
    const reconnectedAtMs = Date.now();
    await fleet.setProxyRules([]);
    const afterPartitionMs = await publisher.waitUntilActive(undefined, reconnectedAtMs);
    return {
        faults_in_force_after_stale_ms: afterStaleMs,
        faults_in_force_outside_cut_ms: outsidePartitionMs,
        faults_in_force_after_cut_ms: afterPartitionMs,
        faults_platform_reads_per_second: (await fleet.platformReads() - readsBefore) / ((Date.now() - startMs) / 1000),
    };
}

function logProgress(progress: string): void {
    process.stderr.write(`configuration: ${progress}\n`);
}

async function run(): Promise<Measures> {
    const example = createExampleConfiguration({
        organisations: { archive: { rate: 10_000, burst: 10_000 }, mission: { rate: 50_000, burst: 50_000 } },
        services: { catalogue: {} },
        failureDomains: Object.fromEntries(
            FAILURE_DOMAINS.map(name => [name, { region: "khomas", seats: HOSTS_PER_FAILURE_DOMAIN }]),
        ),
    });
    const hosts = FAILURE_DOMAINS.flatMap(failureDomain =>
        Array.from({ length: HOSTS_PER_FAILURE_DOMAIN }, (_, seat) => ({
            name: `host-${failureDomain}-${seat}`,
            service: "catalogue",
            failureDomain,
            region: "khomas",
            seat,
        }))
    );
    const fleet = await Fleet.create({ hosts, configuration: example.configuration, proxied: true });
    try {
        const publisher = new Publisher(fleet, example);
        logProgress("the fleet has started");
        const withoutFaults = await measureWithoutFaults(fleet, publisher);
        logProgress(JSON.stringify(withoutFaults));
        const revocation = await measureKeyRevocation(fleet, publisher, example);
        logProgress(JSON.stringify(revocation));
        const statuses = await Promise.all(hosts.map(host => fleet.status(host.name)));
        const versions = new Map(statuses.map(status => [status.host, status.configurationVersion ?? 0]));
        const restartedHost = `host-${FAILURE_DOMAINS[0]}-0`;
        const faults = await measureFaults(fleet, publisher);
        const versionsBefore = new Map([[restartedHost, versions.get(restartedHost)!]]);
        return { ...withoutFaults, ...revocation, ...faults, reverts: await countReverts(fleet, versionsBefore) };
    }
    finally {
        await fleet.stop();
    }
}

/** Measures configuration distribution to 12 nodes in 3 failure domains, with and without faults. */
export const configurationScenario: Scenario = {
    name: "configuration",
    description: "time from publishing to active on all of 12 nodes, time to revoke a key, reverts to older versions",
    run,
};
