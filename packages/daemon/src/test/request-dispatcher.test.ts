import { LoadBalancer, ManualClock, RequestError, RetryBudget } from "@radishrouter/core";
import type { Host, ResultName } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestDispatcher } from "../process/request-dispatcher.js";
import type { RequestDispatcherDependencies } from "../process/request-dispatcher.js";
import type { RequestContext } from "../request/request-context.js";

const hosts = ["items-1", "items-2"].map(name => ({ name, failureDomain: "khomas-a", region: "khomas" } as Host));

/** Dispatches one idempotent request whose attempts fail with these results in turn, and returns the final error. */
async function dispatchFailing(results: readonly ResultName[]): Promise<RequestError> {
    const clock = ManualClock.create();
    const remainingResults = [...results];
    const dependencies = {
        clock,
        localHostName: "catalogue-1",
        localService: "catalogue",
        location: { failureDomain: "khomas-a", region: "khomas" },
        membership: { livePeersOf: () => hosts },
        balancer: LoadBalancer.create(clock, { random: () => 0 }),
        runner: {},
        forwarder: { forward: () => Promise.reject(RequestError.create(remainingResults.shift()!)) },
        drain: { stage: "running" },
        hasLocalCapacity: () => false,
        sharesRetryBudget: true,
    } as unknown as RequestDispatcherDependencies;
    const context = {
        matched: { serviceName: "items", service: { retryBudget: 2 }, route: { idempotent: true } },
        signal: new AbortController().signal,
        retryBudget: RetryBudget.create(2),
        isRepeat: false,
    } as unknown as RequestContext;
    try {
        await RequestDispatcher.create(dependencies).dispatch(context, { kind: "none" });
    }
    catch (error) {
        assert.ok(error instanceof RequestError);
        return error;
    }
    throw new Error("the request got a response, although all attempts should fail");
}

test("a rejection after an attempt that may have run reports its execution as unknown, not as not-run", async () => {
    const failure = await dispatchFailing(["peer-connection-lost", "overloaded"]);
    assert.equal(failure.result.name, "overloaded");
    assert.equal(failure.execution, "unknown");
});

test("a rejection after attempts that were all rejected reports its execution as not-run", async () => {
    const failure = await dispatchFailing(["node-stopping", "overloaded"]);
    assert.equal(failure.execution, "not-run");
});
