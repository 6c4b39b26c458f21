/**
 * Scenario `fleet-rate`: one rate for each organisation across 12 nodes, without faults and with a partition, a paused
 * node and a restart, compared with static shares in the same run.
 */
import { createExampleConfiguration } from "../fleet/example-configuration.js";
import { Fleet } from "../fleet/fleet.js";
import { largestExcess, startTimes } from "../fleet/rate-check.js";
import type { RateAndBurst } from "../fleet/rate-check.js";
import { SteadyLoad } from "../fleet/steady-load.js";
import type { LoadCounts } from "../fleet/steady-load.js";
import type { Measures, Scenario } from "./scenario.js";

interface OrganisationLoad extends RateAndBurst {
    /** Offered load as a multiple of the rate. */
    readonly factor: number;
    /** Indexes of the nodes to which the organisation sends its requests; a repeated index gets a larger fraction. */
    readonly entries: readonly number[];
}

interface PhaseResult {
    readonly counts: ReadonlyMap<string, LoadCounts>;
    readonly fromMs: number;
    readonly toMs: number;
}

interface LimiterResult {
    readonly overRateExcess: number;
    readonly worstOrganisationRatio: number;
    readonly worstOrganisationRatioWithFaults: number;
    readonly refusedWithinRateRatio: number;
    readonly refusedWithinRateRatioWithFaults: number;
}

const failureDomainNames = ["khomas-a", "khomas-b", "khomas-c"];
const SEATS_PER_FAILURE_DOMAIN = 4;
const WARM_UP_MS = 4_000;
const STEADY_MS = 12_000;
const PARTITION_DURATION_MS = 5_000;
const PAUSE_MS = 3_000;
const AFTER_FAULT_MS = 4_000;

const allNodeIndexes = Array.from(
    { length: failureDomainNames.length * SEATS_PER_FAILURE_DOMAIN },
    (_, index) => index,
);

const loads: Readonly<Record<string, OrganisationLoad>> = {
    greedy: { rate: 80, burst: 60, factor: 5, entries: [0, 1, 4, 4, 4, 8] },
    single: { rate: 60, burst: 40, factor: 0.8, entries: [1] },
    "one-domain": { rate: 60, burst: 40, factor: 0.8, entries: [4, 5, 6] },
    skewed: { rate: 80, burst: 60, factor: 0.8, entries: [8, 8, 8, 8, ...allNodeIndexes] },
    small: { rate: 10, burst: 10, factor: 0.8, entries: [11] },
};

/** Measures leased shares, then static shares as the baseline. */
export const fleetRateScenario: Scenario = {
    name: "fleet-rate",
    description: "one rate across 12 nodes in 3 failure domains, with a partition, a paused node and a restart",
    async run(): Promise<Measures> {
        const leased = await measure("leased");
        const baseline = await measure("static");
        return {
            over_rate_excess: leased.overRateExcess,
            worst_organisation_ratio: leased.worstOrganisationRatio,
            worst_organisation_ratio_with_faults: leased.worstOrganisationRatioWithFaults,
            refused_within_rate_ratio: leased.refusedWithinRateRatio,
            refused_within_rate_ratio_with_faults: leased.refusedWithinRateRatioWithFaults,
            baseline_over_rate_excess: baseline.overRateExcess,
            baseline_worst_organisation_ratio: baseline.worstOrganisationRatio,
            baseline_worst_organisation_ratio_with_faults: baseline.worstOrganisationRatioWithFaults,
            baseline_refused_within_rate_ratio: baseline.refusedWithinRateRatio,
            baseline_refused_within_rate_ratio_with_faults: baseline.refusedWithinRateRatioWithFaults,
        };
    },
};

