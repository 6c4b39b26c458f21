/**
 * Metrics of a node: outcomes of requests as counters, load as gauges.
 */
import type { Clock, LocalLoad, OrganisationOutcomes, OutcomeLedger, Timer } from "@radishrouter/core";
import { setRepeatingTimer } from "@radishrouter/core";
import createDebug from "debug";
import { StatsD } from "hot-shots";
import type { Settings } from "./settings.js";

/** A number that has only increased since the process started. */
export interface Counter {
    readonly name: string;
    readonly tags: Readonly<Record<string, string>>;
    readonly value: number;
}

/** A value at the time of the snapshot. */
export interface Gauge {
    readonly name: string;
    readonly value: number;
}

/** All metrics at one moment. */
export interface MetricsSnapshot {
    readonly counters: readonly Counter[];
    readonly gauges: readonly Gauge[];
}

/** Sources of the metrics. */
export interface MetricsSources {
    readonly ledger: OutcomeLedger;
    readonly load: () => LocalLoad;
    readonly livePeers: () => number;
    readonly configurationVersion: () => number | undefined;
}

const log = createDebug("radishrouter:metrics");
const SEND_INTERVAL_MS = 1_000;

/** Collects the metrics of a node. */
export function collectMetrics(sources: MetricsSources): MetricsSnapshot {
    const load = sources.load();
    return {
        counters: Object.entries(sources.ledger.snapshot()).flatMap(([name, outcomes]) => toCounters(name, outcomes)),
        gauges: [
            { name: "requests.open", value: sources.ledger.openRequests },
            { name: "backend.running", value: load.inFlight },
            { name: "backend.waiting", value: load.queued },
            { name: "backend.limit", value: load.limit },
            { name: "backend.admitted_rank", value: load.admittedRank },
            { name: "peers.live", value: sources.livePeers() },
            { name: "configuration.version", value: sources.configurationVersion() ?? 0 },
        ],
    };
}

function toCounters(organisation: string, outcomes: OrganisationOutcomes): Counter[] {
    const ended = (outcome: string, value: number, code?: string): Counter => ({
        name: "requests.ended",
        tags: code === undefined ? { organisation, outcome } : { organisation, outcome, code },
        value,
    });
    return [
        { name: "requests.offered", tags: { organisation }, value: outcomes.offered },
        ended("completed", outcomes.completed - outcomes.delayed),
        ended("delayed", outcomes.delayed),
        ...Object.entries(outcomes.refused).map(([code, value]) => ended("refused", value, code)),
        ...Object.entries(outcomes.failed).map(([code, value]) => ended("failed", value, code)),
        ...Object.entries(outcomes.unknown).map(([code, value]) => ended("unknown", value, code)),
        { name: "requests.refused_within_rate", tags: { organisation }, value: outcomes.refusedWithinRate },
    ];
}

/** Sends metrics to a statsd server; counters are sent as the increase since the last time. */
export class MetricsSender {
    private readonly sent = new Map<string, number>();
    private readonly timer: Timer;

    private constructor(clock: Clock, private readonly client: StatsD, private readonly sources: MetricsSources) {
        this.timer = setRepeatingTimer(clock, SEND_INTERVAL_MS, () => this.send());
    }

    /** Starts sending at an interval; undefined when the settings name no statsd server. */
    static create(clock: Clock, settings: Settings, sources: MetricsSources): MetricsSender | undefined {
        if (!settings.statsd) {
            return undefined;
        }
        const client = new StatsD({
            host: settings.statsd.address,
            port: settings.statsd.port,
            prefix: "radishrouter.",
            globalTags: {
                host: settings.host,
                service: settings.service,
                failure_domain: settings.failureDomain,
            },
            errorHandler: error => log("cannot send metrics to the statsd server: %s", error.message),
        });
        return new MetricsSender(clock, client, sources);
    }

    /** Sends the metrics a last time and closes the socket. */
    close(): Promise<void> {
        this.timer.cancel();
        this.send();
        return new Promise(resolve => this.client.close(() => resolve()));
    }

    private send(): void {
        const { counters, gauges } = collectMetrics(this.sources);
        for (const counter of counters) {
            const counterKey = `${counter.name} ${JSON.stringify(counter.tags)}`;
            const increase = counter.value - (this.sent.get(counterKey) ?? 0);
            if (increase !== 0) {
                this.sent.set(counterKey, counter.value);
                this.client.increment(counter.name, increase, { ...counter.tags });
            }
        }
        for (const gauge of gauges) {
            this.client.gauge(gauge.name, gauge.value);
        }
    }
}
