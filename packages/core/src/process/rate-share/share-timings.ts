/**
 * Durations of leases and grants, and their conversion to the clock of a lender.
 */

/** Durations that must be the same on all nodes of a deployment, in milliseconds unless named otherwise. */
export interface ShareTimings {
    /** Interval between housekeeping runs and between grant requests. */
    readonly tickMs: number;
    /** Maximum duration of a lease of a seat's share within a failure domain. */
    readonly leaseMs: number;
    readonly leaseRenewMs: number;
    /** Maximum duration of a lease between collectors of two failure domains. */
    readonly subleaseMs: number;
    readonly subleaseRenewMs: number;
    /** Maximum lifetime of granted tokens. */
    readonly grantMs: number;
    /** Maximum time that a request waits for a token. */
    readonly maximumWaitMs: number;
    /** Minimum time without a tick for which the process counts as paused. */
    readonly pauseMs: number;
    /** Added to each duration that a lender measures, to allow for the resolution of clocks. */
    readonly clockMarginMs: number;
    /** Maximum deviation of any clock's rate from true time; 0.001 is 1 ms in a second. */
    readonly driftFraction: number;
}

/** Time whose demand an entry node prefetches tokens for, in milliseconds. */
export const PREFETCH_MS = 200;

/** Default durations; only tests use others. */
export const defaultShareTimings: ShareTimings = {
    tickMs: 100,
    leaseMs: 3_000,
    leaseRenewMs: 1_000,
    subleaseMs: 1_500,
    subleaseRenewMs: 500,
    grantMs: 800,
    maximumWaitMs: 400,
    pauseMs: 1_000,
    clockMarginMs: 20,
    driftFraction: 0.001,
};

/** Duration after which a lender may assume that a borrower's duration, measured by another clock, has ended. */
export function lenderDurationMs(timings: ShareTimings, durationMs: number): number {
    return durationMs * (1 + 3 * timings.driftFraction) + timings.clockMarginMs;
}

/** Time that a new process of a seat waits until no lease or grant of the previous process can be in use. */
export function restartWaitMs(timings: ShareTimings): number {
    return lenderDurationMs(timings, timings.leaseMs + timings.grantMs);
}
