/**
 * What a lender has given away, counted by the lender's clock.
 */

/** A process that borrows; a restarted process is another borrower. */
export interface Borrower {
    readonly host: string;
    readonly incarnation: bigint;
}

interface Loan {
    readonly borrower: Borrower;
    readonly requestId: bigint;
    readonly fraction: number;
    endsMs: number;
}

function isSame(left: Borrower, right: Borrower): boolean {
    return left.host === right.host && left.incarnation === right.incarnation;
}

/**
 * Loans of one share.
 *
 * A borrower holds at most one of its unexpired loans at a time, but the lender cannot know which answer arrived, so
 * the largest counts.
 */
export class LoanBook {
    private loans: Loan[] = [];

    private constructor() {}

    static create(): LoanBook {
        return new LoanBook();
    }

    /** Records a loan before its answer is sent. */
    add(borrower: Borrower, requestId: bigint, fraction: number, endsMs: number): void {
        this.loans.push({ borrower, requestId, fraction, endsMs });
    }

    /** Fraction lent to one borrower by loans that had not ended at a time. */
    lentTo(borrower: Borrower, timeMs: number): number {
        const loans = this.loans.filter(loan => loan.endsMs > timeMs && isSame(loan.borrower, borrower));
        return Math.max(0, ...loans.map(loan => loan.fraction));
    }

    /** Fraction lent to all borrowers by loans that had not ended at a time. */
    lentAt(timeMs: number): number {
        return this.borrowers(timeMs).reduce((sum, borrower) => sum + this.lentTo(borrower, timeMs), 0);
    }

    /** Whether a process other than the borrower may hold a loan at a time. */
    isLentToOther(borrower: Borrower, timeMs: number): boolean {
        return this.borrowers(timeMs).some(other => !isSame(other, borrower));
    }

    /** Ends the loans of a borrower earlier, after it has given them back. */
    shorten(borrower: Borrower, upToRequestId: bigint, endsMs: number): void {
        for (const loan of this.loans.filter(loan => isSame(loan.borrower, borrower))) {
            if (loan.requestId <= upToRequestId) {
                loan.endsMs = Math.min(loan.endsMs, endsMs);
            }
        }
    }

    /** Time at which the last loan ends; 0 when there is none. */
    endsMs(): number {
        return Math.max(0, ...this.loans.map(loan => loan.endsMs));
    }

    /** Forgets loans that have ended; share calculations must not look back beyond this time afterwards. */
    prune(nowMs: number): void {
        this.loans = this.loans.filter(loan => loan.endsMs > nowMs);
    }

    private borrowers(timeMs: number): Borrower[] {
        const found: Borrower[] = [];
        for (const loan of this.loans.filter(loan => loan.endsMs > timeMs)) {
            if (!found.some(borrower => isSame(borrower, loan.borrower))) {
                found.push(loan.borrower);
            }
        }
        return found;
    }
}
