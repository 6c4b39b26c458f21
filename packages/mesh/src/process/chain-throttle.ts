/**
 * Turns requests away at the entry when most requests of their route fail further down the chain.
 *
 * Answers a load that a service below cannot carry: a request that will fail there has cost all services above it.
 * No mark tells which calls belong to which request, so the entry learns from what becomes of its own requests. It
 * admits in proportion to what succeeded lately, and always some, so that it notices when the chain recovers.
 */
import type { Clock } from "@radishrouter/core";

/** Outcome of an admitted request as far as it speaks for the chain below. */
export type ChainResult = "succeeded" | "failed";

/** Whether a request is admitted. */
export type ThrottleDecision =
    | { readonly kind: "admitted"; }
    | { readonly kind: "refused"; readonly failedPart: number; readonly retryAfterMs: number; };

interface RouteRecord {
    offered: number;
    succeeded: number;
    failed: number;
    atMs: number;
}

const HALF_LIFE_MS = 700;
/** Requests are admitted up to this multiple of those that succeeded. */
const ADMITTED_PER_SUCCESS = 2;
/** With fewer requests than this, nothing is concluded. */
const LEAST_OFFERED = 12;
const LEAST_ADMITTED_PART = 0.1;
const RETRY_AFTER_MS = 700;

const ADMITTED: ThrottleDecision = { kind: "admitted" };

/** Admission by the success of the requests of each route. */
export class ChainThrottle {
    private readonly routes = new Map<string, RouteRecord>();

    private constructor(private readonly clock: Clock, private readonly random: () => number) {}

    static create(clock: Clock, random: () => number = Math.random): ChainThrottle {
        return new ChainThrottle(clock, random);
    }

    /** Decides about a request of a route. */
    decide(route: string): ThrottleDecision {
        const record = this.recordOf(route);
        record.offered++;
        const admittedPart = this.admittedPart(record);
        if (this.random() < admittedPart) {
            return ADMITTED;
        }
        const ended = record.succeeded + record.failed;
        const retryAfterMs = RETRY_AFTER_MS * (1 + this.random());
        return { kind: "refused", failedPart: record.failed / Math.max(1, ended), retryAfterMs };
    }

    /** Records what became of an admitted request. */
    record(route: string, result: ChainResult): void {
        const record = this.recordOf(route);
        switch (result) {
            case "succeeded":
                record.succeeded++;
                return;
            case "failed":
                record.failed++;
                return;
        }
    }

    /** Forgets routes that are no longer published. */
    retain(names: ReadonlySet<string>): void {
        for (const name of this.routes.keys()) {
            if (!names.has(name)) {
                this.routes.delete(name);
            }
        }
    }

    /** Nothing is turned away before most requests that have ended failed. */
    private admittedPart(record: RouteRecord): number {
        if (record.offered < LEAST_OFFERED || record.failed <= record.succeeded) {
            return 1;
        }
        const part = ADMITTED_PER_SUCCESS * (record.succeeded + 1) / record.offered;
        return Math.min(1, Math.max(LEAST_ADMITTED_PART, part));
    }

    private recordOf(route: string): RouteRecord {
        const nowMs = this.clock.nowMs();
        let record = this.routes.get(route);
        if (!record) {
            record = { offered: 0, succeeded: 0, failed: 0, atMs: nowMs };
            this.routes.set(route, record);
        }
        const remaining = 0.5 ** ((nowMs - record.atMs) / HALF_LIFE_MS);
        record.offered *= remaining;
        record.succeeded *= remaining;
        record.failed *= remaining;
        record.atMs = nowMs;
        return record;
    }
}
