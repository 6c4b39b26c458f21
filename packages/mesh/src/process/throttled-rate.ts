/**
 * Rate at which an entry node admits requests to one service.
 *
 * Handles reports that come late, seldom or not at all: reductions apply to the rate that the reports belong to, and the
 * rate grows slowly near what fits.
 */
import type { Clock } from "@radishrouter/core";
import { decayFactor } from "@radishrouter/core";
import { CLASS_COUNT, divideBetweenClasses, MINIMUM_CLASS_SHARE } from "./class-fractions.js";
import { OfferedRate } from "./offered-rate.js";
import { OrganisationShares } from "./organisation-shares.js";

/** Pressure up to which nothing is rejected: a few calls are refused at any high load. */
export const PRESSURE_LIMIT = 0.03;
/** Delay of reports behind the admitted rate: the mean of the meter, the chain, and the means on the way up. */
const REPORT_DELAY_HALF_LIFE_MS = 1_000;
/** Half-life of the mean of the admitted rate, which is longer than an oscillation would be. */
const MEAN_HALF_LIFE_MS = 3_000;
/** Rate, as a multiple of the demand, above which it counts as unused. */
const LARGEST_USED_RATE = 1.25;
/** Fraction of the mean below which the rate is not reduced, because old reports of calls that timed out overstate. */
const LARGEST_REDUCTION = 0.35;
/** After a reduction the rate returns to near its mean at once, since it was reduced to work off a queue as well. */
const RETURN_FRACTION = 0.95;
const RETURN_HALF_LIFE_MS = 300;
/** Time in which half of a reduction is made. */
const REDUCTION_HALF_LIFE_MS = 40;
/** Growth a second just after pressure, as a fraction of the demand, so that nodes converge to equal fractions. */
const INITIAL_GROWTH = 0.03;
/** Addition to the growth with each second without pressure: slow near the limit, fast when the overload has ended. */
const GROWTH_ACCELERATION = 0.3;
const MAXIMUM_GROWTH = 1;
/** Time after which missing reports count as reports without pressure. */
const MAXIMUM_REPORT_AGE_MS = 2_000;
/** Time after a refusal in which the rate counts as in use; an unused rate says nothing about what fits. */
const IN_USE_MS = 400;
/** Time without pressure and without a refusal after which the limit is removed. */
const EXPIRY_MS = 2_000;
/** Time for which unused rate is kept, so that requests that come unevenly use it. */
const CREDIT_MS = 60;
const MINIMUM_CREDIT = 1.5;
/** Credit that may be used ahead by important requests and by organisations within their share, as multiple of its limit. */
const DEBT_LIMIT = 3;
/** Part of the rate that is divided into shares; the rest balances what organisations use of their shares unevenly. */
const SHARED_FRACTION = 0.92;
/** Part of the credit that is left to organisations within their share, where there are several. */
const SHARED_CREDIT_RESERVE = 0.9;
/** Some requests are always admitted, because only their outcomes show when the services downstream recover. */
const MINIMUM_ADMITTED_FRACTION = 0.08;
const SECOND_MS = 1_000;

/** What an entry node knows of a service, and the rate at which it admits requests to it. */
export interface ServiceRecord {
    readonly service: string;
    readonly offered: OfferedRate;
    /** Requests a ms that are admitted; undefined while all are. */
    admittedRate: number | undefined;
    /** Admitted rate to which the reports that arrive now belong. */
    reportedRate: number;
    /** Mean of the admitted rate, which is near what fits. */
    meanRate: number;
    /** Requests that may be admitted at once; below 0 after important requests above the rate. */
    credit: number;
    /** Requests of each class that may be admitted at once of what it keeps in any case. */
    readonly classCredits: number[];
    readonly classFractions: number[];
    /** Shares of the organisations in what is admitted of each class. */
    readonly classShares: readonly OrganisationShares[];
    /** Fraction of all requests that is admitted. */
    admittedFraction: number;
    /** Mean of the latest reports. */
    pressure: number;
    reportedAtMs: number;
    adjustedAtMs: number;
    /** Time at which a report first showed that all fits again; undefined while there is pressure. */
    calmSinceMs: number | undefined;
    /** Time at which the throttle began to limit requests; undefined while all are admitted. */
    throttledSinceMs: number | undefined;
    refusedAtMs: number;
    admittedAtMs: number;
}

/** Creates the record of a service whose requests are all admitted. */
export function createRecord(service: string, clock: Clock): ServiceRecord {
    const nowMs = clock.nowMs();
    return {
        service,
        offered: OfferedRate.create(clock, CLASS_COUNT),
        admittedRate: undefined,
        reportedRate: 0,
        meanRate: 0,
        credit: 0,
        classCredits: Array.from({ length: CLASS_COUNT }, () => 0),
        classFractions: Array.from({ length: CLASS_COUNT }, () => 1),
        classShares: Array.from({ length: CLASS_COUNT }, () => OrganisationShares.create(clock)),
        admittedFraction: 1,
        pressure: 0,
        reportedAtMs: nowMs,
        adjustedAtMs: nowMs,
        calmSinceMs: undefined,
        throttledSinceMs: undefined,
        refusedAtMs: nowMs,
        admittedAtMs: nowMs,
    };
}

