/**
 * Rejects new requests at the entry node when the services downstream are overloaded.
 *
 * Handles a load above what a service deep in the call graph carries: a request needs all of its downstream calls, so
 * when some of them are refused, most requests fail after they have consumed capacity in all services above. Outcomes
 * carry the fraction of the offered load that is too much, and the entry node admits whole requests in proportion. That
 * fraction belongs to the requests that were admitted some time ago, so it is applied to the rate admitted then; applied
 * to the current one, the same excess would count again with each report. A rate is admitted rather than a fraction,
 * because a fraction passes on each burst. In a large fleet each entry node gets few requests of a service: one report
 * suffices, because it sums up all calls of a server.
 */
import type { Clock } from "@radishrouter/core";
import { decayFactor } from "@radishrouter/core";
import { classOf } from "./class-fractions.js";
import { DEFAULT_WEIGHT } from "./organisation-weight.js";
import type { RequestThrottle } from "./overload-signal.js";
import type { ThrottleChange } from "./throttle-change.js";
import { createRecord, fractionOf, grow, PRESSURE_LIMIT, reduce, refill, tryTake } from "./throttled-rate.js";
import type { ServiceRecord } from "./throttled-rate.js";

/** Whether a new request is admitted. */
export type ThrottleDecision =
    | { readonly kind: "admitted"; }
    | {
        readonly kind: "refused";
        readonly pressure: number;
        /** Fraction of the requests of the same class and organisation that is admitted. */
        readonly admittedFraction: number;
        readonly retryAfterMs: number;
    };

const ADJUST_INTERVAL_MS = 25;
/** Half-life of the reports' mean. Where reports are rarer than this, the latest one counts. */
const REPORT_MEAN_HALF_LIFE_MS = 40;
/** Least weight of a report in the mean of reports that arrive together. */
const MINIMUM_REPORT_WEIGHT = 0.1;
/** Time in which a report loses half of its weight. */
const REPORT_HALF_LIFE_MS = 500;
/** Time without an admitted request after which one is admitted in any case. */
const PROBE_INTERVAL_MS = 1_500;
const MINIMUM_RETRY_AFTER_MS = 600;
const MAXIMUM_RETRY_AFTER_MS = 4_000;
/** Random addition to the retry-after time, as a fraction of it, so that rejected callers do not return together. */
const RETRY_AFTER_JITTER = 0.5;
/** Factor of the retry-after time of each class: what is more important returns earlier. */
const RETURN_FACTORS = [0.6, 0.8, 1] as const;

const ADMITTED: ThrottleDecision = { kind: "admitted" };

/** Admits new requests to each service depending on the downstream pressure of that service. */
export class DownstreamThrottle implements RequestThrottle {
    private readonly services = new Map<string, ServiceRecord>();

    private constructor(
        private readonly clock: Clock,
        private readonly random: () => number,
        private readonly onChange: (change: ThrottleChange) => void,
    ) {}

    /** `onChange` is called when requests to a service begin to be limited, and when all are admitted again. */
    static create(
        clock: Clock,
        random: () => number = Math.random,
        onChange: (change: ThrottleChange) => void = () => undefined,
    ): DownstreamThrottle {
        return new DownstreamThrottle(clock, random, onChange);
    }

    /**
     * Decides whether a new request to a service is admitted; priority 0 is the most important. Within a class an
     * organisation is admitted up to its share by weight before others get what is left.
     */
    decide(service: string, priority: number, organisation = "", weight = DEFAULT_WEIGHT): ThrottleDecision {
        const record = this.recordOf(service);
        const requestClass = classOf(priority);
        record.offered.count(requestClass);
        this.adjust(record);
        if (record.admittedRate === undefined) {
            return ADMITTED;
        }
        const nowMs = this.clock.nowMs();
        if (tryTake(record, requestClass, organisation, weight) || nowMs - record.admittedAtMs > PROBE_INTERVAL_MS) {
            record.admittedAtMs = nowMs;
            return ADMITTED;
        }
        record.refusedAtMs = nowMs;
        return {
            kind: "refused",
            pressure: record.pressure,
            admittedFraction: fractionOf(record, requestClass, organisation),
            retryAfterMs: this.retryAfterMs(record) * RETURN_FACTORS[requestClass]!,
        };
    }

    /** Records the downstream pressure that was reported with the outcome of a request. */
    record(service: string, pressure: number): void {
        const record = this.recordOf(service);
        const nowMs = this.clock.nowMs();
        const weight = 1 - decayFactor(nowMs - record.reportedAtMs, REPORT_MEAN_HALF_LIFE_MS);
        record.pressure += (Math.min(1, pressure) - record.pressure) * Math.max(MINIMUM_REPORT_WEIGHT, weight);
        record.reportedAtMs = nowMs;
        this.adjust(record);
    }

    /** Smallest fraction of requests that is admitted to any service; 1 while nothing is refused. */
    leastAdmittedFraction(): number {
        let least = 1;
        for (const record of this.services.values()) {
            this.adjust(record);
            least = Math.min(least, record.admittedFraction);
        }
        return least;
    }

    private recordOf(service: string): ServiceRecord {
        let record = this.services.get(service);
        if (!record) {
            record = createRecord(service, this.clock);
            this.services.set(service, record);
        }
        return record;
    }

    /** An overload is expected to continue for about as long as it has already lasted. */
    private retryAfterMs(record: ServiceRecord): number {
        const throttledForMs = this.clock.nowMs() - (record.throttledSinceMs ?? this.clock.nowMs());
        const baseMs = Math.min(MAXIMUM_RETRY_AFTER_MS, Math.max(MINIMUM_RETRY_AFTER_MS, throttledForMs));
        return baseMs * (1 + this.random() * RETRY_AFTER_JITTER);
    }

    private adjust(record: ServiceRecord): void {
        const nowMs = this.clock.nowMs();
        const elapsedMs = nowMs - record.adjustedAtMs;
        if (elapsedMs < ADJUST_INTERVAL_MS) {
            return;
        }
        record.adjustedAtMs = nowMs;
        const pressure = record.pressure * decayFactor(nowMs - record.reportedAtMs, REPORT_HALF_LIFE_MS);
        if (pressure > PRESSURE_LIMIT) {
            reduce(record, pressure, elapsedMs);
        }
        else if (record.admittedRate !== undefined) {
            grow(record, record.admittedRate, nowMs, elapsedMs);
        }
        if (record.admittedRate !== undefined) {
            refill(record, record.admittedRate, elapsedMs);
        }
        this.noteChange(record, nowMs);
    }

    private noteChange(record: ServiceRecord, nowMs: number): void {
        const isThrottled = record.admittedRate !== undefined;
        const wasThrottled = record.throttledSinceMs !== undefined;
        if (isThrottled === wasThrottled) {
            return;
        }
        const lastedMs = nowMs - (record.throttledSinceMs ?? nowMs);
        record.throttledSinceMs = isThrottled ? nowMs : undefined;
        const { service, pressure, admittedFraction } = record;
        this.onChange({ service, isThrottled, pressure, admittedFraction, lastedMs });
    }
}
