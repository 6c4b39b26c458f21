/**
 * Fleet-wide rate limits enforced with leased shares. Each share of a rate is counted at one process at a time.
 */
export { LeasedShareLimiter } from "./leased-share-limiter.js";
export type { LeasedShareLimiterOptions, ShareHolding } from "./leased-share-limiter.js";
export type { Seat } from "./seat-guard.js";
export type { ShareHost } from "./share-range.js";
export { defaultShareTimings } from "./share-timings.js";
export type { ShareTimings } from "./share-timings.js";
