/**
 * A small fleet on loopback addresses: platform, fault-injecting proxy, nodes and backend servers, each in its own
 * process.
 */
import { CONFIGURATION_KEY, HOST_LIST_KEY, nodeReportSchema, nodeStatusSchema } from "@radishrouter/core";
import type { Configuration, Host, NodeReport, NodeStatus } from "@radishrouter/core";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { z } from "zod";
import type { ProxyRoute, ProxyRule } from "../proxy/fault-proxy.js";
import { runRecordSchema } from "../standin/backend-server.js";
import type { backendBehaviourSchema, RunRecord } from "../standin/backend-server.js";
import type { StandInOptions } from "../standin/main.js";
import type { PlatformFault } from "../standin/platform.js";
import { FleetAddresses, ports } from "./addresses.js";
import { Child } from "./child.js";
import { getJson, put } from "./control-calls.js";
import type { FleetHost, FleetOptions, HostSpecification } from "./fleet-options.js";
import { createNodeSettings } from "./node-settings.js";
import { waitFor } from "./wait-for.js";

const standInScript = fileURLToPath(new URL("../standin/main.js", import.meta.url));
const daemonScript = fileURLToPath(new URL("bin/radishrouterd.js", import.meta.resolve("@radishrouter/daemon")));

/** Starts the processes of a fleet, controls them and injects faults. */
export class Fleet {
    readonly addresses: FleetAddresses;
    readonly hosts = new Map<string, FleetHost>();
    private readonly directory = mkdtempSync(join(tmpdir(), "radishrouter-"));
    private readonly earlierBackends: Child[] = [];
    private platform: Child | undefined;
    private proxy: Child | undefined;
    private hostListRevision = 0;
    private replacementCount = 0;

    private constructor(private readonly options: FleetOptions) {
        this.addresses = FleetAddresses.create(options.addressSeed ?? process.pid);
    }

    /** Starts a fleet and resolves when every node has its configuration and the host list. */
    static async create(options: FleetOptions): Promise<Fleet> {
        const fleet = new Fleet(options);
        try {
            await fleet.start();
        }
        catch (error) {
            await fleet.stop();
            throw error;
        }
        return fleet;
    }

    /** Returns the host with a name; throws when the fleet has none. */
    host(name: string): FleetHost {
        const host = this.hosts.get(name);
        if (!host) {
            throw new Error(`the fleet has no host named ${name}`);
        }
        return host;
    }

    /** URL of a node's listener for callers. */
    callerUrl(name: string): string {
        return `http://${this.host(name).address}:${ports.callers}`;
    }

    /** URL of a node's listener for operators. */
    operatorsUrl(name: string): string {
        return `http://${this.host(name).address}:${ports.operators}`;
    }

    /** Publishes a configuration, as operators do. */
    async publish(configuration: Configuration): Promise<void> {
        await this.publishValue(CONFIGURATION_KEY, configuration);
    }

    /** Publishes a value under a key of the platform. */
    async publishValue(key: string, value: unknown): Promise<void> {
        await this.putToPlatform(`/values/${encodeURIComponent(key)}`, value);
    }

    /** Publishes the host list, with hosts in `leaving` marked as draining and hosts in `gone` left out. */
    async publishHosts(changes: { leaving?: readonly string[]; gone?: readonly string[]; } = {}): Promise<void> {
        const listedHosts = [...this.hosts.values()].filter(host => !changes.gone?.includes(host.specification.name));
        const hosts = listedHosts.map(host => this.createHostListEntry(host, changes.leaving ?? []));
        await this.publishValue(HOST_LIST_KEY, { revision: ++this.hostListRevision, hosts });
    }

    /** Number of read requests that the platform has received; a long poll counts once. */
    async platformReads(): Promise<number> {
        const url = `http://${this.addresses.platform}:${ports.platform + 1}/statistics`;
        return (await getJson(url) as { reads: number; }).reads;
    }

    /** Sets the fault that the platform applies to read requests. */
    async setPlatformFault(fault: PlatformFault): Promise<void> {
        await this.putToPlatform("/fault", { fault });
    }

    /** Replaces the rules of the fault-injecting proxy; an empty list ends all faults. */
    async setProxyRules(rules: readonly ProxyRule[]): Promise<void> {
        await put(`http://${this.addresses.proxyControl}:${ports.proxyControl}/`, rules);
    }

