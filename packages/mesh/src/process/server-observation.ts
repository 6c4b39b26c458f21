/**
 * What a node observes of one backend server: its own attempts there, and what other nodes report of it.
 */
import { decayFactor } from "@radishrouter/core";
import type { LoadExcess } from "./capacity-meter.js";
import type { KnownServer } from "./server-directory.js";
import type { ServerLoad } from "./server-gate.js";

/** Speed of a server, as the node on its host measures it; fields are left out until they are known. */
export interface SpeedReport {
    /** Mean service time, as it would be without the momentary slowness. */
    readonly serviceMs?: number;
    /** How long work takes at the server now, in percent of the usual time. */
    readonly slownessPercent?: number;
    /** Requests that the server runs or keeps waiting beside those that its node admitted. */
    readonly unseenWork?: number;
}

/** Load and speed of a server, without what only direct reports contain. */
export interface LoadReport extends SpeedReport {
    readonly load: ServerLoad;
}

/** What the node on a server's host reports of the server. */
export interface ServerReport extends LoadReport {
    /** Downstream pressure: fraction of the server's recent downstream calls that were refused for lack of capacity. */
    readonly onwardPressure: number;
    /** Fraction of their requests that nodes should send to the server; 1 if it names no rate. */
    readonly rateShare: number;
    /** Fraction of the offered load that the server cannot take; left out while it takes all, and by earlier versions. */
    readonly excess?: LoadExcess;
}

/** A known load, and how old it is. */
export interface KnownLoad {
    readonly report: LoadReport;
    readonly ageMs: number;
}

/** Observed state of one server. */
export interface ServerObservation {
    readonly service: string;
    /** Attempts of this node that are in flight at the server. */
    localInFlight: number;
    /** Requests of other nodes that were in flight or waiting at the last report. */
    othersInFlight: number;
    limit: number;
    /** Downstream pressure at the last direct report. */
    onwardPressure: number;
    /** Fraction of the requests for which the server is in the choice, at the last direct report. */
    rateShare: number;
    /** When the last direct report was received. */
    reportedAtMs: number;
    /** When the load was measured that is known now; `-Infinity` if none is. */
    loadAtMs: number;
    /** Last reported service time; 0 if none is known. */
    serviceMs: number;
    slowness: number;
    /** Fraction of the recent attempts that failed at the server. */
    failedFraction: number;
    avoidUntilMs: number;
    /** Whether the server is avoided only because the node on its host does not respond. */
    isDoubtful: boolean;
}

/** Time in which a load report loses half of its weight: some service times, after which other requests run there. */
const REPORT_HALF_LIFE_MS = 250;
/** Slow spells last about half a second; a report that is as old says nothing any more. */
const SLOWNESS_HALF_LIFE_MS = 200;
/** Longer, because the speed of a server is a lasting property; 60 servers are seen in 20 s at 3 requests a second. */
const SPEED_HALF_LIFE_MS = 20_000;
/** Time in which half of a rate share is forgotten, so that a node which sends seldom learns that a limit has ended. */
const RATE_SHARE_HALF_LIFE_MS = 30_000;
const MINIMUM_SLOWNESS = 0.5;
const MAXIMUM_SLOWNESS = 3;
/** Bounds of the service time relative to the median of the service: a wrong report has no more effect than this. */
const MINIMUM_RELATIVE_TIME = 0.5;
const MAXIMUM_RELATIVE_TIME = 2.5;
/** Largest load that is believed, as a multiple of the limit. */
const MAXIMUM_REPORTED_UTILIZATION = 4;
const PERCENT = 100;

/** State of a server of which nothing is known yet. */
export function createObservation(server: KnownServer, nowMs: number): ServerObservation {
    return {
        service: server.service,
        localInFlight: 0,
        othersInFlight: 0,
        limit: Math.max(1, server.slots),
        onwardPressure: 0,
        rateShare: 1,
        reportedAtMs: nowMs,
        loadAtMs: -Infinity,
        serviceMs: 0,
        slowness: 1,
        failedFraction: 0,
        avoidUntilMs: 0,
        isDoubtful: false,
    };
}

