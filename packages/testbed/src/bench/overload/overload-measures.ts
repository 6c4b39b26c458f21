/**
 * Computes the measures of the `overload` scenario from the records of callers and backend servers.
 */
import { build } from "hdr-histogram-js";
import type { RunRecord } from "../../standin/backend-server.js";
import type { LoadResult } from "../load/load-plan.js";
import type { Measures } from "../scenario.js";
import { fairShares } from "./fair-share.js";
import { criticalFlowName, organisations, SLOWNESS_FACTOR, timeline } from "./workload.js";

const RECOVERY_WINDOW_MS = 500;
const RECOVERY_STEP_MS = 100;
const RECOVERED_RATIO = 0.95;

/** Records of one round of the scenario. */
export interface OverloadRound {
    /** Requests per second that the last service completed when saturated directly, without the slowdown. */
    readonly capacity: number;
    readonly results: readonly LoadResult[];
    readonly runs: readonly RunRecord[];
}

/** Measures of one round. */
export function measureRound(round: OverloadRound): Measures {
    const latency = build({ numberOfSignificantValueDigits: 3 });
    const completed = round.results.filter(result => result.completed);
    completed.forEach(result => latency.recordValue(Math.max(1, Math.round(result.endMs - result.intendedMs))));
    return {
        goodput_ratio: goodputRatio(round),
        recovery_ms: recoveryMs(round.results),
        worst_organisation_ratio: worstOrganisationRatio(round),
        important_completed_ratio: criticalCompletedRatio(round.results),
        refused_within_rate_ratio: refusedWithinRateRatio(round.results),
        wasted_work_ratio: wastedWorkRatio(round),
        latency_p50_ms: latency.getValueAtPercentile(50),
        latency_p99_ms: latency.getValueAtPercentile(99),
        capacity_per_second: Math.round(round.capacity),
    };
}

function flowsOf(organisation: string): readonly string[] {
    return [organisation, criticalFlowName(organisation)];
}

function completedBetween(results: readonly LoadResult[], startMs: number, endMs: number): LoadResult[] {
    return results.filter(result => result.completed && result.endMs >= startMs && result.endMs < endMs);
}

/** Intervals of the surge, before, during and after the slowdown, with the capacity of each in requests. */
function surgeIntervals(capacity: number): { startMs: number; endMs: number; capacity: number; }[] {
    const { surgeStartMs, slowStartMs, slowEndMs, surgeEndMs } = timeline;
    const intervals = [
        { startMs: surgeStartMs, endMs: slowStartMs, capacity },
        { startMs: slowStartMs, endMs: slowEndMs, capacity: capacity / SLOWNESS_FACTOR },
        { startMs: slowEndMs, endMs: surgeEndMs, capacity },
    ];
    return intervals.map(interval => ({
        ...interval,
        capacity: interval.capacity * (interval.endMs - interval.startMs) / 1000,
    }));
}

function goodputRatio({ capacity, results }: OverloadRound): number {
    const surgeCapacity = surgeIntervals(capacity).reduce((sum, interval) => sum + interval.capacity, 0);
    const after = results.filter(result => result.intendedMs >= timeline.surgeEndMs);
    const completed = completedBetween(results, timeline.surgeStartMs, timeline.surgeEndMs).length +
        after.filter(result => result.completed).length;
    return completed / (surgeCapacity + after.length);
}

/**
 * Time from the end of the surge to the start of the first window from which on every window has at least
 * {@link RECOVERED_RATIO} of its requests completed.
 */
function recoveryMs(results: readonly LoadResult[]): number {
    const lastStartMs = timeline.endMs - RECOVERY_WINDOW_MS;
    let recoveredMs = lastStartMs;
    for (let startMs = lastStartMs; startMs >= timeline.surgeEndMs; startMs -= RECOVERY_STEP_MS) {
        const window = results.filter(({ intendedMs }) =>
            intendedMs >= startMs && intendedMs < startMs + RECOVERY_WINDOW_MS
        );
        if (window.filter(result => result.completed).length < RECOVERED_RATIO * window.length) {
            break;
        }
        recoveredMs = startMs;
    }
    return recoveredMs - timeline.surgeEndMs;
}

function worstOrganisationRatio({ capacity, results }: OverloadRound): number {
    const shares = new Map<string, number>();
    for (const interval of surgeIntervals(capacity)) {
        const demands = organisations.map(organisation => ({
            name: organisation.name,
            weight: organisation.weight,
            demand: results.filter(({ flow, intendedMs }) =>
                flowsOf(organisation.name).includes(flow) && intendedMs >= interval.startMs &&
                intendedMs < interval.endMs
            ).length,
        }));
        for (const [name, share] of fairShares(interval.capacity, demands)) {
            shares.set(name, (shares.get(name) ?? 0) + share);
        }
    }
    const completed = completedBetween(results, timeline.surgeStartMs, timeline.surgeEndMs);
    return Math.min(
        ...organisations.map(({ name }) =>
            completed.filter(result => flowsOf(name).includes(result.flow)).length / shares.get(name)!
        ),
    );
}

function criticalCompletedRatio(results: readonly LoadResult[]): number {
    const criticalResults = results.filter(result =>
        organisations.some(({ name }) => result.flow === criticalFlowName(name))
    );
    return criticalResults.filter(result => result.completed).length / criticalResults.length;
}

/** Fraction of requests that were not completed, for the organisation that stays within its fair share. */
function refusedWithinRateRatio(results: readonly LoadResult[]): number {
    const organisationWithinShare = organisations.reduce((least, other) =>
        other.surgeFraction < least.surgeFraction ? other : least
    );
    const organisationResults = results.filter(result => flowsOf(organisationWithinShare.name).includes(result.flow));
    return organisationResults.filter(result => !result.completed).length / organisationResults.length;
}

/** Fraction of the requests started on backend servers for which the caller's request did not complete in that attempt. */
function wastedWorkRatio({ results, runs }: OverloadRound): number {
    const completed = new Set(
        results.filter(result => result.completed).map(result => `${result.id}/${result.attempts}`),
    );
    const started = runs.filter(run => run.event === "start" && run.requestId.includes("/"));
    return started.filter(run => !completed.has(run.requestId)).length / started.length;
}

/** Describes each flow as text: completions per second, and counts of the other requests by status and result code. */
export function describeRound({ results }: OverloadRound): string {
    const flows = organisations.flatMap(({ name }) => flowsOf(name));
    return flows.map(flow => {
        const flowResults = results.filter(result => result.flow === flow);
        const perSecond = Array.from(
            { length: Math.ceil(timeline.endMs / 1000) },
            (_, second) => completedBetween(flowResults, second * 1000, (second + 1) * 1000).length,
        );
        const outcomeCounts = new Map<string, number>();
        flowResults.filter(result => !result.completed).forEach(({ status, code }) => {
            const outcome = `${status}/${code}`;
            outcomeCounts.set(outcome, (outcomeCounts.get(outcome) ?? 0) + 1);
        });
        return `  ${flow}: ${perSecond.join(" ")}; not completed: ${JSON.stringify(Object.fromEntries(outcomeCounts))}`;
    }).join("\n");
}
