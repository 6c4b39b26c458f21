/**
 * Measures downstream pressure: the fraction of the local backend server's requests that the services below it cannot
 * take.
 *
 * Handles an overload anywhere below the server. A call counts as refused when it was refused for lack of capacity or
 * ended at its deadline, and otherwise with the excess or the downstream pressure that the called node reported. So the
 * excess of the deepest service propagates up the call chain, one call at a time. Where several services are called,
 * the greatest value counts, because a request needs all of its calls.
 */
import type { Clock } from "@radishrouter/core";
import { decayFactor } from "@radishrouter/core";
import type { CallPressure } from "./overload-signal.js";

/** Short, so that calls that timed out do not count long after the overload is over. */
const HALF_LIFE_MS = 300;
/** Reports are means already; a longer half-life would add its delay at each level of the chain. */
const REPORT_HALF_LIFE_MS = 100;
/** Half-life of the calls per request, which change with releases of the server rather than with the load. */
const FAN_OUT_HALF_LIFE_MS = 5_000;
/** Calls that are assumed to have been served before any is recorded. */
const PRIOR_CALLS = 2;
/** Fraction of calls that is refused by chance at a service which is just full. */
const TOLERATED_REFUSALS = 0.05;
/** Requests from which the calls per request are known. */
const MINIMUM_REQUESTS = 3;
/** Calls within the half-life of the fan-out below which a service is forgotten. */
const MINIMUM_CALLS = 0.01;
/** Observations within this time decay together, which saves the power function on most calls. */
const DECAY_STEP_MS = 5;

/** Calls to one service; all counts decay. */
interface CalledService {
    calls: number;
    refused: number;
    reports: number;
    reportedSum: number;
    /** Calls by the half-life of the fan-out. */
    fanOutCalls: number;
    decayedAtMs: number;
    recordedAtMs: number;
}

/** Downstream pressure of one backend server, from 0 to 1. */
export class DownstreamPressure implements CallPressure {
    private readonly services = new Map<string, CalledService>();
    /** Requests that the backend server began, by the half-life of the fan-out. */
    private requests = 0;
    private requestsDecayedAtMs: number;

    private constructor(private readonly clock: Clock) {
        this.requestsDecayedAtMs = clock.nowMs();
    }

    static create(clock: Clock): DownstreamPressure {
        return new DownstreamPressure(clock);
    }

    /** Records a request that is sent to the backend server, so that its calls per request are known. */
    recordRequest(): void {
        this.decayRequests();
        this.requests++;
    }

    /**
     * Records a downstream call to a service with its pressure: 1 if it was refused for lack of capacity or ended at
     * its deadline, otherwise what the called node reported.
     */
    record(pressure: number, service = ""): void {
        const nowMs = this.clock.nowMs();
        let called = this.services.get(service);
        if (!called) {
            called = createCalledService(nowMs);
            this.services.set(service, called);
        }
        decay(called, nowMs);
        called.recordedAtMs = nowMs;
        called.calls++;
        called.fanOutCalls++;
        if (pressure >= 1) {
            called.refused++;
            return;
        }
        called.reports++;
        called.reportedSum += Math.max(0, pressure);
    }

    /** Greatest pressure of the called services; it decays to 0 while there are no calls. */
    current(): number {
        const nowMs = this.clock.nowMs();
        let greatest = 0;
        for (const [name, called] of this.services) {
            decay(called, nowMs);
            if (called.fanOutCalls < MINIMUM_CALLS) {
                this.services.delete(name);
                continue;
            }
            if (called.refused > 0 || called.reportedSum > 0) {
                greatest = Math.max(greatest, this.pressureOf(called, nowMs));
            }
        }
        return greatest;
    }

    /** Calls per request to a service; undefined until enough requests were seen. */
    callsPerRequest(service: string): number | undefined {
        const called = this.services.get(service);
        return called && this.fanOutOf(called);
    }

    /** A service that is called by a part of the requests only counts by that part. */
    private pressureOf(called: CalledService, nowMs: number): number {
        const refused = (called.refused / (called.calls + PRIOR_CALLS) - TOLERATED_REFUSALS) / (1 - TOLERATED_REFUSALS);
        const reported = called.reportedSum / Math.max(Number.MIN_VALUE, called.reports);
        const weight = Math.min(1, this.fanOutOf(called) ?? 1);
        return Math.max(refused, reported) * weight * decayFactor(nowMs - called.recordedAtMs, HALF_LIFE_MS);
    }

    private fanOutOf(called: CalledService): number | undefined {
        this.decayRequests();
        return this.requests < MINIMUM_REQUESTS ? undefined : called.fanOutCalls / this.requests;
    }

    private decayRequests(): void {
        const nowMs = this.clock.nowMs();
        const elapsedMs = nowMs - this.requestsDecayedAtMs;
        if (elapsedMs >= DECAY_STEP_MS) {
            this.requests *= decayFactor(elapsedMs, FAN_OUT_HALF_LIFE_MS);
            this.requestsDecayedAtMs = nowMs;
        }
    }
}

function createCalledService(nowMs: number): CalledService {
    return {
        calls: 0,
        refused: 0,
        reports: 0,
        reportedSum: 0,
        fanOutCalls: 0,
        decayedAtMs: nowMs,
        recordedAtMs: nowMs,
    };
}

function decay(called: CalledService, nowMs: number): void {
    const elapsedMs = nowMs - called.decayedAtMs;
    if (elapsedMs < DECAY_STEP_MS) {
        return;
    }
    const factor = decayFactor(elapsedMs, HALF_LIFE_MS);
    const reportFactor = decayFactor(elapsedMs, REPORT_HALF_LIFE_MS);
    called.calls *= factor;
    called.refused *= factor;
    called.reports *= reportFactor;
    called.reportedSum *= reportFactor;
    called.fanOutCalls *= decayFactor(elapsedMs, FAN_OUT_HALF_LIFE_MS);
    called.decayedAtMs = nowMs;
}
