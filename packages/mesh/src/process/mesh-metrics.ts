/**
 * Counters, gauges and latency histograms of a node, in the text format of Prometheus.
 */
import type { FailureDomainEvacuation } from "@radishrouter/core";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { LoadExcess } from "./capacity-meter.js";
import type { CrashCounts } from "./crashing-requests.js";
import type { WaitingCounts } from "./gate-queue.js";
import type { RetryLoanCounts } from "./retry-loans.js";
import type { ServerLoad } from "./server-gate.js";

/** Functions that read the values of gauges each time the metrics are collected. */
export interface MetricsSources {
    readonly load: () => ServerLoad;
    readonly excess: () => LoadExcess;
    readonly waiting: () => WaitingCounts;
    /** Pressure of the services that the local server calls. */
    readonly downstreamPressure: () => number;
    /** Smallest fraction of new requests that is admitted to any service. */
    readonly admittedFraction: () => number;
    /** Requests a second that the local server names; undefined if it names no limit. */
    readonly serverRatePerSecond: () => number | undefined;
    /** Whether the local server counts as cold, and the requests a second that it gets for it; undefined if it is not. */
    readonly coldRatePerSecond: () => number | undefined;
    readonly configurationVersion: () => number | undefined;
    readonly proofAgeMs: () => number;
    readonly knownServers: () => number;
    readonly crashes: () => CrashFigures;
    /** Bytes of requests and responses that are held. */
    readonly heldBytes: () => number;
    readonly retryLoans: () => RetryLoanFigures;
    readonly evacuations: () => readonly FailureDomainEvacuation[];
    /** Whether the gate is closed because the failure domain of the local server is evacuated. */
    readonly isLocalServerEvacuated: () => boolean;
    /** Left out where nothing is balanced. */
    readonly loadBalancing?: () => LoadBalancingFigures;
}

/** Figures about load balancing. */
export interface LoadBalancingFigures {
    /** Speed of the local server; its service time is undefined until it is known. */
    readonly speed: { readonly serviceMs: number | undefined; readonly slowness: number; };
    /** Choices of backend servers by their place, since the start. */
    readonly choices: Readonly<Record<"local" | "near" | "far" | "overflow", number>>;
    /** Load reports that were passed on, and used, since the start. */
    readonly distributedReports: Readonly<Record<"sent" | "used", number>>;
}

/** Retries that moved between this node and others since the start. */
export interface RetryLoanFigures extends Readonly<RetryLoanCounts> {
    readonly lent: number;
}

/** Figures about requests that end backend servers. */
export interface CrashFigures extends Readonly<CrashCounts> {
    /** Requests of the local service that are suspects or found. */
    readonly suspects: number;
}

const MS_PER_SECOND = 1_000;
const LATENCY_BUCKETS_MS = [5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400];

/** Metrics of one node. */
export class MeshMetrics {
    private readonly registry = new Registry();
    private readonly answers = new Counter({
        name: "radishrouter_answers_total",
        help: "Answers of backend servers that were passed on, by route and status",
        labelNames: ["route", "status"],
        registers: [this.registry],
    });
    private readonly failures = new Counter({
        name: "radishrouter_failures_total",
        help: "Requests that ended without the answer of a backend server, by route and result",
        labelNames: ["route", "result"],
        registers: [this.registry],
    });
    private readonly latency = new Histogram({
        name: "radishrouter_request_milliseconds",
        help: "Time from the request of a caller to its answer, by route",
        labelNames: ["route"],
        buckets: LATENCY_BUCKETS_MS,
        registers: [this.registry],
    });

    private readonly metLimits = new Counter({
        name: "radishrouter_caller_limits_total",
        help: "Connections closed and requests refused because of a limit of a listener, by listener and limit",
        labelNames: ["listener", "limit"],
        registers: [this.registry],
    });

    private constructor(sources: MetricsSources) {
        this.addGauge(
            "radishrouter_held_bytes",
            "Bytes of request bodies, heads and unread responses of callers that the process holds",
            sources.heldBytes,
        );
        this.addGauge("radishrouter_open_requests", "Requests at the own backend server", () => sources.load().open);
        this.addGauge("radishrouter_waiting_requests", "Requests that wait for a slot", () => sources.load().waiting);
        this.addGauge("radishrouter_request_limit", "Requests let in at once", () => sources.load().limit);
        this.addOverloadGauges(sources);
        this.addGauge(
            "radishrouter_server_rate_limit",
            "Requests a second that the own backend server names; -1 without a limit",
            () => sources.serverRatePerSecond() ?? -1,
        );
        this.addGauge(
            "radishrouter_server_cold",
            "Whether the own backend server counts as cold: 1 or 0",
            () => sources.coldRatePerSecond() === undefined ? 0 : 1,
        );
        this.addGauge(
            "radishrouter_server_cold_rate",
            "Requests a second that the own backend server gets while it counts as cold; -1 when it does not",
            () => sources.coldRatePerSecond() ?? -1,
        );
        this.addGauge(
            "radishrouter_configuration_version",
            "Configuration version in force; -1 without one",
            () => sources.configurationVersion() ?? -1,
        );
        this.addGauge(
            "radishrouter_configuration_proof_age_milliseconds",
            "Time since the configuration in force was proved current",
            sources.proofAgeMs,
        );
        this.addGauge(
            "radishrouter_server_ends",
            "Ends of the own backend server with requests in flight, since the start",
            () => sources.crashes().ends,
        );
        this.addGauge(
            "radishrouter_quarantine_refusals",
            "Requests refused at the own backend server because they end servers, since the start",
            () => sources.crashes().refusals,
        );
        this.addGauge(
            "radishrouter_suspects",
            "Requests of the own service that were in flight when a server ended and have not completed since",
            () => sources.crashes().suspects,
        );
        this.addRetryLoans(sources);
        this.addGauge(
            "radishrouter_evacuated_domains",
            "Failure domains that operators have evacuated",
            () => sources.evacuations().length,
        );
        this.addGauge(
            "radishrouter_evacuated_domains_kept",
            "Evacuated failure domains whose key an older copy of the store lacks",
            () => sources.evacuations().filter(({ isKept }) => isKept).length,
        );
        this.addGauge(
            "radishrouter_own_server_evacuated",
            "1 while the own backend server gets no requests because its failure domain is evacuated, else 0",
            () => sources.isLocalServerEvacuated() ? 1 : 0,
        );
        this.addEvacuationAges(sources);
        this.addGauge("radishrouter_known_servers", "Backend servers in the list", sources.knownServers);
        if (sources.loadBalancing) {
            this.addLoadBalancing(sources.loadBalancing);
        }
    }

