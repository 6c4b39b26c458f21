import { LoadBalancer, ManualClock, RequestError, RetryBudget } from "@radishrouter/core";
import type { Host, ResultName } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestDispatcher } from "../process/request-dispatcher.js";
import type { RequestDispatcherParts } from "../process/request-dispatcher.js";
import type { RequestContext } from "../request/request-context.js";

const hosts = ["items-1", "items-2"].map(name => ({ name, failureDomain: "khomas-a", region: "khomas" } as Host));

/** Dispatches one read whose attempts fail with these results in turn, and returns how it ended. */
async function dispatchFailing(results: readonly ResultName[]): Promise<RequestError> {
    const clock = ManualClock.create();
    const remaining = [...results];
    const parts = {
        clock,
        ownName: "catalogue-1",
        ownService: "catalogue",
        location: { failureDomain: "khomas-a", region: "khomas" },
        membership: { livePeersOf: () => hosts },
        balancer: LoadBalancer.create(clock, { random: () => 0 }),
        runner: {},
        forwarder: { forward: () => Promise.reject(RequestError.create(remaining.shift()!)) },
        drain: { stage: "running" },
        hasLocalRoom: () => false,
        sharesRetries: true,
    } as unknown as RequestDispatcherParts;
    const context = {
        matched: { serviceName: "items", service: { retryBudget: 2 }, route: { idempotent: true } },
        signal: new AbortController().signal,
        retryBudget: RetryBudget.create(2),
        isRepeat: false,
    } as unknown as RequestContext;
    try {
        await RequestDispatcher.create(parts).dispatch(context, { kind: "none" });
    }
    catch (error) {
        assert.ok(error instanceof RequestError);
        return error;
    }
    throw new Error("the request was answered");
}

test("a refusal after an attempt that may have run is not said to be not-run", async () => {
    const failure = await dispatchFailing(["peer-connection-lost", "overloaded"]);
    assert.equal(failure.result.name, "overloaded");
    assert.equal(failure.execution, "unknown");
});

test("a refusal after attempts that were all refused is said to be not-run", async () => {
    const failure = await dispatchFailing(["node-stopping", "overloaded"]);
    assert.equal(failure.execution, "not-run");
});
