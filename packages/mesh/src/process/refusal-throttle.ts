/**
 * Rejects new requests at the entry node when calls downstream are refused.
 *
 * Handles an overload of a service deep in the call graph whose servers refuse calls: the entry node admits fewer requests
 * until refusals are rare, and rejects the least important requests first. In a large fleet each entry node gets few
 * requests of a service, and waits longer for their outcomes.
 */
import type { Clock } from "@radishrouter/core";
import type { ThrottleDecision } from "./downstream-throttle.js";
import type { RequestThrottle } from "./overload-signal.js";

interface PriorityClass {
    /** Fraction of its requests that is admitted. */
    admittedFraction: number;
    /** Downstream pressure above which the admitted fraction is reduced. */
    readonly pressureLimit: number;
}

interface ServiceRecord {
    readonly classes: readonly PriorityClass[];
    /** Requests in the current interval, admitted or not. */
    offeredCount: number;
    sampleCount: number;
    pressureSum: number;
    adjustedAtMs: number;
    lastPressure: number;
    /** Time at which the throttle began to reject requests; undefined while all are admitted. */
    throttledSinceMs: number | undefined;
}

/** Fraction of refused calls above which requests of each priority are rejected, the most important first. */
const PRESSURE_LIMITS = [0.2, 0.1, 0.04] as const;
const ADJUST_INTERVAL_MS = 150;
const MINIMUM_SAMPLES = 2;
/** A node that gets fewer requests than this in an interval waits longer for outcomes. */
const MINIMUM_OFFERED = 4;
const MAXIMUM_INTERVAL_MS = 1_000;
/** Recovery takes longer where few requests come and no outcome has shown that the overload is over. */
const UNINFORMED_STEP_MS = 300;
/** Steps of a long interval that count for the reduction after it. */
const MAXIMUM_REDUCTION_STEPS = 4;
const RECOVERY_FACTOR = 1.12;
const RECOVERY_STEP = 0.01;
const MAXIMUM_REDUCTION = 0.3;
/** Some requests are always admitted, because only their outcomes show when the services downstream recover. */
const MINIMUM_ADMITTED_FRACTION = 0.08;
const MINIMUM_RETRY_AFTER_MS = 600;
const MAXIMUM_RETRY_AFTER_MS = 4_000;
/** Random addition to the retry-after time, as a fraction of it, so that rejected callers do not return together. */
const RETRY_AFTER_JITTER = 0.5;

const ADMITTED: ThrottleDecision = { kind: "admitted" };

/** Admits new requests to each service depending on the downstream pressure of that service. */
export class RefusalThrottle implements RequestThrottle {
    private readonly services = new Map<string, ServiceRecord>();

    private constructor(private readonly clock: Clock, private readonly random: () => number) {}

    static create(clock: Clock, random: () => number = Math.random): RefusalThrottle {
        return new RefusalThrottle(clock, random);
    }

    /** Decides whether a new request to a service is admitted; priority 0 is the most important. */
    decide(service: string, priority: number): ThrottleDecision {
        const record = this.services.get(service);
        if (!record) {
            return ADMITTED;
        }
        record.offeredCount++;
        this.adjust(record);
        const { admittedFraction } = record.classes[Math.min(priority, record.classes.length - 1)]!;
        if (admittedFraction >= 1 || this.random() < admittedFraction) {
            return ADMITTED;
        }
        const retryAfterMs = this.retryAfterMs(record);
        return { kind: "refused", pressure: record.lastPressure, admittedFraction, retryAfterMs };
    }

    /** Records the downstream pressure that was reported with the outcome of a request. */
    record(service: string, pressure: number): void {
        let record = this.services.get(service);
        if (!record) {
            if (pressure <= 0) {
                return;
            }
            record = createRecord(this.clock.nowMs());
            this.services.set(service, record);
        }
        record.sampleCount++;
        record.pressureSum += pressure;
        this.adjust(record);
    }

    /** Smallest fraction of requests that is admitted to any service; 1 while nothing is refused. */
    leastAdmittedFraction(): number {
        const fractions = [...this.services.values()].flatMap(record => {
            this.adjust(record);
            return record.classes.map(({ admittedFraction }) => admittedFraction);
        });
        return Math.min(1, ...fractions);
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
        const isRare = record.offeredCount < MINIMUM_OFFERED;
        if (elapsedMs < (isRare ? MAXIMUM_INTERVAL_MS : ADJUST_INTERVAL_MS)) {
            return;
        }
        record.lastPressure = pressureOf(record, elapsedMs);
        const isUninformed = isRare && record.sampleCount === 0;
        const steps = Math.floor(elapsedMs / (isUninformed ? UNINFORMED_STEP_MS : ADJUST_INTERVAL_MS));
        record.classes.forEach(priorityClass => adjustClass(priorityClass, record.lastPressure, steps));
        const isThrottled = record.classes.some(({ admittedFraction }) => admittedFraction < 1);
        record.throttledSinceMs = isThrottled ? record.throttledSinceMs ?? nowMs : undefined;
        record.offeredCount = 0;
        record.sampleCount = 0;
        record.pressureSum = 0;
        record.adjustedAtMs = nowMs;
    }
}

function createRecord(nowMs: number): ServiceRecord {
    const classes = PRESSURE_LIMITS.map(pressureLimit => ({ admittedFraction: 1, pressureLimit }));
    return {
        classes,
        offeredCount: 0,
        sampleCount: 0,
        pressureSum: 0,
        adjustedAtMs: nowMs,
        lastPressure: 0,
        throttledSinceMs: undefined,
    };
}

/** Mean pressure of an interval; 0 if too few outcomes show it. Each outcome of a long interval counts. */
function pressureOf({ sampleCount, pressureSum }: ServiceRecord, intervalMs: number): number {
    const minimumSamples = intervalMs > 2 * ADJUST_INTERVAL_MS ? 1 : MINIMUM_SAMPLES;
    return sampleCount >= minimumSamples ? pressureSum / sampleCount : 0;
}

/** Adjusts a class after an interval of some steps of {@link ADJUST_INTERVAL_MS}. */
function adjustClass(priorityClass: PriorityClass, pressure: number, steps: number): void {
    if (pressure > priorityClass.pressureLimit) {
        const reduction = Math.min(MAXIMUM_REDUCTION, pressure);
        const keptFraction = (1 - reduction) ** Math.min(steps, MAXIMUM_REDUCTION_STEPS);
        priorityClass.admittedFraction = Math.max(
            MINIMUM_ADMITTED_FRACTION,
            priorityClass.admittedFraction * keptFraction,
        );
        return;
    }
    for (let step = 0; step < steps && priorityClass.admittedFraction < 1; step++) {
        priorityClass.admittedFraction = Math.min(1, priorityClass.admittedFraction * RECOVERY_FACTOR + RECOVERY_STEP);
    }
}
