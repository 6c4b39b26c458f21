/**
 * Stand-ins of the platform for the cases 6 to 10: the store, the targets, the clients, and the node processes, which are
 * started with the command of the deploy file. Everything listens at loopback addresses and free ports.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request as sendRequest } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../", import.meta.url));
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;
const PAGE_ITEMS = 500;
const FLUSH_INTERVAL_MS = 200;
/** Time after which a script ends what it started; it may run for 120 s. */
const LIMIT_MS = 110_000;

/** @param {number} ms */
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Record of what was sent, answered and run; each line begins with the time since the start of the script, in seconds. */
export class Record {
    lines = [];

    constructor(file) {
        this.file = file;
        this.startedAtMs = performance.now();
        writeFileSync(file, "");
        setInterval(() => this.flush(), FLUSH_INTERVAL_MS).unref();
    }

    write(text) {
        this.lines.push(`${((performance.now() - this.startedAtMs) / 1000).toFixed(3)} ${text}\n`);
    }

    flush() {
        appendFileSync(this.file, this.lines.splice(0).join(""));
    }
}

function isFree(port) {
    return new Promise(resolve => {
        const probe = createTcpServer();
        probe.once("error", () => resolve(false));
        probe.listen(port, "0.0.0.0", () => probe.close(() => resolve(true)));
    });
}

/** Finds ports that are free on all addresses. */
export async function findPorts(count) {
    const ports = new Set();
    while (ports.size < count) {
        const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
        if (await isFree(port)) {
            ports.add(port);
        }
    }
    return [...ports];
}

/** The platform's store: items with revisions, ranges and watches. It loses nothing and is linearizable. */
export class Store {
    items = new Map();
    history = [];
    revision = 1;
    watches = new Set();
    servers = [];
    cutAddresses = new Set();
    silent = new Map();
    /** Address by which the store was asked last. */
    lastReader = undefined;

    static async create(address, port) {
        const store = new Store();
        store.port = port;
        await store.open(address);
        return store;
    }

    /** Opens an address; each machine has one of its own, so that one machine can be cut off from the store. */
    async open(address) {
        const server = createServer((request, response) => this.receive(address, request, response));
        this.servers.push(server);
        await new Promise(resolve => server.listen(this.port, address, resolve));
    }

    /** Cuts off what comes by an address: nothing that is asked there is answered, also not what was asked before. */
    cut(address) {
        this.cutAddresses.add(address);
    }

    /** Ends a cut; connections that were open during it stay silent until they are closed. */
    heal(address) {
        this.cutAddresses.delete(address);
        this.silent.get(address)?.forEach(socket => socket.destroy());
        this.silent.delete(address);
    }

    receive(address, request, response) {
        if (this.cutAddresses.has(address)) {
            this.silence(address, request.socket);
            return;
        }
        this.lastReader = address;
        response.address = address;
        this.answer(request, response);
    }

    silence(address, socket) {
        this.silent.set(address, (this.silent.get(address) ?? new Set()).add(socket));
    }

    /** Writes an item; returns its revision, which is the acknowledgement. */
    put(key, value) {
        const Value = Buffer.from(JSON.stringify(value)).toString("base64");
        const before = this.items.get(key);
        const Rev = ++this.revision;
        return this.record({ Key: key, Value, Rev, CreatedRev: before?.CreatedRev ?? Rev, Lease: 0 });
    }

    remove(key) {
        return this.record({ Key: key, Rev: ++this.revision, Removed: true });
    }

    record(item) {
        if (item.Removed) {
            this.items.delete(item.Key);
        }
        else {
            this.items.set(item.Key, item);
        }
        this.history.push(item);
        [...this.watches].forEach(watch => watch());
        return item.Rev;
    }

    answer(request, response) {
        const url = new URL(request.url ?? "/", "http://store");
        const prefix = url.searchParams.get("PathPrefix") ?? "";
        response.setHeader("Content-Type", "application/json");
        switch (url.pathname) {
            case "/kv-key": {
                const item = this.items.get(url.searchParams.get("Key") ?? "");
                response.writeHead(item ? 200 : 404);
                response.end(JSON.stringify({ ...item, StoreRevision: this.revision }));
                return;
            }
            case "/kv-range": {
                const after = url.searchParams.get("after") ?? "";
                const found = [...this.items.values()]
                    .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
                    .sort((left, right) => left.Key < right.Key ? -1 : 1);
                const items = found.slice(0, PAGE_ITEMS);
                const HasMore = found.length > items.length;
                response.end(JSON.stringify({ items, HasMore, StoreRevision: this.revision }));
                return;
            }
            case "/kv-watch":
                this.watch(prefix, Number(url.searchParams.get("after")), url, response);
                return;
            default:
                response.writeHead(404).end();
        }
    }