async function measure(rateLimiter: "leased" | "static"): Promise<LimiterResult> {
    const example = createExampleConfiguration({
        organisations: Object.fromEntries(
            Object.entries(loads).map(([name, { rate, burst }]) => [name, { rate, burst }]),
        ),
        services: { catalogue: {} },
        failureDomains: Object.fromEntries(
            failureDomainNames.map(name => [name, { region: "khomas", seats: SEATS_PER_FAILURE_DOMAIN }]),
        ),
    });
    const hosts = failureDomainNames.flatMap(failureDomain =>
        Array.from({ length: SEATS_PER_FAILURE_DOMAIN }, (_, seat) => ({
            name: `${failureDomain}-${seat}`,
            service: "catalogue",
            failureDomain,
            region: "khomas",
            seat,
        }))
    );
    const fleet = await Fleet.create({ hosts, configuration: example.configuration, proxied: true, rateLimiter });
    const senders = Object.entries(loads).map(([organisation, { rate, factor, entries }]) =>
        SteadyLoad.create({
            organisation,
            key: example.keys[organisation]!,
            perSecond: rate * factor,
            urls: entries.map(index => fleet.callerUrl(hosts[index]!.name)),
            path: "/catalogue/read/1",
            localAddress: fleet.addresses.client,
        })
    );
    try {
        await runPhase(senders, () => delay(WARM_UP_MS));
        const steady = await runPhase(senders, () => delay(STEADY_MS));
        const faults = await runPhase(senders, () => runFaults(fleet, hosts.map(host => host.name)));
        await Promise.all(senders.map(sender => sender.stop()));
        return evaluate(fleet, steady, faults);
    }
    finally {
        await Promise.allSettled(senders.map(sender => sender.stop()));
        await fleet.stop();
    }
}

async function runPhase(senders: readonly SteadyLoad[], action: () => Promise<void>): Promise<PhaseResult> {
    senders.forEach(sender => sender.takeCounts());
    const fromMs = Date.now();
    await action();
    const toMs = Date.now();
    return { counts: new Map(senders.map(sender => [sender.organisation, sender.takeCounts()])), fromMs, toMs };
}

async function runFaults(fleet: Fleet, names: readonly string[]): Promise<void> {
    await fleet.setProxyRules(fleet.createPartitionRules([failureDomainNames[1]!], { platform: true }));
    await delay(PARTITION_DURATION_MS);
    await fleet.setProxyRules([]);
    await delay(AFTER_FAULT_MS);
    const pausedNode = fleet.host(names[2]!).node;
    pausedNode.signal("SIGSTOP");
    await delay(PAUSE_MS);
    pausedNode.signal("SIGCONT");
    await fleet.restartNode(names[9]!);
    await delay(AFTER_FAULT_MS);
}

function evaluate(fleet: Fleet, steady: PhaseResult, faults: PhaseResult): LimiterResult {
    const records = fleet.runRecords();
    const excesses = Object.entries(loads)
        .map(([name, limits]) => largestExcess(startTimes(records, `${name}-`), limits));
    const countStarted = (name: string, phase: PhaseResult) =>
        startTimes(records, `${name}-`).filter(timeMs => timeMs >= phase.fromMs && timeMs < phase.toMs).length;
    const worstRatio = (phase: PhaseResult) =>
        Math.min(
            ...Object.entries(loads).map(([name, { rate }]) => {
                const allowed = rate * (phase.toMs - phase.fromMs) / 1000;
                const ratio = countStarted(name, phase) / Math.min(allowed, phase.counts.get(name)!.offered);
                process.stderr.write(`${name}: ${JSON.stringify(phase.counts.get(name))} ratio ${ratio.toFixed(3)}\n`);
                return ratio;
            }),
        );
    process.stderr.write(`excess: ${excesses.map(excess => excess.toFixed(1)).join(" ")}\n`);
    return {
        overRateExcess: Math.max(0, ...excesses),
        worstOrganisationRatio: worstRatio(steady),
        worstOrganisationRatioWithFaults: worstRatio(faults),
        refusedWithinRateRatio: fractionRefusedWithinRate(steady),
        refusedWithinRateRatioWithFaults: fractionRefusedWithinRate(faults),
    };
}

/** Fraction of requests refused for exceeding the rate, over the organisations that send within their rate. */
function fractionRefusedWithinRate(phase: PhaseResult): number {
    let offered = 0;
    let refused = 0;
    for (const [name, { factor }] of Object.entries(loads)) {
        if (factor <= 1) {
            offered += phase.counts.get(name)!.offered;
            refused += phase.counts.get(name)!.rateLimited;
        }
    }
    return refused / offered;
}

function delay(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
