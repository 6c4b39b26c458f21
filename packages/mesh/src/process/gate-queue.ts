/**
 * Orders the requests that wait for a backend server.
 *
 * Handles scarce capacity. Downstream calls are first, those of the request with the least time left before the others:
 * their requests have consumed capacity already, and a request needs all of its calls, so that refusals affect few
 * requests. New requests follow by importance, then fairly between organisations by weight. A class that is served less
 * than a quarter of the served share of all goes before more important ones.
 */
import type { Clock } from "@radishrouter/core";
import { FairQueue, SortedList } from "@radishrouter/core";
import { ClassShares, SHARE_CLASSES } from "./class-shares.js";
import { toWeight } from "./organisation-weight.js";

/** Properties of a request that the queue orders by. */
export interface QueuedRequest {
    /** 0 is the most important. */
    readonly priority: number;
    readonly isOnwardCall: boolean;
    readonly softDeadlineAtMs: number;
    /** Name of the organisation; undefined for downstream calls, public routes and nodes of an earlier version. */
    readonly organisation?: string | undefined;
    /** Share of the organisation, relative to others. */
    readonly weight?: number | undefined;
}

/** Place of a request in the queue. */
export interface QueuePlace {
    readonly request: QueuedRequest;
    readonly organisation: string;
    readonly weight: number;
    /** Higher ranks are served first. */
    readonly rank: number;
    /** Position in the order of arrival. */
    readonly sequence: number;
}

/** What waits in a queue. */
export interface WaitingCounts {
    readonly calls: number;
    /** Organisations that have requests in the queue. */
    readonly organisations: number;
}

/** Requests that wait for one backend server. */
export class GateQueue<Waiter extends QueuePlace> {
    private readonly calls = SortedList.create<Waiter>(compareCalls);
    private readonly requests = FairQueue.create<Waiter>(() => toWeight(undefined));
    private readonly shares: ClassShares;
    private lastSequence = 0;
    private keepsClassMinimum = true;

    private constructor(clock: Clock) {
        this.shares = ClassShares.create(clock);
    }

    static create<Waiter extends QueuePlace>(clock: Clock): GateQueue<Waiter> {
        return new GateQueue(clock);
    }

    /** Number of requests that wait. */
    get size(): number {
        return this.calls.length + this.requests.length;
    }

    /** What waits, for metrics. */
    waiting(): WaitingCounts {
        return { calls: this.calls.length, organisations: this.requests.waitingOrganisations() };
    }

    /** Sets whether each class keeps its minimum; otherwise importance alone decides between classes. */
    setKeepsClassMinimum(keepsClassMinimum: boolean): void {
        this.keepsClassMinimum = keepsClassMinimum;
    }

    /** Records a request that arrives, and returns its place, at which it need not wait. */
    arrive(request: QueuedRequest): QueuePlace {
        const requestClass = Math.min(Math.max(0, request.priority), SHARE_CLASSES - 1);
        if (!request.isOnwardCall) {
            this.shares.recordOffered(requestClass);
        }
        return {
            request,
            organisation: request.organisation ?? "",
            weight: toWeight(request.weight),
            rank: -requestClass,
            sequence: ++this.lastSequence,
        };
    }

    /** Records that a request is served. */
    recordServed({ request, rank }: QueuePlace): void {
        if (!request.isOnwardCall) {
            this.shares.recordServed(-rank);
        }
    }

    /** Number of waiting requests that are served before a request, if it waits from now on. */
    countAhead(waiter: Waiter): number {
        if (waiter.request.isOnwardCall) {
            return this.calls.countBefore(waiter);
        }
        const isFirst = this.keepsClassMinimum && this.shares.isBelowMinimum(-waiter.rank);
        const moreImportant = isFirst ? 0 : this.requests.countAhead(waiter.rank + 1);
        return this.calls.length + moreImportant + this.requests.countAheadInRank(waiter);
    }

    /** Adds a request. */
    push(waiter: Waiter): void {
        if (waiter.request.isOnwardCall) {
            this.calls.add(waiter);
        }
        else {
            this.requests.push(waiter);
        }
    }

    /** Removes a request that is not served; returns whether it waited. */
    remove(waiter: Waiter): boolean {
        return waiter.request.isOnwardCall ? this.calls.remove(waiter) : this.requests.remove(waiter);
    }

    /** Removes and returns the request to serve next; undefined if none waits. */
    shift(): Waiter | undefined {
        const call = this.calls.first;
        if (call) {
            this.calls.remove(call);
            return call;
        }
        return (this.keepsClassMinimum ? this.shiftBelowMinimum() : undefined) ?? this.requests.takeNext();
    }

    private shiftBelowMinimum(): Waiter | undefined {
        for (let requestClass = SHARE_CLASSES - 1; requestClass > 0; requestClass--) {
            if (this.requests.countOfRank(-requestClass) > 0 && this.shares.isBelowMinimum(requestClass)) {
                return this.requests.takeNextOfRank(-requestClass);
            }
        }
        return undefined;
    }
}

/** The time limit of calls is that of their request, so the oldest request has the least time left. */
function compareCalls(left: QueuePlace, right: QueuePlace): number {
    return left.request.softDeadlineAtMs - right.request.softDeadlineAtMs || left.sequence - right.sequence;
}