/** Reduces the admitted rate to what fits by the reports, unless it already is lower. */
export function reduce(record: ServiceRecord, pressure: number, elapsedMs: number): void {
    record.calmSinceMs = undefined;
    const demand = record.offered.current();
    if (demand === 0) {
        return;
    }
    if (record.admittedRate === undefined) {
        record.admittedRate = demand;
        record.reportedRate = demand;
        record.meanRate = demand;
    }
    const usedRate = Math.min(record.admittedRate, demand * LARGEST_USED_RATE);
    record.admittedRate = usedRate;
    record.reportedRate = Math.min(record.reportedRate, demand * LARGEST_USED_RATE);
    follow(record, usedRate, elapsedMs);
    const fitting = Math.max(
        demand * MINIMUM_ADMITTED_FRACTION,
        record.meanRate * LARGEST_REDUCTION,
        record.reportedRate * (1 - pressure),
    );
    if (fitting < record.admittedRate) {
        record.admittedRate += (fitting - record.admittedRate) * (1 - decayFactor(elapsedMs, REDUCTION_HALF_LIFE_MS));
    }
}

/** Lets the rate grow while requests are refused by it, and removes it when none was for some time. */
export function grow(record: ServiceRecord, admittedRate: number, nowMs: number, elapsedMs: number): void {
    const isInformed = record.pressure <= PRESSURE_LIMIT || nowMs - record.reportedAtMs > MAXIMUM_REPORT_AGE_MS;
    if (isInformed) {
        record.calmSinceMs ??= nowMs;
    }
    const calmMs = nowMs - (record.calmSinceMs ?? nowMs);
    if (Math.min(calmMs, nowMs - record.refusedAtMs) > EXPIRY_MS) {
        record.admittedRate = undefined;
        record.admittedFraction = 1;
        record.classShares.forEach(shares => shares.clear());
        return;
    }
    follow(record, admittedRate, elapsedMs);
    if (nowMs - record.refusedAtMs <= Math.max(IN_USE_MS, elapsedMs)) {
        const growth = Math.min(MAXIMUM_GROWTH, INITIAL_GROWTH + GROWTH_ACCELERATION * calmMs / SECOND_MS);
        const isReturning = isInformed && admittedRate < record.meanRate * RETURN_FRACTION;
        const returned = isReturning ?
            (record.meanRate - admittedRate) * (1 - decayFactor(elapsedMs, RETURN_HALF_LIFE_MS)) :
            0;
        record.admittedRate = admittedRate + returned +
            record.offered.current() * growth * elapsedMs / SECOND_MS;
    }
}

/** Updates the means of the admitted rate. */
function follow(record: ServiceRecord, admittedRate: number, elapsedMs: number): void {
    record.reportedRate += (admittedRate - record.reportedRate) *
        (1 - decayFactor(elapsedMs, REPORT_DELAY_HALF_LIFE_MS));
    record.meanRate += (admittedRate - record.meanRate) * (1 - decayFactor(elapsedMs, MEAN_HALF_LIFE_MS));
}

/** Adds the credit of a time, and divides the rate between classes by their demand. */
export function refill(record: ServiceRecord, admittedRate: number, elapsedMs: number): void {
    const { offered, classFractions, classCredits } = record;
    const demand = offered.current();
    record.admittedFraction = demand > 0 ? Math.min(1, admittedRate / demand) : 1;
    divideBetweenClasses(record.admittedFraction, offered.byClass, classFractions);
    record.credit = Math.min(creditLimitOf(admittedRate), record.credit + admittedRate * elapsedMs);
    const reserved = record.admittedFraction * MINIMUM_CLASS_SHARE;
    for (let index = 0; index < CLASS_COUNT; index++) {
        const rate = reserved * offered.rateOf(index);
        classCredits[index] = Math.min(creditLimitOf(rate), classCredits[index]! + rate * elapsedMs);
    }
}

function creditLimitOf(rate: number): number {
    return Math.max(MINIMUM_CREDIT, rate * CREDIT_MS);
}

/** Fraction of the requests of an organisation that is admitted, or of its class where that has no other. */
export function fractionOf({ classFractions, classShares }: ServiceRecord, requestClass: number, name: string): number {
    const shares = classShares[requestClass]!;
    return shares.size > 1 ? shares.fractionOf(name) : classFractions[requestClass]!;
}

/**
 * Takes the credit for a request. A class of which all fits never waits for credit. Of the others, organisations use their
 * shares of what is admitted of the class, and then what is left: of the whole for the most important of these classes,
 * and of what each class keeps for the rest.
 */
export function tryTake(record: ServiceRecord, requestClass: number, organisation: string, weight: number): boolean {
    const { classFractions, classCredits, classShares, offered, admittedRate = 0 } = record;
    const fraction = classFractions[requestClass]!;
    const limit = creditLimitOf(admittedRate);
    const debtLimit = limit * DEBT_LIMIT;
    if (fraction < 1) {
        const shares = classShares[requestClass]!;
        shares.recordOffered(organisation, weight, fraction * offered.rateOf(requestClass) * SHARED_FRACTION);
        const isFirstLimited = classFractions.every((other, index) => index >= requestClass || other >= 1);
        const credit = isFirstLimited ? record.credit : classCredits[requestClass]!;
        const isShared = shares.size > 1;
        const isOfShare = isShared && credit > -debtLimit && shares.tryTake(organisation);
        const neededCredit = isShared ? 1 + (limit - 1) * SHARED_CREDIT_RESERVE : 1;
        if (!isOfShare && credit < neededCredit) {
            return false;
        }
    }
    classCredits[requestClass] = Math.max(-debtLimit, classCredits[requestClass]! - 1);
    record.credit = Math.max(-debtLimit, record.credit - 1);
    return true;
}
