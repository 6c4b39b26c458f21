/**
 * A small deployment on loopback addresses: a store, nodes as processes, and a target beside each node.
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Node } from "./node.mjs";
import { Store } from "./store.mjs";
import { Target } from "./target.mjs";

const FIRST_PORT = 12_000;
const PORT_COUNT = 20_000;
const STORE_HOST = "127.0.9.1";

/** Waits for some time. */
export function sleep(durationMs) {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Waits until a condition holds; throws when it does not hold in time. */
export async function waitFor(condition, limitMs, what) {
    const endMs = performance.now() + limitMs;
    while (!await condition()) {
        if (performance.now() > endMs) {
            throw new Error(`not reached in ${limitMs} ms: ${what}`);
        }
        await sleep(25);
    }
}

function isFree(port) {
    return new Promise(resolve => {
        const probe = createServer();
        probe.once("error", () => resolve(false));
        probe.listen(port, "0.0.0.0", () => probe.close(() => resolve(true)));
    });
}

/** Finds ports that are free at all loopback addresses. */
export async function findFreePorts(count) {
    const ports = new Set();
    while (ports.size < count) {
        const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
        if (await isFree(port)) {
            ports.add(port);
        }
    }
    return [...ports];
}

/** Store, nodes and targets, with a record of what happened. */
export class Deployment {
    constructor(recordFile) {
        this.recordFile = recordFile;
        this.lines = [];
        this.startedAt = performance.now();
        this.directory = mkdtempSync(join(tmpdir(), "radishrouter-review-"));
        this.hosts = [];
        this.runs = [];
        this.results = [];
    }

    /** Appends a line to the record. */
    record(event, fields = {}) {
        const atS = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
        this.lines.push(`${atS} ${event} ${JSON.stringify(fields)}`);
    }

    /** `specifications`: name, service, zone and target options of each host. */
    async start(configuration, specifications) {
        const [inbound, outbound, ready, target, metrics, store] = await findFreePorts(6);
        this.ports = { inbound, outbound, ready, target, metrics, first: Math.min(metrics, inbound) };
        this.store = new Store();
        await this.store.listen(STORE_HOST, store);
        this.store.put("op/config", configuration);
        for (const [index, specification] of specifications.entries()) {
            await this.addHost(`127.0.9.${index + 10}`, specification);
        }
        await waitFor(
            async () => {
                const states = await Promise.all(this.hosts.map(({ node }) => node.readiness()));
                return states.every(status => status === 200);
            },
            20_000,
            "all nodes are ready",
        );
        await sleep(1_500);
        this.record("deployment-ready", {
            hosts: this.hosts.map(({ name, host, service }) => ({ name, host, service })),
        });
    }

    /** `node` may change the options of the node; `beforeStart` is called before the node starts. */
    async addHost(host, { name, service, zone, lagMs, target = {}, node = () => ({}), beforeStart }) {
        const { ports, store } = this;
        await beforeStart?.(this);
        const server = new Target(store, {
            name,
            host,
            port: ports.target,
            service,
            zone,
            onRun: run => this.recordRun(run),
            onRejected: request =>
                this.record("target-rejected", {
                    id: request.id,
                    instance: request.instance,
                    expected: request.expected,
                }),
            ...target,
        });
        await server.start(lagMs);
        const options = {
            name,
            host,
            zone,
            service,
            ports,
            store: { host: STORE_HOST, port: store.port },
            ...node(ports),
        };
        const process = new Node(this.directory, options);
        process.start();
        const entry = { name, host, service, zone, target: server, node: process };
        this.hosts.push(entry);
        return entry;
    }

    recordRun({ id, target, instance, service, path, headers }) {
        const run = {
            id,
            atMs: performance.now(),
            target,
            instance,
            service,
            path,
            expected: headers["radishrouter-expect-instance"],
            caller: headers["radishrouter-caller-service"],
            tenant: headers["radishrouter-tenant"],
        };
        this.runs.push(run);
        this.record("target-runs", { ...run, atMs: undefined });
    }

    recordResult(result) {
        this.results.push(result);
        this.record("client-answered", {
            id: result.id,
            status: result.status,
            error: result.error,
            body: result.body,
        });
    }

    runsOf(id) {
        return this.runs.filter(run => run.id === id);
    }

    /** Ends all processes that were started, and writes the record. */
    async close() {
        this.hosts.filter(({ node }) => !node.ended).forEach(({ node }) => node.signal("SIGCONT"));
        await Promise.all(this.hosts.map(({ node }) => node.kill()));
        await Promise.all(this.hosts.map(({ target }) => target.close().catch(() => undefined)));
        this.store?.close();
        writeFileSync(this.recordFile, `${this.lines.join("\n")}\n`);
        if (!process.env.KEEP_LOGS) {
            rmSync(this.directory, { recursive: true, force: true });
        }
    }
}

/** Longest time of a case; one that takes longer counts as one that could not run. */
const TIME_LIMIT_MS = 105_000;

/** Rejects after the time limit, or when this process is to end. */
function untilGivenUp() {
    return new Promise((_, reject) => {
        setTimeout(() => reject(new Error("the time limit of a case has passed")), TIME_LIMIT_MS).unref();
        for (const name of ["SIGINT", "SIGTERM"]) {
            process.once(name, () => reject(new Error(`ended by ${name}`)));
        }
    });
}

/** Runs a case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export async function runCase(recordFile, play) {
    const deployment = new Deployment(recordFile);
    let code = 2;
    try {
        const problems = await Promise.race([play(deployment), untilGivenUp()]);
        problems.forEach(problem => deployment.record("rule-broken", { problem }));
        code = problems.length > 0 ? 1 : 0;
        process.stdout.write(code === 0 ? "the rule held\n" : `the rule was broken: ${problems.join("; ")}\n`);
    }
    catch (error) {
        deployment.record("could-not-run", { error: String(error) });
        process.stdout.write(`could not run: ${String(error)}\n`);
    }
    if (process.env.KEEP_LOGS) {
        process.stdout.write(`logs of the nodes: ${deployment.directory}\n`);
    }
    await deployment.close();
    process.exit(code);
}
