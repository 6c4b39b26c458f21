/**
 * Counts what each organisation got from this node.
 */
import type { OrganisationUsage, RequestError, UsageOutcome } from "@radishrouter/core";

type Counts = Record<UsageOutcome, number>;

/** Counts since the process started, one entry an organisation. */
export class OrganisationUsageCounters {
    private readonly counts = new Map<string, Counts>();

    private constructor() {}

    static create(): OrganisationUsageCounters {
        return new OrganisationUsageCounters();
    }

    /** Counts the end of one request; the name is empty for requests that need no key. */
    record(organisation: string, outcome: UsageOutcome): void {
        let counts = this.counts.get(organisation);
        if (!counts) {
            counts = { answered: 0, failedByServer: 0, refusedForRate: 0, refusedForRoom: 0, lost: 0 };
            this.counts.set(organisation, counts);
        }
        counts[outcome]++;
    }

    /** All counts, by organisation. */
    list(): OrganisationUsage[] {
        return [...this.counts].map(([organisation, counts]) => ({ organisation, ...counts }));
    }
}

/** How a request that ended with an error is counted; undefined for errors of the request itself. */
export function toUsageOutcome(error: RequestError): UsageOutcome | undefined {
    if (error.result.name === "rate-exceeded") {
        return "refusedForRate";
    }
    if (error.execution !== "not-run") {
        return "lost";
    }
    const CLIENT_ERRORS_FROM = 400;
    const SERVER_ERRORS_FROM = 500;
    const { httpStatus } = error.result;
    const isOfRequest = httpStatus >= CLIENT_ERRORS_FROM && httpStatus < SERVER_ERRORS_FROM;
    return isOfRequest ? undefined : "refusedForRoom";
}