/** Stores a report of the load that was measured at `measuredAtMs`, unless a later one is known. */
export function applyLoad(observation: ServerObservation, report: LoadReport, measuredAtMs: number): boolean {
    const { load, serviceMs, slownessPercent } = report;
    const total = load.open + load.waiting + atLeastZero(report.unseenWork);
    if (measuredAtMs <= observation.loadAtMs || !(load.limit >= 1) || !(total >= 0)) {
        return false;
    }
    const bounded = Math.min(total, load.limit * MAXIMUM_REPORTED_UTILIZATION);
    observation.limit = load.limit;
    observation.othersInFlight = Math.max(0, bounded - observation.localInFlight);
    observation.loadAtMs = measuredAtMs;
    observation.serviceMs = atLeastZero(serviceMs) || observation.serviceMs;
    observation.slowness = bound(
        (atLeastZero(slownessPercent) || PERCENT) / PERCENT,
        MINIMUM_SLOWNESS,
        MAXIMUM_SLOWNESS,
    );
    return true;
}

/** The load that is known of a server, for other nodes; undefined if none is. */
export function toKnownLoad(observation: ServerObservation, nowMs: number): KnownLoad | undefined {
    const { loadAtMs, othersInFlight, localInFlight, limit, serviceMs, slowness } = observation;
    if (loadAtMs === -Infinity) {
        return undefined;
    }
    const work = othersInFlight + localInFlight;
    const report: LoadReport = {
        load: { open: Math.min(work, limit), waiting: Math.max(0, work - limit), limit },
        ...serviceMs > 0 && { serviceMs },
        ...slowness !== 1 && { slownessPercent: Math.round(slowness * PERCENT) },
    };
    return { report, ageMs: nowMs - loadAtMs };
}

/** Weight, from 1 towards 0, of the load at the last report. */
export function loadWeight({ loadAtMs }: ServerObservation, nowMs: number): number {
    return decayFactor(nowMs - loadAtMs, REPORT_HALF_LIFE_MS);
}

/** Fraction of the requests for which a server is in the choice, by the rate that it names. */
export function currentRateShare({ rateShare, reportedAtMs }: ServerObservation, nowMs: number): number {
    return rateShare >= 1 ? 1 : 1 - (1 - rateShare) * decayFactor(nowMs - reportedAtMs, RATE_SHARE_HALF_LIFE_MS);
}

/** Weight of the downstream pressure at the last direct report. */
export function directReportWeight({ reportedAtMs }: ServerObservation, nowMs: number): number {
    return decayFactor(nowMs - reportedAtMs, REPORT_HALF_LIFE_MS);
}

/** Estimated fraction of a server's slots that is in use; above 1 when requests wait. */
export function utilizationOf(observation: ServerObservation, nowMs: number): number {
    const others = observation.othersInFlight === 0 ? 0 : observation.othersInFlight * loadWeight(observation, nowMs);
    return (observation.localInFlight + others) / observation.limit;
}

/**
 * Expected service time of a server now, as a multiple of the median of its service; 1 if nothing is known of it. The
 * older the report, the nearer to 1.
 */
export function relativeServiceTime(observation: ServerObservation, medianMs: number, nowMs: number): number {
    const ageMs = nowMs - observation.loadAtMs;
    let time = 1;
    if (observation.serviceMs > 0 && medianMs > 0) {
        const relative = bound(observation.serviceMs / medianMs, MINIMUM_RELATIVE_TIME, MAXIMUM_RELATIVE_TIME);
        time += (relative - 1) * decayFactor(ageMs, SPEED_HALF_LIFE_MS);
    }
    return observation.slowness === 1 ? time : time * momentarySlowness(observation, nowMs);
}

/** Slowness that a server last stated; the older, the nearer to 1. */
export function momentarySlowness({ slowness, loadAtMs }: ServerObservation, nowMs: number): number {
    return 1 + (slowness - 1) * decayFactor(nowMs - loadAtMs, SLOWNESS_HALF_LIFE_MS);
}

function atLeastZero(value: number | undefined): number {
    return value !== undefined && value > 0 ? value : 0;
}

function bound(value: number, minimum: number, maximum: number): number {
    return Math.min(maximum, Math.max(minimum, value));
}
