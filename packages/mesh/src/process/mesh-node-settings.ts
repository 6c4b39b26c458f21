/**
 * Settings of a node, as the embedding program hands them in.
 */
import type { ListenAddress } from "../connection/node-listeners.js";
import type { HeaderNames } from "../request/header-names.js";
import type { ColdTolerance } from "./cold-write-limit.js";
import type { ListenerLimits } from "./listener-limits.js";
import type { OverloadSignal } from "./overload-signal.js";
import type { QuotaTolerance } from "./quota-reserve.js";
import type { ColdTimeDecoder, ServerConditionDecoder } from "./server-condition.js";
import type { RetryBudgetLimits } from "./service-retry-budget.js";

/** Settings of a node. */
export interface MeshNodeSettings {
    readonly host: string;
    readonly hostAddress: string;
    readonly failureDomain: string;
    /** Service of the backend server on this host. */
    readonly service: string;
    readonly backendServer: ListenAddress;
    readonly callers: ListenAddress;
    readonly peers: ListenAddress;
    readonly readiness: ListenAddress & { readonly path: string; };
    readonly metrics: (ListenAddress & { readonly path: string; }) | undefined;
    readonly headerNames: HeaderNames;
    readonly decodeServerCondition: ServerConditionDecoder;
    readonly decodeColdMs: ColdTimeDecoder;
    /** What may reach a cold server in any second, beyond the rate that it tolerates. */
    readonly coldTolerance: ColdTolerance;
    /** Time after which a withdrawn key must be refused; undefined where keys need no proof that they are current. */
    readonly keyLeaseMs: number | undefined;
    /** Time from the stop signal until the process is killed. */
    readonly stopGraceMs: number;
    /** Time for which a draining backend server may still get requests. */
    readonly drainMs: number;
    readonly retryBudgetLimits: RetryBudgetLimits;
    /** How the node learns of an overload deep in the call graph. */
    readonly overloadSignal: OverloadSignal;
    /** Time over which the rate of an organisation decreases to a lower value. */
    readonly rateReductionMs: number;
    /** Excess over its rate that is tolerated of an organisation; undefined if none is. */
    readonly quotaTolerance: QuotaTolerance | undefined;
    /** Limits of the listeners that differ from the defaults. */
    readonly listenerLimits?: Partial<ListenerLimits>;
    readonly log: { readonly decisionLinesPerSecond: number; readonly successSampleInterval: number; };
}
