/**
 * Dependencies that the components of the leased-share limiter share.
 */
import type { ControlTransport } from "../../connection/control-transport.js";
import type { AuditTrail } from "../audit-trail.js";
import type { Clock } from "../clock.js";
import type { DemandTracker } from "./demand-tracker.js";
import type { Seat, SeatGuard } from "./seat-guard.js";
import type { CollectorAssignment } from "./share-range.js";
import type { ShareState } from "./share-state.js";
import type { ShareTimings } from "./share-timings.js";

/** Shared dependencies of the components of one limiter. */
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
    readonly demand: DemandTracker;
    /** Current assignment of ranges to collectors, by the live hosts that this node knows of. */
    readonly assignment: () => CollectorAssignment;
    /** Returns the next request id of this process. */
    readonly nextRequestId: () => bigint;
}

/** Claim to the local seat, for a message. */
export function localSeatClaim(context: ShareContext): { failureDomain: string; seat: number; } {
    return { failureDomain: context.seat.failureDomain, seat: context.seat.number };
}

/** Whether this node is the collector of a range in its failure domain. */
export function isCollectorOf(context: ShareContext, range: number): boolean {
    return context.assignment().collectorOf(context.seat.failureDomain, range) === context.ownName;
}
