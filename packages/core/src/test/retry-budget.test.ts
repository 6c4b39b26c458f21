import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "../request/retry-budget.js";

const SEED = 4_002;
const MAXIMUM_DEPTH = 5;

/** One call of a call graph: its child calls, sequential or parallel, and the result of each attempt. */
interface Call {
    readonly children: readonly Call[];
    readonly isParallel: boolean;
    /** Results of the attempts; further attempts are answered. */
    readonly attempts: readonly AttemptResult[];
}

/**
 * `refused`: not run. `late`: the sender stops waiting while the attempt continues with its child calls, and its
 * response arrives too late. `lost`: the attempt runs and its response never arrives.
 */
type AttemptResult = "answered" | "refused" | "late" | "lost";

const resultArbitrary = fc.constantFrom<AttemptResult>("answered", "refused", "late", "lost");

function createCallArbitrary(depth: number): fc.Arbitrary<Call> {
    return fc.record({
        children: depth > 1 ? fc.array(createCallArbitrary(depth - 1), { maxLength: 3 }) : fc.constant([]),
        isParallel: fc.boolean(),
        attempts: fc.array(resultArbitrary, { maxLength: 4 }),
    });
}

const callArbitrary = createCallArbitrary(MAXIMUM_DEPTH);

/** Counts the attempts of one root request and its child calls, with budgets used as nodes use them. */
class Simulation {
    attemptCount = 0;
    /** Work of attempts that no sender waits for any more; it continues while the rest of the graph runs. */
    private readonly abandonedWork: (() => void)[] = [];

    run(root: Call, retries: number): number {
        this.dispatch(root, RetryBudget.create(retries), false);
        while (this.abandonedWork.length > 0) {
            this.abandonedWork.pop()!();
        }
        return this.attemptCount;
    }

    /** Sends a call until it is answered or the budget is spent, as the request dispatcher does. */
    private dispatch(call: Call, budget: RetryBudget, parentMayHaveRun: boolean): void {
        let mayHaveRun = parentMayHaveRun;
        if (mayHaveRun && !budget.trySpend()) {
            return;
        }
        for (let attempt = 0;; attempt++) {
            const result = call.attempts[attempt] ?? "answered";
            this.forward(call, budget, mayHaveRun, result);
            if (result === "answered" || !budget.trySpend()) {
                return;
            }
            mayHaveRun ||= result !== "refused";
        }
    }

    /** Sends one attempt to another node and puts back the retries that its response reports as left. */
    private forward(call: Call, budget: RetryBudget, mayHaveRun: boolean, result: AttemptResult): void {
        this.attemptCount++;
        const receiver = RetryBudget.create(budget.takePartForCall(mayHaveRun));
        switch (result) {
            case "refused":
                return budget.putBack(receiver.takePart());
            case "answered":
                this.runChildCalls(call, receiver, mayHaveRun);
                return budget.putBack(receiver.takePart());
            case "lost":
                return this.runChildCalls(call, receiver, mayHaveRun);
            case "late":
                this.abandonedWork.push(() => this.runChildCalls(call, receiver, mayHaveRun));
        }
    }

    /** Runs the child calls; for parallel ones, half of the budget is held by calls that run at the same time. */
    private runChildCalls(call: Call, budget: RetryBudget, mayHaveRun: boolean): void {
        if (!call.isParallel) {
            call.children.forEach(child => this.dispatch(child, budget, mayHaveRun));
            return;
        }
        const takenByParallelCalls = budget.takePart(Math.floor(budget.left / 2));
        call.children.forEach(child => this.dispatch(child, budget, mayHaveRun));
        budget.putBack(takenByParallelCalls);
    }
}

function sizeOf(call: Call): number {
    return call.children.reduce((sum, child) => sum + sizeOf(child), 1);
}

function withoutFailures(call: Call): Call {
    return { ...call, attempts: [], children: call.children.map(withoutFailures) };
}

test("a call graph causes at most one attempt per call plus the retry budget, whatever is lost or late", () => {
    fc.assert(
        fc.property(callArbitrary, fc.integer({ min: 0, max: 16 }), (root, retries) => {
            const attemptCount = new Simulation().run(root, retries);
            const bound = sizeOf(root) + retries;
            assert.ok(
                attemptCount <= bound,
                `${attemptCount} attempts, at most ${bound} with a budget of ${retries}`,
            );
        }),
        { seed: SEED, numRuns: 5_000 },
    );
});

test("without failures each call of a graph is sent once", () => {
    fc.assert(
        fc.property(callArbitrary, fc.integer({ min: 0, max: 16 }), (root, retries) => {
            assert.equal(new Simulation().run(withoutFailures(root), retries), sizeOf(root));
        }),
        { seed: SEED },
    );
});

test("a call that is never answered leaves one retry to its caller", () => {
    const budget = RetryBudget.create(2);
    assert.equal(budget.takePartForCall(false), 1);
    assert.ok(budget.trySpend());
    assert.ok(!budget.trySpend());
});
