/**
 * What the parts of the leased-share limiter have in common.
 */
import type { ControlTransport } from "../../connection/control-transport.js";
import type { AuditTrail } from "../audit-trail.js";
import type { Clock } from "../clock.js";
import type { DemandBoard } from "./demand-board.js";
import type { Seat, SeatGuard } from "./seat-guard.js";
import type { CollectorChoice } from "./share-range.js";
import type { ShareState } from "./share-state.js";
import type { ShareTimings } from "./share-timings.js";

/** Shared parts of one limiter. */
export interface ShareContext {
    readonly clock: Clock;
    readonly transport: ControlTransport;
    readonly timings: ShareTimings;
    readonly audit: AuditTrail;
    readonly ownName: string;
    readonly incarnation: bigint;
    readonly seat: Seat;
    readonly guard: SeatGuard;
    readonly state: ShareState;
    readonly demand: DemandBoard;
    /** Collectors by the list of live hosts that this node has now. */
    readonly choice: () => CollectorChoice;
    /** Next request id of this process. */
    readonly nextRequestId: () => bigint;
}

/** Claim of the own seat for a message. */
export function ownClaim(context: ShareContext): { failureDomain: string; seat: number; } {
    return { failureDomain: context.seat.failureDomain, seat: context.seat.number };
}

/** Whether this node collects a range in its failure domain. */
export function isCollector(context: ShareContext, range: number): boolean {
    return context.choice().collectorOf(context.seat.failureDomain, range) === context.ownName;
}
