/**
 * Measures of the `overload` scenario, from what callers and backend servers recorded.
 */
import { build } from "hdr-histogram-js";
import type { RunRecord } from "../../standin/backend-server.js";
import type { LoadResult } from "../load/load-plan.js";
import type { Measures } from "../scenario.js";
import { fairShares } from "./fair-share.js";
import { criticalFlow, organisations, SLOWNESS_FACTOR, timeline } from "./workload.js";

const RECOVERY_WINDOW_MS = 500;
const RECOVERY_STEP_MS = 100;
const RECOVERED_RATIO = 0.95;

/** What one round of the scenario recorded. */
export interface OverloadRound {
    /** Requests per second that the deep service completed when saturated directly, without slowness. */
    readonly capacity: number;
    readonly results: readonly LoadResult[];
    readonly runs: readonly RunRecord[];
}

/** Measures of one round. */
export function measureRound(round: OverloadRound): Measures {
    const latency = build({ numberOfSignificantValueDigits: 3 });
    const done = round.results.filter(result => result.completed);
    done.forEach(result => latency.recordValue(Math.max(1, Math.round(result.endMs - result.intendedMs))));
    return {
        goodput_ratio: goodputRatio(round),
        recovery_ms: recoveryMs(round.results),
        worst_organisation_ratio: worstOrganisationRatio(round),
        important_completed_ratio: importantCompletedRatio(round.results),
        refused_within_rate_ratio: refusedWithinRateRatio(round.results),
        wasted_work_ratio: wastedWorkRatio(round),
        latency_p50_ms: latency.getValueAtPercentile(50),
        latency_p99_ms: latency.getValueAtPercentile(99),
        capacity_per_second: Math.round(round.capacity),
    };
}

function flowsOf(organisation: string): readonly string[] {
    return [organisation, criticalFlow(organisation)];
}

function completedBetween(results: readonly LoadResult[], startMs: number, endMs: number): LoadResult[] {
    return results.filter(result => result.completed && result.endMs >= startMs && result.endMs < endMs);
}

/** Parts of the surge with the capacity of each, in requests. */
function surgeParts(capacity: number): { startMs: number; endMs: number; capacity: number; }[] {
    const { surgeStartMs, slowStartMs, slowEndMs, surgeEndMs } = timeline;
    const parts = [
        { startMs: surgeStartMs, endMs: slowStartMs, capacity },
        { startMs: slowStartMs, endMs: slowEndMs, capacity: capacity / SLOWNESS_FACTOR },
        { startMs: slowEndMs, endMs: surgeEndMs, capacity },
    ];
    return parts.map(part => ({ ...part, capacity: part.capacity * (part.endMs - part.startMs) / 1000 }));
}

function goodputRatio({ capacity, results }: OverloadRound): number {
    const duringSurge = surgeParts(capacity).reduce((sum, part) => sum + part.capacity, 0);
    const after = results.filter(result => result.intendedMs >= timeline.surgeEndMs);
    const completed = completedBetween(results, timeline.surgeStartMs, timeline.surgeEndMs).length +
        after.filter(result => result.completed).length;
    return completed / (duringSurge + after.length);
}

/** Time from the end of the surge until every later window of callers' requests is completed. */
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
    for (const part of surgeParts(capacity)) {
        const demands = organisations.map(organisation => ({
            name: organisation.name,
            weight: organisation.weight,
            demand: results.filter(({ flow, intendedMs }) =>
                flowsOf(organisation.name).includes(flow) && intendedMs >= part.startMs && intendedMs < part.endMs
            ).length,
        }));
        for (const [name, share] of fairShares(part.capacity, demands)) {
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

function importantCompletedRatio(results: readonly LoadResult[]): number {
    const important = results.filter(result => organisations.some(({ name }) => result.flow === criticalFlow(name)));
    return important.filter(result => result.completed).length / important.length;
}

/** Part of the requests of the organisation that stays within its share that were not completed. */
function refusedWithinRateRatio(results: readonly LoadResult[]): number {
    const within = organisations.reduce((least, other) => other.surgePart < least.surgePart ? other : least);
    const own = results.filter(result => flowsOf(within.name).includes(result.flow));
    return own.filter(result => !result.completed).length / own.length;
}

/** Part of the runs on backend servers whose root attempt was not completed. */
function wastedWorkRatio({ results, runs }: OverloadRound): number {
    const completed = new Set(
        results.filter(result => result.completed).map(result => `${result.id}/${result.attempts}`),
    );
    const started = runs.filter(run => run.event === "start" && run.requestId.includes("/"));
    return started.filter(run => !completed.has(run.requestId)).length / started.length;
}

/** Completions of each second and how the other requests ended, for reading. */
export function describeRound({ results }: OverloadRound): string {
    const flows = organisations.flatMap(({ name }) => flowsOf(name));
    return flows.map(flow => {
        const own = results.filter(result => result.flow === flow);
        const perSecond = Array.from(
            { length: Math.ceil(timeline.endMs / 1000) },
            (_, second) => completedBetween(own, second * 1000, (second + 1) * 1000).length,
        );
        const endings = new Map<string, number>();
        own.filter(result => !result.completed).forEach(({ status, code }) => {
            const ending = `${status}/${code}`;
            endings.set(ending, (endings.get(ending) ?? 0) + 1);
        });
        return `  ${flow}: ${perSecond.join(" ")}; not completed: ${JSON.stringify(Object.fromEntries(endings))}`;
    }).join("\n");
}