    watch(prefix, after, url, response) {
        const events = () => this.history.filter(({ Rev, Key }) => Rev > after && Key.startsWith(prefix));
        const end = () => {
            clearTimeout(timer);
            this.watches.delete(onChange);
            if (this.cutAddresses.has(response.address)) {
                this.silence(response.address, response.socket);
                return;
            }
            response.end(JSON.stringify({ events: events(), StoreRevision: this.revision }));
        };
        const onChange = () => events().length > 0 && end();
        const timer = setTimeout(end, Number(url.searchParams.get("WaitMs")));
        this.watches.add(onChange);
        onChange();
    }

    close() {
        for (const server of this.servers) {
            server.closeAllConnections();
            server.close();
        }
    }
}

/** A target (backend server). It rejects requests for another instance, and runs all others. */
export class Target {
    runs = [];
    rejected = [];
    isDown = false;
    workMs = 20;
    /** Called for each answer; returns true if it sends the answer itself, at once or later. */
    onAnswer = () => false;

    static async create({ address, port, service, instance, record }) {
        const target = new Target();
        Object.assign(target, { address, port, service, instance, record });
        await target.listen();
        return target;
    }

    async listen() {
        this.server = createServer((request, response) => {
            this.receive(request, response).catch(() => undefined);
        });
        this.server.keepAliveTimeout = 10_000;
        await new Promise(resolve => this.server.listen(this.port, this.address, resolve));
        this.isDown = false;
    }

    /** Ends at once, with all its connections. */
    async end() {
        this.isDown = true;
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
    }

    async receive(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const { headers } = request;
        if (request.url === "/health") {
            response.writeHead(200, { "Radishrouter-Instance-Id": this.instance, "Content-Length": 0 }).end();
            return;
        }
        const id = String(headers["radishrouter-attempt-id"] ?? "");
        const expected = headers["radishrouter-expect-instance"];
        if (expected !== undefined && expected !== this.instance) {
            this.rejected.push({ id, expected, instance: this.instance });
            this.record?.write(`target ${this.instance} answers 421 to ${id}, which expects ${expected}`);
            this.send(request, response, id, 421, { "Radishrouter-Instance-Id": this.instance }, "");
            return;
        }
        const run = { id, atMs: performance.now(), instance: this.instance, tenant: headers["radishrouter-tenant"] };
        this.runs.push(run);
        this.record?.write(`run: ${id}, by target ${this.instance} of ${this.service}`);
        await sleep(this.workMs);
        const stamp = { "Radishrouter-Response-Stamp": `stamp-${id}-${this.instance}` };
        this.send(request, response, id, 200, stamp, `done ${id} at ${this.instance}`);
    }

    send(request, response, id, status, fields, body) {
        const { socket } = request;
        const answer = { id, status, fields, body };
        const write = () => {
            response.writeHead(status, { ...fields, "Radishrouter-Attempt-Id": id, "Content-Length": body.length });
            response.end(body);
        };
        if (!this.onAnswer(answer, socket, write)) {
            write();
        }
    }

    async close() {
        if (!this.isDown) {
            await this.end();
        }
    }
}

