/**
 * Scenario `configuration`: how fast and how safely a published version comes into force on all nodes.
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
const STALE_MS = 3_000;
const CUT_MS = 15_000;

/** Publishes versions to one fleet and collects when they came into force. */
class Publisher {
    private version = 1;

    constructor(private readonly fleet: Fleet, private readonly example: ExampleConfiguration) {}

    /** Publishes a version; resolves with the time until it was in force on the last of some nodes. */
    async publish(change: Partial<Configuration> = {}, nodes = [...this.fleet.hosts.keys()]): Promise<number> {
        const version = ++this.version;
        const startMs = Date.now();
        await this.fleet.publish({ ...this.example.configuration, ...change, version });
        return this.waitUntilInForce(version, startMs, nodes);
    }

    /** Time from a moment until the last version is in force on the last of some nodes. */
    async waitUntilInForce(
        version = this.version,
        startMs = Date.now(),
        nodes = [...this.fleet.hosts.keys()],
    ): Promise<number> {
        const times = await Promise.all(nodes.map(async name => {
            let entry: AuditEntry | undefined;
            await waitFor(async () => {
                entry = (await readAudit(this.fleet, name)).find(entry => isInForce(entry, version));
                return entry !== undefined;
            }, `${name} has version ${version}`);
            return Date.parse(entry!.time);
        }));
        return Math.max(0, Math.max(...times) - startMs);
    }

    /** Publishes a version without waiting for it. */
    async publishOnly(): Promise<void> {
        await this.fleet.publish({ ...this.example.configuration, version: ++this.version });
    }
}

function isInForce(entry: AuditEntry, version: number): boolean {
    return entry.change === "configuration-in-force" && entry.subject === String(version);
}

async function readAudit(fleet: Fleet, name: string): Promise<AuditEntry[]> {
    const answer = await request(`${fleet.operatorsUrl(name)}/audit`);
    return (await answer.body.json() as { entries: AuditEntry[]; }).entries;
}

/** Times at which a node put a lower version in force than it, or its predecessor on the host, had before. */
async function countReverts(fleet: Fleet, versionsBefore: ReadonlyMap<string, number>): Promise<number> {
    let reverts = 0;
    for (const name of fleet.hosts.keys()) {
        let highest = versionsBefore.get(name) ?? 0;
        for (const entry of await readAudit(fleet, name)) {
            if (entry.change === "configuration-in-force") {
                reverts += Number(entry.subject) < highest ? 1 : 0;
                highest = Math.max(highest, Number(entry.subject));
            }
        }
    }
    return reverts;
}

/** Calls every node with a key and notes when the last accepted request was sent. */
class Callers {
    private stopped = false;
    private lastAcceptedMs = 0;
    private readonly tasks: Promise<void>[];

    constructor(fleet: Fleet, key: string) {
        this.tasks = [...fleet.hosts.keys()].map(name => this.call(fleet.callerUrl(name), key));
    }

    async stop(): Promise<number> {
        this.stopped = true;
        await Promise.all(this.tasks);
        return this.lastAcceptedMs;
    }

    private async call(url: string, key: string): Promise<void> {
        while (!this.stopped) {
            const sentMs = Date.now();
            const answer = await request(`${url}/catalogue/read/1`, { headers: { authorization: `Bearer ${key}` } });
            await answer.body.dump();
            if (answer.statusCode === 200) {
                this.lastAcceptedMs = Math.max(this.lastAcceptedMs, sentMs);
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

async function measureWithdrawal(fleet: Fleet, publisher: Publisher, example: ExampleConfiguration): Promise<Measures> {
    const callers = new Callers(fleet, example.keys["mission"]!);
    await sleep(ROUND_INTERVAL_MS);
    const organisations = structuredClone(example.configuration.organisations);
    organisations["mission"]!.keys = [];
    const publishedMs = Date.now();
    await publisher.publish({ organisations });
    await sleep(ROUND_INTERVAL_MS);
    const lastAcceptedMs = await callers.stop();
    return { withdrawal_ms: Math.max(0, lastAcceptedMs - publishedMs) };
}

async function measureFaults(fleet: Fleet, publisher: Publisher): Promise<Measures> {
    const readsBefore = await fleet.platformReads();
    const startMs = Date.now();
    await fleet.setPlatformFault("stale");
    await publisher.publishOnly();
    await fleet.restartNode(`host-${FAILURE_DOMAINS[0]}-0`);
    await sleep(STALE_MS);
    await fleet.setPlatformFault("none");
    const staleMs = await publisher.waitUntilInForce();
    report(`in force ${staleMs} ms after the platform was stale`);
    const [inside, ...outside] = FAILURE_DOMAINS;
    const names = [...fleet.hosts.keys()];
    await fleet.setProxyRules(fleet.cutRules([inside!], { platform: true }));
    const outsideMs = await publisher.publish({}, names.filter(name => outside.some(domain => name.includes(domain))));
    report(`in force ${outsideMs} ms outside the cut`);
    await sleep(CUT_MS);
    const healedMs = Date.now();
    await fleet.setProxyRules([]);
    const cutMs = await publisher.waitUntilInForce(undefined, healedMs);
    return {
        faults_in_force_after_stale_ms: staleMs,
        faults_in_force_outside_cut_ms: outsideMs,
        faults_in_force_after_cut_ms: cutMs,
        faults_platform_reads_per_second: (await fleet.platformReads() - readsBefore) / ((Date.now() - startMs) / 1000),
    };
}

function report(progress: string): void {
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
        report("the fleet has started");
        const quiet = await measureWithoutFaults(fleet, publisher);
        report(JSON.stringify(quiet));
        const withdrawal = await measureWithdrawal(fleet, publisher, example);
        report(JSON.stringify(withdrawal));
        const statuses = await Promise.all(hosts.map(host => fleet.status(host.name)));
        const versions = new Map(statuses.map(status => [status.host, status.configurationVersion ?? 0]));
        const restarted = `host-${FAILURE_DOMAINS[0]}-0`;
        const faults = await measureFaults(fleet, publisher);
        const before = new Map([[restarted, versions.get(restarted)!]]);
        return { ...quiet, ...withdrawal, ...faults, reverts: await countReverts(fleet, before) };
    }
    finally {
        await fleet.stop();
    }
}

/** Measures configuration distribution on 12 nodes in 3 failure domains. */
export const configurationScenario: Scenario = {
    name: "configuration",
    description: "time from publishing to in force on the last of 12 nodes, withdrawal of a key, reverts",
    run,
};
