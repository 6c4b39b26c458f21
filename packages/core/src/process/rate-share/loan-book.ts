/**
 * Loans that a lender has made, timed by the lender's clock.
 */

/** A process that borrows shares; a restarted process is a different borrower. */
export interface Borrower {
    readonly host: string;
    readonly incarnation: bigint;
}

interface Loan {
    readonly borrower: Borrower;
    readonly requestId: bigint;
    readonly fraction: number;
    expiresAtMs: number;
}

function isSameBorrower(left: Borrower, right: Borrower): boolean {
    return left.host === right.host && left.incarnation === right.incarnation;
}

/**
 * Loans of one share.
 *
 * A borrower uses at most one of its unexpired loans at a time. The lender cannot know which answer arrived, so it
 * counts the largest.
 */
export class LoanBook {
    private loans: Loan[] = [];

    private constructor() {}

    static create(): LoanBook {
        return new LoanBook();
    }

    /** Records a loan before its answer is sent. */
    add(borrower: Borrower, requestId: bigint, fraction: number, expiresAtMs: number): void {
        this.loans.push({ borrower, requestId, fraction, expiresAtMs });
    }

    /** Fraction lent to one borrower by loans that are active at a given time. */
    lentTo(borrower: Borrower, timeMs: number): number {
        const loans = this.loans.filter(loan => loan.expiresAtMs > timeMs && isSameBorrower(loan.borrower, borrower));
        return Math.max(0, ...loans.map(loan => loan.fraction));
    }

    /** Fraction lent to all borrowers by loans that are active at a given time. */
    lentAt(timeMs: number): number {
        return this.borrowers(timeMs).reduce((sum, borrower) => sum + this.lentTo(borrower, timeMs), 0);
    }

    /** Whether a process other than the borrower may hold a loan at a given time. */
    isLentToOther(borrower: Borrower, timeMs: number): boolean {
        return this.borrowers(timeMs).some(other => !isSameBorrower(other, borrower));
    }

    /** Brings forward the expiry of loans that a borrower returned, up to and including a request. */
    shorten(borrower: Borrower, upToRequestId: bigint, expiresAtMs: number): void {
        for (const loan of this.loans.filter(loan => isSameBorrower(loan.borrower, borrower))) {
            if (loan.requestId <= upToRequestId) {
                loan.expiresAtMs = Math.min(loan.expiresAtMs, expiresAtMs);
            }
        }
    }

    /** Time at which the last loan expires; 0 if there is none. */
    lastExpiryMs(): number {
        return Math.max(0, ...this.loans.map(loan => loan.expiresAtMs));
    }

    /** Removes expired loans; afterwards, shares must not be calculated for times before `nowMs`. */
    removeExpired(nowMs: number): void {
        this.loans = this.loans.filter(loan => loan.expiresAtMs > nowMs);
    }

    private borrowers(timeMs: number): Borrower[] {
        const found: Borrower[] = [];
        for (const loan of this.loans.filter(loan => loan.expiresAtMs > timeMs)) {
            if (!found.some(borrower => isSameBorrower(borrower, loan.borrower))) {
                found.push(loan.borrower);
            }
        }
        return found;
    }
}