    /** Creates rules that partition failure domains from all others and, with `platform`, also from the platform. */
    createPartitionRules(
        failureDomains: readonly string[],
        options: { platform?: boolean; fault?: "refuse" | "drop"; } = {},
    ): ProxyRule[] {
        const inside = this.indexesOf(host => failureDomains.includes(host.failureDomain));
        const outside = this.indexesOf(host => !failureDomains.includes(host.failureDomain));
        const fault = options.fault ?? "drop";
        const directAddresses = (indexes: number[]) => indexes.map(index => this.addresses.host(index));
        const proxiedAddresses = (indexes: number[]) => indexes.map(index => this.addresses.proxiedHost(index));
        const rules: ProxyRule[] = [
            { from: directAddresses(inside), to: proxiedAddresses(outside), fault },
            { from: directAddresses(outside), to: proxiedAddresses(inside), fault },
        ];
        if (options.platform) {
            rules.push({ from: directAddresses(inside), to: [this.addresses.proxiedPlatform], fault });
        }
        return rules;
    }

    /** Address of a host, which proxy rules name as the source (`from`) of its connections. */
    addressOf(name: string): string {
        return this.host(name).address;
    }

    /** Address at which the proxy accepts connections to a host, which proxy rules name as the target (`to`). */
    proxiedAddressOf(name: string): string {
        return this.addresses.proxiedHost(this.indexOf(name));
    }

    /** Changes the behaviour of a backend server; absent properties stay as they are. */
    async setBehaviour(name: string, behaviour: Partial<z.input<typeof backendBehaviourSchema>>): Promise<void> {
        await put(`http://${this.host(name).address}:${ports.backendServer + 1}/`, behaviour);
    }

    /** Kills a node and starts a new process on its host. */
    async restartNode(name: string): Promise<void> {
        const host = this.host(name);
        await host.node.kill();
        host.node = this.startNode(host.specification, host.settingsFile);
        await host.node.ready;
    }

    /** Stops a node gracefully, starts a new process on its host and returns the exit code of the old one. */
    async restartNodeGracefully(name: string): Promise<number | undefined> {
        const host = this.host(name);
        const { node } = host;
        node.signal("SIGTERM");
        await node.waitForExit();
        host.node = this.startNode(host.specification, host.settingsFile);
        await host.node.ready;
        return node.exitCode;
    }

    /** Stops a backend server gracefully and starts a new process on its host. */
    async restartBackendGracefully(name: string): Promise<void> {
        const { backend } = this.host(name);
        backend.signal("SIGTERM");
        await backend.waitForExit();
        await this.restartBackend(name);
    }

    /** Kills a backend server if it still runs and starts a new process on its host. */
    async restartBackend(name: string): Promise<void> {
        const host = this.host(name);
        await host.backend.kill();
        this.earlierBackends.push(host.backend);
        host.backend = this.startBackend(host.specification, host.address);
        await host.backend.ready;
    }

    /** Stops a host gracefully and starts a replacement at a new address. */
    async replaceHost(name: string, replacement: HostSpecification): Promise<void> {
        const host = this.host(name);
        host.node.signal("SIGTERM");
        await host.node.waitForExit();
        host.backend.signal("SIGTERM");
        await host.backend.waitForExit();
        this.earlierBackends.push(host.backend);
        this.hosts.delete(name);
        this.startHost(replacement, this.options.hosts.length + this.replacementCount++);
        await this.host(replacement.name).node.ready;
        await this.host(replacement.name).backend.ready;
        await this.publishHosts();
        await this.waitForConfiguration(replacement.name);
    }

    /** Run records of all backend servers, including those that have ended. */
    runRecords(): RunRecord[] {
        const backends = [...this.earlierBackends, ...[...this.hosts.values()].map(host => host.backend)];
        return backends.flatMap(backend => backend.lines.filter(line => line.startsWith("{")))
            .map(line => runRecordSchema.parse(JSON.parse(line)));
    }

    /** Status that a node reports. */
    async status(name: string): Promise<NodeStatus> {
        return nodeStatusSchema.parse(await getJson(`${this.operatorsUrl(name)}/status`));
    }

    /** Request counters that a node reports. */
    async report(name: string): Promise<NodeReport> {
        return nodeReportSchema.parse(await getJson(`${this.operatorsUrl(name)}/report`));
    }

