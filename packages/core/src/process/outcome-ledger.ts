/**
 * Counts what became of each request, per organisation, where the request entered.
 */
import { z } from "zod";

/** Name under which requests on open routes and requests without a valid key are counted. */
export const NO_ORGANISATION = "(none)";

/** Counters of one organisation at one node. */
export const organisationOutcomesSchema = z.object({
    offered: z.number(),
    completed: z.number(),
    /** Completed after waiting in a queue or a retry. */
    delayed: z.number(),
    /** Refused without being run, by result code. */
    refused: z.record(z.string(), z.number()),
    /** Ended with an error; whether it ran is known only for those that were answered. */
    failed: z.record(z.string(), z.number()),
    /** Ended without knowing whether it ran, by result code. */
    unknown: z.record(z.string(), z.number()),
    /**
     * Refused because of the rate although nothing known at the node showed clearly more demand than the rate: neither its own
     * count of the last second nor what the collector of its failure domain said. An upper bound.
     */
    refusedWithinRate: z.number(),
});

/** Counters of one organisation; see {@link organisationOutcomesSchema}. */
export type OrganisationOutcomes = z.infer<typeof organisationOutcomesSchema>;

/** How one request ended. */
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

/** A request that was counted as offered and not yet as ended. */
export interface OpenLedgerEntry {
    /** Sets the organisation once the key was recognised; before that the request counts for none. */
    assign(organisation: string): void;
    /** Counts that the request is refused by the rate without evidence that the organisation is over it. */
    countRefusedWithinRate(): void;
    /** Counts the end of the request; only the first call counts. */
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

    /** Requests that have not ended. */
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

    /** Copies the counters of all organisations that offered a request. */
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
