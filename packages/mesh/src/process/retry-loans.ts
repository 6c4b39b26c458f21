/**
 * Moves retries of a service from nodes that do not need their share of the reserve to a node that has none left.
 *
 * Handles retries that are needed on few nodes: while equal shares leave most of the reserve unused, a node asks one
 * lender at a time. The lender takes what it grants from its own budget before it replies, so a lost question or reply loses
 * retries and never adds any.
 */
import type { Clock } from "@radishrouter/core";
import { delay } from "@radishrouter/core";
import type { RequestLog } from "./request-log.js";
import type { RetryLenders } from "./retry-lenders.js";
import type { ServiceRetryBudget } from "./service-retry-budget.js";

/** Collaborators. */
export interface RetryLoansOptions {
    readonly clock: Clock;
    readonly log: RequestLog;
    readonly lenders: Pick<RetryLenders, "askedBy" | "avoidanceMs">;
    readonly budgetOf: (service: string) => ServiceRetryBudget;
    /** Whether a node can be asked. */
    readonly isReachable: (address: string) => boolean;
    /** Asks a node for retries of a service; resolves with what it granted, or undefined if it gives no answer. */
    readonly ask: (address: string, service: string, wanted: number) => Promise<number | undefined>;
}

/** Numbers since the start. */
export interface RetryLoanCounts {
    /** Retries that other nodes granted. */
    borrowed: number;
    /** Questions to which the answer was that there are none. */
    refused: number;
    /** Questions that were not answered in time. */
    unanswered: number;
}

/** A question that is being asked. */
interface Question {
    /** Requests that wait for its answer. */
    waiting: number;
    readonly end: Promise<void>;
}

/** Longest time for which a request waits for retries of other nodes; some round trips between failure domains. */
export const MAXIMUM_LOAN_WAIT_MS = 30;

/** Takes retries from the budgets of this node, and from those of others where this node has none left. */
export class RetryLoans {
    readonly counts: RetryLoanCounts = { borrowed: 0, refused: 0, unanswered: 0 };
    private readonly questions = new Map<string, Question>();
    /** Time until which a lender is not asked, by service and address. */
    private readonly avoidedUntilMs = new Map<string, Map<string, number>>();

    private constructor(private readonly options: RetryLoansOptions) {}

    static create(options: RetryLoansOptions): RetryLoans {
        return new RetryLoans(options);
    }

    /** Takes one retry of a service; resolves with false when there is none, at the latest after the longest wait. */
    async take(service: string): Promise<boolean> {
        const budget = this.options.budgetOf(service);
        if (budget.tryTake()) {
            return true;
        }
        const endAtMs = this.options.clock.nowMs() + MAXIMUM_LOAN_WAIT_MS;
        while (await this.waitForQuestion(service, endAtMs)) {
            if (budget.tryTake()) {
                return true;
            }
        }
        return false;
    }

    /** Waits for the end of the running question, or of a new one; resolves with false when that is of no use. */
    private async waitForQuestion(service: string, endAtMs: number): Promise<boolean> {
        const { clock } = this.options;
        const question = this.questions.get(service) ?? this.startQuestion(service);
        const remainingMs = endAtMs - clock.nowMs();
        if (!question || remainingMs <= 0) {
            return false;
        }
        question.waiting++;
        let timer: ReturnType<Clock["setTimer"]> | undefined;
        const timeout = new Promise<void>(resolve => {
            timer = clock.setTimer(remainingMs, resolve);
        });
        await Promise.race([question.end, timeout]);
        timer?.cancel();
        return clock.nowMs() < endAtMs;
    }

    private startQuestion(service: string): Question | undefined {
        const lender = this.findLender(service);
        if (lender === undefined) {
            return undefined;
        }
        const question: Question = { waiting: 0, end: Promise.resolve().then(() => this.askLender(service, lender)) };
        this.questions.set(service, question);
        return question;
    }

    private findLender(service: string): string | undefined {
        const { clock, lenders, isReachable } = this.options;
        const nowMs = clock.nowMs();
        const avoided = this.avoidedUntilMs.get(service);
        return lenders.askedBy(service).find(address =>
            (avoided?.get(address) ?? -Infinity) <= nowMs && isReachable(address)
        );
    }

    /** Asks a lender for as many retries as requests wait now; a reply that comes later is still counted. */
    private async askLender(service: string, lender: string): Promise<void> {
        const { clock, ask } = this.options;
        const wanted = this.questions.get(service)?.waiting ?? 1;
        let isLate = false;
        const reply = ask(lender, service, wanted).then(granted =>
            this.receive(service, lender, wanted, granted, isLate)
        );
        const timeout = delay(clock, MAXIMUM_LOAN_WAIT_MS).then(() => {
            isLate = true;
            return false;
        });
        const hasGranted = await Promise.race([reply, timeout]);
        if (isLate) {
            this.counts.unanswered++;
        }
        if (!hasGranted) {
            this.avoid(service, lender);
        }
        this.questions.delete(service);
    }

    /** Adds what a lender granted, but never more than was asked for; returns whether that was anything. */
    private receive(
        service: string,
        lender: string,
        wanted: number,
        granted: number | undefined,
        isLate: boolean,
    ): boolean {
        const isValid = granted !== undefined && Number.isSafeInteger(granted) && granted > 0;
        if (!isValid) {
            this.counts.refused += granted === undefined ? 0 : 1;
            this.counts.unanswered += granted === undefined && !isLate ? 1 : 0;
            return false;
        }
        const received = Math.min(granted, wanted);
        this.counts.borrowed += received;
        this.options.budgetOf(service).receive(received, isLate ? 0 : wanted);
        this.options.log.decision("retries-borrowed", { service, lender, granted: received, isLate });
        return true;
    }

    /** Lenders that left are forgotten with the next one that is avoided. */
    private avoid(service: string, lender: string): void {
        const { clock, lenders } = this.options;
        const asked = new Set(lenders.askedBy(service));
        const kept = [...this.avoidedUntilMs.get(service) ?? []].filter(([address]) => asked.has(address));
        this.avoidedUntilMs.set(service, new Map([...kept, [lender, clock.nowMs() + lenders.avoidanceMs]]));
    }
}
