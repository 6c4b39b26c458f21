/**
 * One node: creates its components and listeners, and starts and stops them.
 */
import type { AuditTrail, ConfigurationVersion, NodeStatus } from "@radishrouter/core";
import type { Server } from "node:http";
import type { Http2Server } from "node:http2";
import { createDownstreamCallServer } from "../connection/backend-listener.js";
import { createCallerServer } from "../connection/caller-listener.js";
import { createForwardServer } from "../connection/forward-listener.js";
import { closeGracefully, listen } from "../connection/http-server.js";
import { createOperatorsServer } from "../connection/operators-listener.js";
import { collectMetrics, MetricsSender } from "./metrics.js";
import type { MetricsSources } from "./metrics.js";
import { createNodeDependencies } from "./node-dependencies.js";
import type { NodeDependencies } from "./node-dependencies.js";
import { isPolicyActive } from "./policy.js";
import type { Settings } from "./settings.js";

/** Time for sending the last control messages at a planned stop. */
const CONTROL_FLUSH_MS = 150;
/** Queue weight of an organisation for which the configuration has no rate. */
const WEIGHT_WITHOUT_RATE = 1;

/** Time for which a draining node still accepts new work while it tells senders to choose another node. */
const DRAIN_MS = 1_500;

/** A running node. */
export class Node {
    private readonly startedAt = new Date();
    private readonly servers: Server[] = [];
    private controlServer: Http2Server | undefined;
    private metricsSender: MetricsSender | undefined;

    private constructor(private readonly settings: Settings, private readonly dependencies: NodeDependencies) {}

    static create(settings: Settings): Node {
        return new Node(settings, createNodeDependencies(settings));
    }

    /** Audit trail, so that a program can write its entries to a log. */
    get audit(): AuditTrail {
        return this.dependencies.audit;
    }

    /** Starts all listeners, membership and configuration; resolves when callers can connect. */
    async start(): Promise<void> {
        const { audit, store, fleetState } = this.dependencies;
        audit.record("process-started", this.settings.host, `process ${process.pid}`);
        store.events.on("inForce", version => this.applyConfiguration(version));
        await this.startListeners();
        fleetState.start();
        this.metricsSender = MetricsSender.create(this.dependencies.clock, this.settings, this.metricsSources());
    }

    /**
     * Stops without aborting requests in flight: tells senders to choose another node, then rejects new work, waits until
     * requests in flight and their downstream calls have ended, and closes everything. Requests that are still in flight
     * after `limits.shutdownMs` are aborted.
     */
    async stop(): Promise<void> {
        const { drain, membership, audit } = this.dependencies;
        const { shutdownMs } = this.settings.limits;
        audit.record("process-stopping", this.settings.host, "stop requested");
        const forcedCloseTimer = setTimeout(
            () => this.servers.forEach(server => server.closeAllConnections()),
            shutdownMs,
        );
        drain.startDraining();
        membership.markDraining(this.settings.host, "drain signal");
        await new Promise(resolve => setTimeout(resolve, Math.min(DRAIN_MS, shutdownMs)));
        drain.refuse();
        this.dependencies.rateLimiter.close();
        const flushed = new Promise(resolve => setTimeout(resolve, CONTROL_FLUSH_MS));
        const [forward, backend, operators, callers] = this.servers;
        await Promise.all([flushed, ...[callers, forward].map(server => server && closeGracefully(server))]);
        await Promise.all([backend, operators].map(server => server && closeGracefully(server)));
        clearTimeout(forcedCloseTimer);
        await this.closeDependencies();
    }

    private async closeDependencies(): Promise<void> {
        this.dependencies.authority.close();
        this.dependencies.pauses.close();
        this.dependencies.backlog.close();
        this.controlServer?.close();
        await this.dependencies.fleetState.stop();
        await this.metricsSender?.close();
        await this.dependencies.forwarder.close();
    }

    /** Status that the node reports to operators. */
    status(): NodeStatus {
        const { host, service, failureDomain } = this.settings;
        return {
            host,
            service,
            failureDomain,
            startedAt: this.startedAt.toISOString(),
            state: this.dependencies.drain.stage === "running" ? "running" : "stopping",
            configurationVersion: this.dependencies.store.current?.configuration.version,
            livePeers: this.dependencies.membership.livePeers().map(peer => peer.name),
            rateReadyInMs: Math.min(Number.MAX_SAFE_INTEGER, this.dependencies.rateLimiter.readyInMs()),
            load: this.dependencies.limiter.load(),
        };
    }

    private metricsSources(): MetricsSources {
        const { ledger, limiter, membership, store } = this.dependencies;
        return {
            ledger,
            load: () => limiter.load(),
            livePeers: () => membership.livePeers().length,
            configurationVersion: () => store.current?.configuration.version,
        };
    }

    private async startListeners(): Promise<void> {
        const { address, loopbackAddress, ports } = this.settings;
        const version = () => this.dependencies.store.current;
        const load = () => this.dependencies.limiter.load();
        const shared = { ...this.dependencies, limits: this.settings.limits, version, load };
        this.controlServer = this.dependencies.channels.createServer();
        this.controlServer.listen(ports.control, address);
        await this.open(
            createForwardServer({ ...shared, localService: this.settings.service }),
            ports.forward,
            address,
        );
        const sharesDeadline = isPolicyActive(this.settings.policy, "shared-deadline");
        await this.open(createDownstreamCallServer({ ...shared, sharesDeadline }), ports.backend, loopbackAddress);
        const metrics = () => collectMetrics(this.metricsSources());
        const operators = createOperatorsServer({ ...shared, status: () => this.status(), metrics });
        await this.open(operators, ports.operators, loopbackAddress);
        await this.open(createCallerServer(shared), ports.callers, address);
    }

    private async open(server: Server, port: number, address: string): Promise<void> {
        await listen(server, port, address);
        this.servers.push(server);
    }

    private applyConfiguration(version: ConfigurationVersion): void {
        this.dependencies.rateLimiter.setConfiguration(version);
        this.dependencies.openRequests.abortWithdrawn(version);
        const service = version.configuration.services[this.settings.service];
        if (service) {
            this.dependencies.limiter.setSlots(service.slots);
            this.dependencies.connections.setConnections(service.connections);
        }
        const { organisations } = version.configuration;
        this.dependencies.limiter.setWeights(name => organisations[name]?.rate ?? WEIGHT_WITHOUT_RATE);
    }
}
