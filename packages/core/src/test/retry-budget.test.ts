import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "../request/retry-budget.js";

const SEED = 4_002;
const DEEPEST = 5;

/** One call of a call graph: what it calls, in turn or at once, and what becomes of each attempt. */
interface Call {
    readonly children: readonly Call[];
    readonly isParallel: boolean;
    /** What becomes of the attempts; further attempts are answered. */
    readonly attempts: readonly AttemptFate[];
}

/**
 * `refused`: not run. `late`: the sender gives up, the attempt goes on with its calls and its answer comes too late.
 * `lost`: the attempt runs and its answer never comes.
 */
type AttemptFate = "answered" | "refused" | "late" | "lost";

const fateArbitrary = fc.constantFrom<AttemptFate>("answered", "refused", "late", "lost");

function createCallArbitrary(depth: number): fc.Arbitrary<Call> {
    return fc.record({
        children: depth > 1 ? fc.array(createCallArbitrary(depth - 1), { maxLength: 3 }) : fc.constant([]),
        isParallel: fc.boolean(),
        attempts: fc.array(fateArbitrary, { maxLength: 4 }),
    });
}

const callArbitrary = createCallArbitrary(DEEPEST);

/** Counts the sends of one root request, with budgets used as nodes use them. */
class Simulation {
    sends = 0;
    /** Work of attempts that nobody waits for any more; it goes on while the rest of the graph runs. */
    private readonly later: (() => void)[] = [];

    run(root: Call, retries: number): number {
        this.dispatch(root, RetryBudget.create(retries), false);
        while (this.later.length > 0) {
            this.later.pop()!();
        }
        return this.sends;
    }

    /** Sends a call until it is answered or the budget is spent; as a request dispatcher does. */
    private dispatch(call: Call, budget: RetryBudget, isRepeatedParent: boolean): void {
        let isRepeat = isRepeatedParent;
        if (isRepeat && !budget.trySpend()) {
            return;
        }
        for (let attempt = 0;; attempt++) {
            const fate = call.attempts[attempt] ?? "answered";
            this.forward(call, budget, isRepeat, fate);
            if (fate === "answered" || !budget.trySpend()) {
                return;
            }
            isRepeat ||= fate !== "refused";
        }
    }

    /** Sends one attempt to another node and takes back what its answer tells to be left. */
    private forward(call: Call, budget: RetryBudget, isRepeat: boolean, fate: AttemptFate): void {
        this.sends++;
        const receiver = RetryBudget.create(budget.takePartForCall(isRepeat));
        switch (fate) {
            case "refused":
                return budget.putBack(receiver.takePart());
            case "answered":
                this.callOnward(call, receiver, isRepeat);
                return budget.putBack(receiver.takePart());
            case "lost":
                return this.callOnward(call, receiver, isRepeat);
            case "late":
                this.later.push(() => this.callOnward(call, receiver, isRepeat));
        }
    }

    /** Calls of the backend server; parallel calls find each other's parts taken out. */
    private callOnward(call: Call, budget: RetryBudget, isRepeat: boolean): void {
        if (!call.isParallel) {
            call.children.forEach(child => this.dispatch(child, budget, isRepeat));
            return;
        }
        const takenMeanwhile = budget.takePart(Math.floor(budget.left / 2));
        call.children.forEach(child => this.dispatch(child, budget, isRepeat));
        budget.putBack(takenMeanwhile);
    }
}

function sizeOf(call: Call): number {
    return call.children.reduce((sum, child) => sum + sizeOf(child), 1);
}

function withoutFailures(call: Call): Call {
    return { ...call, attempts: [], children: call.children.map(withoutFailures) };
}

test("a root request is sent at most its budget more often than its call graph, whatever is lost or late", () => {
    fc.assert(
        fc.property(callArbitrary, fc.integer({ min: 0, max: 16 }), (root, retries) => {
            const sends = new Simulation().run(root, retries);
            const bound = sizeOf(root) + retries;
            assert.ok(sends <= bound, `${sends} sends, at most ${bound} with a budget of ${retries}`);
        }),
        { seed: SEED, numRuns: 5_000 },
    );
});

test("a graph without failures is sent once", () => {
    fc.assert(
        fc.property(callArbitrary, fc.integer({ min: 0, max: 16 }), (root, retries) => {
            assert.equal(new Simulation().run(withoutFailures(root), retries), sizeOf(root));
        }),
        { seed: SEED },
    );
});

test("a call that is never answered leaves a retry to its caller", () => {
    const budget = RetryBudget.create(2);
    assert.equal(budget.takePartForCall(false), 1);
    assert.ok(budget.trySpend());
    assert.ok(!budget.trySpend());
});
