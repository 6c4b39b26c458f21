/**
 * Creates the decisions of a node about an overload deep in the call graph.
 */
import type { Clock } from "@radishrouter/core";
import { DownstreamPressure } from "./downstream-pressure.js";
import { DownstreamThrottle } from "./downstream-throttle.js";
import type { CallPressure, OverloadSignal, RequestThrottle } from "./overload-signal.js";
import { RefusalPressure } from "./refusal-pressure.js";
import { RefusalThrottle } from "./refusal-throttle.js";
import type { RequestLog } from "./request-log.js";
import { logThrottleChange } from "./throttle-change.js";

/** Decisions that go with one signal. */
export interface OverloadDecisions {
    readonly throttle: RequestThrottle;
    readonly pressure: CallPressure;
}

/** Creates the decisions for the signal that a deployment uses. */
export function createOverloadDecisions(signal: OverloadSignal, clock: Clock, log: RequestLog): OverloadDecisions {
    switch (signal) {
        case "refusals":
            return { throttle: RefusalThrottle.create(clock), pressure: RefusalPressure.create(clock) };
        case "excess":
            return {
                throttle: DownstreamThrottle.create(clock, Math.random, change => logThrottleChange(log, change)),
                pressure: DownstreamPressure.create(clock),
            };
    }
}
