/**
 * Counts the outcomes of each organisation's requests at this node.
 */
import type { OrganisationUsage, RequestError, UsageOutcome } from "@radishrouter/core";

type Counts = Record<UsageOutcome, number>;

/** Usage of each organisation since the process started. */
export class OrganisationUsageCounters {
    private readonly counts = new Map<string, Counts>();

    private constructor() {}

    static create(): OrganisationUsageCounters {
        return new OrganisationUsageCounters();
    }

    /** Counts the outcome of one request; the name is empty for requests that need no key. */
    record(organisation: string, outcome: UsageOutcome): void {
        let counts = this.counts.get(organisation);
        if (!counts) {
            counts = { answered: 0, failedByServer: 0, refusedForRate: 0, refusedForRoom: 0, lost: 0 };
            this.counts.set(organisation, counts);
        }
        counts[outcome]++;
    }

    /** Counts of all organisations. */
    list(): OrganisationUsage[] {
        return [...this.counts].map(([organisation, counts]) => ({ organisation, ...counts }));
    }
}

/** Outcome under which an error is counted; undefined for errors that the request itself caused. */
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
    const isCausedByRequest = httpStatus >= CLIENT_ERRORS_FROM && httpStatus < SERVER_ERRORS_FROM;
    return isCausedByRequest ? undefined : "refusedForRoom";
}
