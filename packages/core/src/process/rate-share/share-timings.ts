/**
 * Durations of leases and grants, and how a lender counts them.
 */

/** Durations that all nodes of a deployment share, in milliseconds unless named otherwise. */
export interface ShareTimings {
    /** Interval of housekeeping and of requests for grants. */
    readonly tickMs: number;
    /** Longest lease of a seat's share within a failure domain. */
    readonly leaseMs: number;
    readonly leaseRenewMs: number;
    /** Longest lease between the collectors of two failure domains. */
    readonly subleaseMs: number;
    readonly subleaseRenewMs: number;
    /** Longest life of granted tokens. */
    readonly grantMs: number;
    /** Longest time that a request waits for a grant. */
    readonly waitMs: number;
    /** Time without a tick from which the process counts as paused. */
    readonly pauseMs: number;
    /** Added to what a lender counts, for the resolution of clocks. */
    readonly marginMs: number;
    /** Largest deviation of any clock's rate from true time; 0.001 is 1 ms in a second. */
    readonly driftFraction: number;
}

/** The stock of an entry node is sized for the demand of this time, in milliseconds. */
export const STOCK_MS = 200;

/** Durations in use unless a test sets others. */
export const defaultShareTimings: ShareTimings = {
    tickMs: 100,
    leaseMs: 3_000,
    leaseRenewMs: 1_000,
    subleaseMs: 1_500,
    subleaseRenewMs: 500,
    grantMs: 800,
    waitMs: 400,
    pauseMs: 1_000,
    marginMs: 20,
    driftFraction: 0.001,
};

/** What a lender counts for a duration that a borrower counts by another clock. */
export function lenderDurationMs(timings: ShareTimings, durationMs: number): number {
    return durationMs * (1 + 3 * timings.driftFraction) + timings.marginMs;
}

/** How long a new process of a seat waits until nothing that its predecessor gave can be in use. */
export function restartWaitMs(timings: ShareTimings): number {
    return lenderDurationMs(timings, timings.leaseMs + timings.grantMs);
}
