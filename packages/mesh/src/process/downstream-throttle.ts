/**
 * Turns new requests away at the entry when the services below cannot carry them.
 *
 * Answers a load that a deep service cannot carry: a request needs all of its calls, so when a part of the calls is
 * refused, most requests fail after they have cost all services above. The nodes beside the servers tell how hard
 * their onward calls are to place; the entry admits less until that is rare, the least important requests first.
 */
import type { Clock } from "@radishrouter/core";

/** Whether a request is admitted. */
export type ThrottleDecision =
    | { readonly kind: "admitted"; }
    | {
        readonly kind: "refused";
        readonly pressure: number;
        readonly admittedFraction: number;
        readonly retryAfterMs: number;
    };

interface PriorityClass {
    /** Part of its requests that is admitted. */
    admittedPart: number;
    readonly pressureLimit: number;
}

interface ServiceRecord {
    readonly classes: readonly PriorityClass[];
    samples: number;
    total: number;
    adjustedAtMs: number;
    lastPressure: number;
    /** Time at which requests began to be turned away; undefined while all are admitted. */
    throttledSinceMs: number | undefined;
}

/** Part of the calls that may be refused before requests of each priority are turned away, most important first. */
const PRESSURE_LIMITS = [0.2, 0.1, 0.04] as const;
const ADJUST_INTERVAL_MS = 150;
const LEAST_SAMPLES = 2;
const GROWTH = 1.12;
const GROWTH_STEP = 0.01;
const LARGEST_CUT = 0.3;
/** Some requests are always admitted, as they tell when the chain recovers. */
const LEAST_ADMITTED_PART = 0.08;
const RETRY_AFTER_AT_LEAST_MS = 600;
const RETRY_AFTER_AT_MOST_MS = 4_000;
/** A refused request comes back spread over this part of its waiting time more. */
const RETRY_SPREAD = 0.5;

const ADMITTED: ThrottleDecision = { kind: "admitted" };

/** Admission of new requests by the pressure below the service that they go to. */
export class DownstreamThrottle {
    private readonly services = new Map<string, ServiceRecord>();

    private constructor(private readonly clock: Clock, private readonly random: () => number) {}

    static create(clock: Clock, random: () => number = Math.random): DownstreamThrottle {
        return new DownstreamThrottle(clock, random);
    }

    /** Decides about a new request to a service by its priority; 0 is the most important. */
    decide(service: string, priority: number): ThrottleDecision {
        const record = this.services.get(service);
        if (!record) {
            return ADMITTED;
        }
        this.adjust(record);
        const { admittedPart } = record.classes[Math.min(priority, record.classes.length - 1)]!;
        if (admittedPart >= 1 || this.random() < admittedPart) {
            return ADMITTED;
        }
        const retryAfterMs = this.retryAfterMs(record);
        return { kind: "refused", pressure: record.lastPressure, admittedFraction: admittedPart, retryAfterMs };
    }

    /** Records the pressure that was told with the outcome of a request. */
    record(service: string, pressure: number): void {
        let record = this.services.get(service);
        if (!record) {
            if (pressure <= 0) {
                return;
            }
            record = createRecord(this.clock.nowMs());
            this.services.set(service, record);
        }
        record.samples++;
        record.total += pressure;
        this.adjust(record);
    }

    /** An overload that has lasted for long is expected to last on for about as long. */
    private retryAfterMs(record: ServiceRecord): number {
        const lastedMs = this.clock.nowMs() - (record.throttledSinceMs ?? this.clock.nowMs());
        const leastMs = Math.min(RETRY_AFTER_AT_MOST_MS, Math.max(RETRY_AFTER_AT_LEAST_MS, lastedMs));
        return leastMs * (1 + this.random() * RETRY_SPREAD);
    }

    private adjust(record: ServiceRecord): void {
        const nowMs = this.clock.nowMs();
        if (nowMs - record.adjustedAtMs < ADJUST_INTERVAL_MS) {
            return;
        }
        const steps = Math.floor((nowMs - record.adjustedAtMs) / ADJUST_INTERVAL_MS);
        const pressure = record.samples >= LEAST_SAMPLES ? record.total / record.samples : 0;
        record.lastPressure = pressure;
        record.classes.forEach(priorityClass => adjustClass(priorityClass, pressure, steps));
        const isThrottled = record.classes.some(({ admittedPart }) => admittedPart < 1);
        record.throttledSinceMs = isThrottled ? record.throttledSinceMs ?? nowMs : undefined;
        record.samples = 0;
        record.total = 0;
        record.adjustedAtMs = nowMs;
    }
}

function createRecord(nowMs: number): ServiceRecord {
    const classes = PRESSURE_LIMITS.map(pressureLimit => ({ admittedPart: 1, pressureLimit }));
    return { classes, samples: 0, total: 0, adjustedAtMs: nowMs, lastPressure: 0, throttledSinceMs: undefined };
}

function adjustClass(priorityClass: PriorityClass, pressure: number, steps: number): void {
    if (pressure > priorityClass.pressureLimit) {
        const cut = Math.min(LARGEST_CUT, pressure);
        priorityClass.admittedPart = Math.max(LEAST_ADMITTED_PART, priorityClass.admittedPart * (1 - cut));
        return;
    }
    for (let step = 0; step < steps && priorityClass.admittedPart < 1; step++) {
        priorityClass.admittedPart = Math.min(1, priorityClass.admittedPart * GROWTH + GROWTH_STEP);
    }
}
