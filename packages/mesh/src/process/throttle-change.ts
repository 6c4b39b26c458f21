/**
 * Start and end of the time in which an entry node refuses requests for the load of the services downstream.
 */
import type { RequestLog } from "./request-log.js";

/** Start or end of the time in which requests to a service are refused. */
export interface ThrottleChange {
    readonly service: string;
    readonly isThrottled: boolean;
    readonly pressure: number;
    readonly admittedFraction: number;
    /** Time for which requests were refused; 0 at the start. */
    readonly lastedMs: number;
}

const LOG_DECIMALS = 2;

/** Writes a change to a log. */
export function logThrottleChange(log: RequestLog, change: ThrottleChange): void {
    const { service, isThrottled, pressure, admittedFraction, lastedMs } = change;
    log.event(isThrottled ? "requests-throttled" : "requests-not-throttled", {
        service,
        pressure: Number(pressure.toFixed(LOG_DECIMALS)),
        admittedFraction: Number(admittedFraction.toFixed(LOG_DECIMALS)),
        lastedMs: Math.round(lastedMs),
    });
}