    static create(sources: MetricsSources): MeshMetrics {
        return new MeshMetrics(sources);
    }

    /** Counts the response of a backend server that was relayed to the caller. */
    recordResponse(route: string, status: number, elapsedMs: number): void {
        this.answers.inc({ route, status });
        this.latency.observe({ route }, elapsedMs);
    }

    /** Counts a request that ended without the response of a backend server. */
    recordFailure(route: string, result: string): void {
        this.failures.inc({ route, result });
    }

    /** Counts a connection or request that met a limit of a listener. */
    recordLimit(listener: string, limit: string): void {
        this.metLimits.inc({ listener, limit });
    }

    /** All metrics in the text format of Prometheus. */
    async text(): Promise<string> {
        return await this.registry.metrics();
    }

    private addRetryLoans({ retryLoans }: MetricsSources): void {
        this.addGauge(
            "radishrouter_retries_borrowed",
            "Retries that other nodes granted, since the start",
            () => retryLoans().borrowed,
        );
        this.addGauge(
            "radishrouter_retries_lent",
            "Retries granted to other nodes, since the start",
            () => retryLoans().lent,
        );
        this.addGauge(
            "radishrouter_retry_loans_refused",
            "Questions for retries to nodes that had none, since the start",
            () => retryLoans().refused,
        );
        this.addGauge(
            "radishrouter_retry_loans_unanswered",
            "Questions for retries that were not answered in time, since the start",
            () => retryLoans().unanswered,
        );
    }

    private addEvacuationAges({ evacuations }: MetricsSources): void {
        new Gauge({
            name: "radishrouter_evacuation_seconds",
            help: "Time since the node learned that a failure domain is evacuated, by failure domain",
            labelNames: ["failure_domain"],
            registers: [this.registry],
            collect() {
                this.reset();
                evacuations().forEach(({ failureDomain, elapsedMs }) =>
                    this.set({ failure_domain: failureDomain }, elapsedMs / MS_PER_SECOND)
                );
            },
        });
    }

    private addOverloadGauges({ excess, waiting, downstreamPressure, admittedFraction }: MetricsSources): void {
        this.addGauge(
            "radishrouter_waiting_calls",
            "Requests that wait for a slot and are calls of other backend servers",
            () => waiting().calls,
        );
        this.addGauge(
            "radishrouter_waiting_organisations",
            "Organisations with requests that wait for a slot",
            () => waiting().organisations,
        );
        this.addGauge(
            "radishrouter_excess_slots",
            "Fraction of the load offered to the own backend server that its slots cannot carry",
            () => excess().slots,
        );
        this.addGauge(
            "radishrouter_excess_processor",
            "Fraction of the load offered to the own backend server that this process cannot carry",
            () => excess().processor,
        );
        this.addGauge(
            "radishrouter_downstream_pressure",
            "Fraction of the own backend server's requests that the services below it cannot take",
            downstreamPressure,
        );
        this.addGauge(
            "radishrouter_admitted_fraction",
            "Smallest fraction of new requests that is admitted to any service; 1 while none is refused",
            admittedFraction,
        );
    }

    private addLoadBalancing(read: () => LoadBalancingFigures): void {
        this.addGauge(
            "radishrouter_server_service_milliseconds",
            "Mean service time of the own backend server as other nodes are told; -1 until it is known",
            () => read().speed.serviceMs ?? -1,
        );
        this.addGauge(
            "radishrouter_server_slowness",
            "How much longer work takes at the own backend server now, by its own statement; 1 as usual",
            () => read().speed.slowness,
        );
        this.addLabelledGauge(
            "radishrouter_choices",
            "Choices of backend servers since the start: local, near (own failure domain), far, and overflow among far",
            "place",
            () => read().choices,
        );
        this.addLabelledGauge(
            "radishrouter_distributed_reports",
            "Load reports of other servers since the start, sent to other nodes or used",
            "direction",
            () => read().distributedReports,
        );
    }

    private addLabelledGauge(
        name: string,
        help: string,
        label: string,
        read: () => Readonly<Record<string, number>>,
    ): void {
        new Gauge({
            name,
            help,
            labelNames: [label],
            registers: [this.registry],
            collect() {
                Object.entries(read()).forEach(([value, count]) => this.set({ [label]: value }, count));
            },
        });
    }

    private addGauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name,
            help,
            registers: [this.registry],
            collect() {
                this.set(read());
            },
        });
    }
}
