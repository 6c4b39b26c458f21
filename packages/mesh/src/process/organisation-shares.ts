/**
 * Divides an admitted rate fairly between organisations by weight.
 *
 * Handles an organisation that sends several times its share to an overloaded service: of the admitted rate each
 * organisation may use its share, what some leave unused goes to the others (max-min fairness), and what is above is
 * refused first.
 */
import type { Clock } from "@radishrouter/core";
import { decayFactor } from "@radishrouter/core";

interface OrganisationShare {
    weight: number;
    /** Requests, admitted or not; they decay. */
    offered: number;
    /** Requests that may be admitted at once. */
    credit: number;
    refilledAtMs: number;
}

const UPDATE_INTERVAL_MS = 200;
/** Half-life of the demand of each organisation. */
const DEMAND_HALF_LIFE_MS = 3_000;
/** Width of the exponential window of the half-life. */
const WINDOW_MS = DEMAND_HALF_LIFE_MS / Math.LN2;
/** Demand below which an organisation is forgotten. */
const MINIMUM_OFFERED = 0.05;
const INITIAL_CREDIT = 1;
const MINIMUM_CREDIT_LIMIT = 1.5;
/** Time for which an unused share is kept, so that requests that come unevenly use it. */
const CREDIT_MS = 500;

/** Shares of the organisations that send requests of one class to one service. */
export class OrganisationShares {
    private readonly organisations = new Map<string, OrganisationShare>();
    /** Rate in requests a ms that an organisation may use for each unit of its weight. */
    private ratePerWeight = 0;
    private updatedAtMs: number;

    private constructor(private readonly clock: Clock) {
        this.updatedAtMs = -Infinity;
    }

    static create(clock: Clock): OrganisationShares {
        return new OrganisationShares(clock);
    }

    /** Number of organisations whose demand is known. */
    get size(): number {
        return this.organisations.size;
    }

    /** Records a request of an organisation, where `admittedRate` requests a ms are admitted of all. */
    recordOffered(name: string, weight: number, admittedRate: number): void {
        const nowMs = this.clock.nowMs();
        let organisation = this.organisations.get(name);
        if (!organisation) {
            organisation = { weight, offered: 0, credit: INITIAL_CREDIT, refilledAtMs: nowMs };
            this.organisations.set(name, organisation);
        }
        organisation.weight = weight;
        organisation.offered++;
        if (nowMs - this.updatedAtMs >= UPDATE_INTERVAL_MS) {
            this.update(admittedRate, nowMs);
        }
    }

    /** Takes one request of an organisation's share; returns whether it was left. */
    tryTake(name: string): boolean {
        const organisation = this.organisations.get(name);
        if (!organisation) {
            return false;
        }
        this.refill(organisation, this.clock.nowMs());
        if (organisation.credit < 1) {
            return false;
        }
        organisation.credit--;
        return true;
    }

    /** Fraction of an organisation's requests that its share admits. */
    fractionOf(name: string): number {
        const organisation = this.organisations.get(name);
        if (!organisation) {
            return 1;
        }
        return Math.min(1, this.ratePerWeight * organisation.weight * WINDOW_MS / Math.max(1, organisation.offered));
    }

    /** Forgets all demand, when nothing is refused any more. */
    clear(): void {
        this.organisations.clear();
        this.updatedAtMs = -Infinity;
    }

    private refill(organisation: OrganisationShare, nowMs: number): void {
        const rate = this.ratePerWeight * organisation.weight;
        const limit = Math.max(MINIMUM_CREDIT_LIMIT, rate * CREDIT_MS);
        const refilled = organisation.credit + rate * (nowMs - organisation.refilledAtMs);
        organisation.credit = Math.min(limit, refilled);
        organisation.refilledAtMs = nowMs;
    }

    private update(admittedRate: number, nowMs: number): void {
        const elapsedMs = nowMs - this.updatedAtMs;
        const factor = elapsedMs === Infinity ? 1 : decayFactor(elapsedMs, DEMAND_HALF_LIFE_MS);
        for (const [name, organisation] of this.organisations) {
            this.refill(organisation, nowMs);
            organisation.offered *= factor;
            if (organisation.offered < MINIMUM_OFFERED) {
                this.organisations.delete(name);
            }
        }
        this.updatedAtMs = nowMs;
        this.ratePerWeight = fairRatePerWeight(admittedRate, [...this.organisations.values()]);
    }
}

/** Rate for each unit of weight at which the admitted rate is used up (water-filling). */
function fairRatePerWeight(admittedRate: number, organisations: OrganisationShare[]): number {
    organisations.sort((left, right) => left.offered / left.weight - right.offered / right.weight);
    let rate = admittedRate;
    let weight = organisations.reduce((sum, organisation) => sum + organisation.weight, 0);
    for (const organisation of organisations) {
        const offeredRate = organisation.offered / WINDOW_MS;
        if (offeredRate * weight > rate * organisation.weight) {
            break;
        }
        rate -= offeredRate;
        weight -= organisation.weight;
    }
    // Where all are within their shares, the last one may use what is left.
    const last = organisations.at(-1);
    return weight > 0 ? rate / weight : admittedRate / (last?.weight ?? 1);
}
