/**
 * Counts the outcome of each request, per organisation, at the node where the request entered.
 */
import { z } from "zod";

/** Name under which requests on open routes and requests without a valid key are counted. */
export const NO_ORGANISATION = "(none)";

/** Counters of one organisation at one node. */
export const organisationOutcomesSchema = z.object({
    offered: z.number(),
    completed: z.number(),
    /** Completed after a wait in a queue or a retry; included in `completed`. */
    delayed: z.number(),
    /** Refused before running, by result code. */
    refused: z.record(z.string(), z.number()),
    /** Ended with an error, by HTTP status; whether the request ran is only known if a response arrived. */
    failed: z.record(z.string(), z.number()),
    /** Ended without it being known whether the request ran, by result code. */
    unknown: z.record(z.string(), z.number()),
    /**
     * Upper bound of the requests that were refused because of the rate although the organisation was within it: at the
     * time, neither the node's local count of the last second nor the report of its failure domain's collector clearly
     * showed more demand than the rate.
     */
    refusedWithinRate: z.number(),
});

/** Counters of one organisation; see {@link organisationOutcomesSchema}. */
export type OrganisationOutcomes = z.infer<typeof organisationOutcomesSchema>;

/** Outcome of one request. */
export type Outcome =
    | { readonly kind: "completed"; readonly delayed: boolean; }
    | { readonly kind: "refused"; readonly code: number; }
    | { readonly kind: "failed"; readonly status: number; }
    | { readonly kind: "unknown"; readonly code: number; };

function createOutcomes(): OrganisationOutcomes {
    return { offered: 0, completed: 0, delayed: 0, refused: {}, failed: {}, unknown: {}, refusedWithinRate: 0 };
}

function increment(counters: Record<string, number>, name: number): void {
    counters[name] = (counters[name] ?? 0) + 1;
}

/** Request that was counted as offered and has not ended yet. */
export interface OpenLedgerEntry {
    /** Moves the request to an organisation once its key is recognised; until then it counts as `NO_ORGANISATION`. */
    assign(organisation: string): void;
    /** Counts a refusal because of the rate without evidence that the organisation exceeds the rate. */
    countRefusedWithinRate(): void;
    /** Counts the outcome of the request; only the first call counts. */
    close(outcome: Outcome): void;
}

/** Counts each request once as offered and once as ended. */
export class OutcomeLedger {
    private readonly organisations = new Map<string, OrganisationOutcomes>();
    private open = 0;

    private constructor() {}

    static create(): OutcomeLedger {
        return new OutcomeLedger();
    }

    /** Number of requests in flight. */
    get openRequests(): number {
        return this.open;
    }

    /** Counts a request as offered. */
    offer(): OpenLedgerEntry {
        this.open++;
        let organisation = NO_ORGANISATION;
        let closed = false;
        this.outcomesOf(organisation).offered++;
        return {
            assign: name => {
                this.outcomesOf(organisation).offered--;
                organisation = name;
                this.outcomesOf(organisation).offered++;
            },
            countRefusedWithinRate: () => {
                this.outcomesOf(organisation).refusedWithinRate++;
            },
            close: outcome => {
                if (!closed) {
                    closed = true;
                    this.open--;
                    this.count(this.outcomesOf(organisation), outcome);
                }
            },
        };
    }

    /** Returns a copy of the counters of all organisations with at least one offered request. */
    snapshot(): Record<string, OrganisationOutcomes> {
        const offering = [...this.organisations].filter(([, outcomes]) => outcomes.offered > 0);
        return structuredClone(Object.fromEntries(offering));
    }

    private count(outcomes: OrganisationOutcomes, outcome: Outcome): void {
        switch (outcome.kind) {
            case "completed":
                outcomes.completed++;
                outcomes.delayed += outcome.delayed ? 1 : 0;
                return;
            case "refused":
                return increment(outcomes.refused, outcome.code);
            case "failed":
                return increment(outcomes.failed, outcome.status);
            case "unknown":
                return increment(outcomes.unknown, outcome.code);
        }
    }

    private outcomesOf(organisation: string): OrganisationOutcomes {
        let outcomes = this.organisations.get(organisation);
        if (!outcomes) {
            outcomes = createOutcomes();
            this.organisations.set(organisation, outcomes);
        }
        return outcomes;
    }
}