    /** Kills all processes and removes the settings files. */
    async stop(): Promise<void> {
        const children = [...this.hosts.values()].flatMap(host => [host.node, host.backend]);
        const others = [this.platform, this.proxy].filter(child => child !== undefined);
        await Promise.all([...children, ...others].map(child => child.kill()));
        rmSync(this.directory, { recursive: true, force: true });
    }

    private async start(): Promise<void> {
        this.platform = this.startStandIn("platform", {
            kind: "platform",
            address: this.addresses.platform,
            port: ports.platform,
        });
        await this.platform.ready;
        if (this.options.proxied) {
            await this.startProxy();
        }
        for (const [index, specification] of this.options.hosts.entries()) {
            this.startHost(specification, index);
        }
        await this.publish(this.options.configuration);
        await this.publishHosts();
        const readyPromises = [...this.hosts.values()].flatMap(host => [host.node.ready, host.backend.ready]);
        await Promise.all(readyPromises);
        await Promise.all([...this.hosts.keys()].map(name => this.waitForConfiguration(name)));
    }

    /** Waits until a node has a configuration, sees its peers as live and generates tokens for its seat. */
    async waitForConfiguration(name: string): Promise<void> {
        await waitFor(async () => {
            const status = await this.status(name);
            return status.configurationVersion !== undefined && status.livePeers.length >= this.hosts.size - 1 &&
                status.rateReadyInMs === 0;
        }, `${name} has its configuration and peers and generates tokens for its seat`);
    }

    private async startProxy(): Promise<void> {
        const hostPorts = [ports.callers, ports.forward, ports.control, ports.backendServer];
        const routes: ProxyRoute[] = this.options.hosts.flatMap((_, index) =>
            hostPorts.map(port => ({
                address: this.addresses.proxiedHost(index),
                port,
                toAddress: this.addresses.host(index),
                toPort: port,
            }))
        );
        routes.push({
            address: this.addresses.proxiedPlatform,
            port: ports.platform,
            toAddress: this.addresses.platform,
            toPort: ports.platform,
        });
        this.proxy = this.startStandIn("proxy", {
            kind: "proxy",
            controlAddress: this.addresses.proxyControl,
            controlPort: ports.proxyControl,
            routes,
        });
        await this.proxy.ready;
    }

    private startHost(specification: HostSpecification, index: number): void {
        const address = this.addresses.host(index);
        const settingsFile = join(this.directory, `${specification.name}.json`);
        const settings = createNodeSettings(this.options, specification, {
            host: address,
            platform: this.options.proxied ? this.addresses.proxiedPlatform : this.addresses.platform,
            backendServer: this.options.proxied && !this.options.directBackends ?
                this.addresses.proxiedHost(index) :
                address,
        });
        writeFileSync(settingsFile, JSON.stringify(settings));
        this.hosts.set(specification.name, {
            specification,
            address,
            settingsFile,
            node: this.startNode(specification, settingsFile),
            backend: this.startBackend(specification, address),
        });
    }

    private startNode(specification: HostSpecification, settingsFile: string): Child {
        return Child.create(specification.name, daemonScript, ["--settings", settingsFile], this.options.environment);
    }

    private startBackend(specification: HostSpecification, address: string): Child {
        return this.startStandIn(`${specification.name} backend`, {
            kind: "backend",
            host: specification.name,
            address,
            port: ports.backendServer,
            nodeAddress: address,
            nodePort: ports.backend,
            behaviour: specification.behaviour ?? {},
        });
    }

    private startStandIn(name: string, options: StandInOptions): Child {
        return Child.create(name, standInScript, [JSON.stringify(options)]);
    }

    private createHostListEntry(host: FleetHost, leaving: readonly string[]): Host {
        const { name, failureDomain, region, service, seat } = host.specification;
        return {
            name,
            address: this.options.proxied ? this.proxiedAddressOf(name) : host.address,
            failureDomain,
            region,
            service,
            seat,
            callerPort: ports.callers,
            forwardPort: ports.forward,
            controlPort: ports.control,
            state: leaving.includes(name) ? "leaving" : "live",
        };
    }

    private indexOf(name: string): number {
        return this.options.hosts.findIndex(host => host.name === name);
    }

    private indexesOf(condition: (host: HostSpecification) => boolean): number[] {
        return this.options.hosts.flatMap((host, index) => condition(host) ? [index] : []);
    }

    private async putToPlatform(path: string, value: unknown): Promise<void> {
        await put(`http://${this.addresses.platform}:${ports.platform + 1}${path}`, value);
    }
}