/** The command of the deploy file, split at spaces. */
function deployCommand() {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** A node process. */
export class NodeProcess {
    constructor({ settings, logFile }) {
        this.directory = mkdtempSync(join(tmpdir(), "radishrouter-review-"));
        this.file = join(this.directory, "boot.conf");
        this.logFile = logFile;
        this.write(settings);
        this.start();
    }

    write(settings) {
        writeFileSync(this.file, settings.join("\n") + "\n");
    }

    start() {
        const [command, ...parameters] = deployCommand();
        const { PATH, HOME, LANG } = process.env;
        const log = this.logFile === undefined ? "ignore" : openSync(this.logFile, "a");
        this.exit = undefined;
        this.child = spawn(command === "node" ? process.execPath : command, parameters, {
            cwd: root,
            env: { PATH, HOME, LANG, RADISHROUTER_SETTINGS: this.file },
            stdio: ["ignore", log, log],
        });
        this.ended = new Promise(resolve =>
            this.child.once("exit", (code, signal) => {
                this.exit = { code, signal };
                resolve(this.exit);
            })
        );
    }

    signal(name) {
        this.child.kill(name);
    }

    async kill() {
        if (!this.exit) {
            this.child.kill("SIGKILL");
        }
        await this.ended;
    }

    async close() {
        await this.kill();
        rmSync(this.directory, { recursive: true, force: true });
    }
}

/** A small deployment: one store, and machines with a target and a node each. */
export class Deployment {
    machines = [];
    sequences = new Map();

    /** `machines` lists service and zone of each machine. */
    static async create({ machines, configuration, record, logs, settings = [], prefix = "127.61.0" }) {
        const [outbound, inbound, ready, app, storePort, metrics] = await findPorts(6);
        const deployment = new Deployment();
        Object.assign(deployment, { record, logs, settings });
        deployment.ports = { outbound, inbound, ready, app, metrics };
        deployment.store = await Store.create(`${prefix}.250`, storePort);
        deployment.store.put("op/config", configuration);
        for (const [index, { service, zone }] of machines.entries()) {
            const address = `${prefix}.${index + 1}`;
            const instance = `i-${index + 1}-a`;
            const target = await Target.create({ address, port: app, service, instance, record });
            const machine = { address, service, zone, target, born: Date.now() - 60_000 };
            machine.storeAddress = `${prefix.replace(/\d+$/, "1")}.${index + 1}`;
            await deployment.store.open(machine.storeAddress);
            deployment.machines.push(machine);
            deployment.beat(machine);
        }
        deployment.machines.forEach(machine => deployment.startNode(machine));
        return deployment;
    }

    settingsOf({ address, service, zone, storeAddress }) {
        const { outbound, inbound, ready, app, metrics } = this.ports;
        return [
            `NodeName=side-${address}`,
            "Role=node",
            "MachineClass=side",
            "Serves=side",
            `Ip=${address}`,
            `Zone=${zone}`,
            "Region=r",
            "Zones.zone-a=r",
            "Zones.zone-b=r",
            "Zones.zone-c=r",
            `ListenAddrs.Inbound=${address}:${inbound}`,
            `ListenAddrs.Outbound=${address}:${outbound}`,
            `ListenAddrs.Ready=${address}:${ready}`,
            `PortRange=${metrics},${metrics}`,
            "Seeds=",
            "Bootstrap=true",
            "Limits.CpuShare=0.54",
            "Limits.Cores=2",
            "Limits.MemoryMb=350",
            "Limits.MaxFds=4100",
            "Limits.LinkMbps=1000.0",
            "Discovery=platform",
            "Heartbeat=1500ms",
            "Contracts=base,drain,config,cost,retry,recover,pressure,tenants,quota,platform",
            "FaultTolerance.Machines=1",
            "FaultTolerance.Zones=1",
            "Bounds.SeedLag=3s",
            "Bounds.AddrReuse=2s",
            "Bounds.Contact=3000ms",
            "Bounds.Ack=4000ms",
            "Bounds.Catchup=4s",
            "Bounds.Drain=2000ms",
            "Bounds.Grace=6s",
            "Bounds.LossSlack=200ms",
            "Bounds.ConfigApply=2000ms",
            "Bounds.RollbackSlack=250ms",
            "Bounds.MaxSkew=5000ms",
            "Bounds.RevokeFailClosed=true",
            "Bounds.Revoke=5000ms",
            "Bounds.RetryBudgetRatio=0.2",
            "Bounds.BudgetWindow=10s",
            "Bounds.RetrySlack=48",
            "Bounds.QuotaWindow=5s",
            "Bounds.QuotaOver=0.25",
            "Bounds.QuotaSlack=20",
            "Bounds.Recover=15s",
            `AppAddr=${address}:${app}`,
            `Service=${service}`,
            `Platform.Address=${storeAddress}:${this.store.port}`,
            "Platform.form=read",
            "Platform.ReadsPerS=2000",
            "Platform.History=20s",
            ...this.settings,
        ];
    }

    startNode(machine) {
        const logFile = this.logs && join(this.logs, `${machine.address}.log`);
        machine.node = new NodeProcess({ settings: this.settingsOf(machine), logFile });
    }

    /** Writes the entry of a machine's target, as the target does. */
    beat(machine, changes = {}) {
        const { target, service, zone, address, born } = machine;
        const Sequence = (this.sequences.get(target.instance) ?? 0) + 1;
        this.sequences.set(target.instance, Sequence);
        return this.store.put(`servers/${target.instance}`, {
            Service: service,
            Address: `${address}:${this.ports.app}`,
            Zone: zone,
            ConfigVersion: "v1",
            Slots: 100,
            State: "ready",
            ColdLeft: "0ms",
            Sequence,
            born,
            ...changes,
        });
    }

    /** Status of the readiness check of a machine; undefined if there is no answer. */
    readiness({ address }) {
        return new Promise(resolve => {
            sendRequest({ host: address, port: this.ports.ready, path: "/ready", agent: false }, response => {
                response.resume();
                resolve(response.statusCode);
            }).on("error", () => resolve(undefined)).setTimeout(1_000, function() {
                this.destroy();
            }).end();
        });
    }

    /** Waits until all nodes are ready; false if they are not in time. */
    async whenReady(limitMs = 15_000) {
        const endAtMs = performance.now() + limitMs;
        for (const machine of this.machines) {
            while (await this.readiness(machine) !== 200) {
                if (performance.now() > endAtMs) {
                    return false;
                }
                await sleep(50);
            }
        }
        return true;
    }

    /** Sends one client attempt to the node of a machine. */
    send({ address }, { id, method = "GET", host, path, key, deadlineMs = 5_000, body, agent = false, fields = {} }) {
        const startedAtMs = performance.now();
        this.record?.write(`sent: ${id}, ${method} ${path}, to ${address}`);
        return new Promise(resolve => {
            let hasEnded = false;
            const end = result => {
                if (hasEnded) {
                    return;
                }
                hasEnded = true;
                this.record?.write(`answered: ${id}, ${result.status ?? result.error}`);
                resolve({ id, sentAtMs: startedAtMs, endedAtMs: performance.now(), ...result });
            };
            const outgoing = sendRequest({
                host: address,
                port: this.ports.outbound,
                agent,
                method,
                path,
                headers: {
                    "Host": host,
                    "Radishrouter-Attempt-Id": id,
                    "Radishrouter-Deadline-Ms": String(deadlineMs),
                    ...(key === undefined ? {} : { "Api-Key": key }),
                    ...(body === undefined ? {} : { "Content-Length": Buffer.byteLength(body) }),
                    ...fields,
                },
            });
            outgoing.setTimeout(deadlineMs + 1_000, () => outgoing.destroy(new Error("no answer in time")));
            outgoing.on("error", error => end({ status: undefined, error: String(error) }));
            outgoing.on("response", response => {
                let text = "";
                response.setEncoding("utf8");
                response.on("data", part => text += part);
                response.on("end", () => end({ status: response.statusCode, headers: response.headers, body: text }));
                response.on("aborted", () => end({ status: undefined, error: "the answer broke off" }));
            });
            outgoing.end(body);
        });
    }

    async close() {
        await Promise.all(this.machines.map(({ node }) => node?.close()));
        await Promise.all(this.machines.map(({ target }) => target.close()));
        this.store.close();
    }
}

/** Runs a case, which writes its record to a file; ends all that it started, and exits as its result says. */
export async function runCase(recordFile, play) {
    const record = new Record(recordFile);
    const hasTrouble = process.env.TROUBLE !== "0";
    const started = [];
    record.write(`TROUBLE=${hasTrouble ? 1 : 0}`);
    const end = async code => {
        await Promise.all(started.map(part => part.close())).catch(() => undefined);
        record.write(`exit ${code}`);
        record.flush();
        process.exit(code);
    };
    const giveUp = reason => {
        record.write(`given up: ${reason}`);
        void end(2);
    };
    setTimeout(() => giveUp("the case took too long"), LIMIT_MS);
    ["SIGTERM", "SIGINT"].forEach(signal => process.on(signal, () => giveUp(signal)));
    let code = 2;
    try {
        code = await play({ record, hasTrouble, started });
    }
    catch (error) {
        record.write(`the case could not run: ${error instanceof Error ? error.stack : String(error)}`);
    }
    await end(code);
}
