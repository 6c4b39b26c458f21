/**
 * Decides which requests the node beside a backend server lets in, which wait, and which are refused at once.
 *
 * Answers a load above what the server can run: all requests reach the server through this gate, so it sees the whole
 * load of the server and keeps the number of open requests within what the server has slots for.
 */
import type { Clock, Timer } from "@radishrouter/core";

/** What the gate has to know about a request. */
export interface GateRequest {
    /** Names requests that take about the same time. */
    readonly route: string;
    /** 0 is the most important. */
    readonly priority: number;
    /** Whether the request is part of another one that already runs somewhere. */
    readonly isOnwardCall: boolean;
    /** Time of the clock by which an answer is of use. */
    readonly softDeadlineAtMs: number;
}

/** Result of asking for admission. */
export type GateDecision =
    | { readonly kind: "admitted"; }
    | { readonly kind: "refused"; readonly reason: GateRefusal; readonly retryAfterMs: number; };

/** Why a gate refuses a request. */
export type GateRefusal = "no-time-left" | "queue-too-long" | "leaving" | "caller-gone" | "server-down";

/** A request that was admitted or waits. */
export interface GateTicket {
    readonly decision: Promise<GateDecision>;
    /** Leaves the queue, or frees the slot; has to be called exactly once at the end of the request. */
    end(outcome: GateOutcome): void;
}

/** How an admitted request ended, with its time at the server when that says something about its route. */
export type GateOutcome = { readonly kind: "answered"; readonly serviceMs: number; } | { readonly kind: "abandoned"; };

/** Load that a gate tells other nodes. */
export interface ServerLoad {
    readonly open: number;
    readonly waiting: number;
    readonly limit: number;
}

interface Waiter {
    readonly request: GateRequest;
    readonly rank: number;
    state: "waiting" | "admitted" | "ended";
    decide: (decision: GateDecision) => void;
    /** Ends the wait when no time is left. */
    timer: Timer | undefined;
}

/** Services that slow down when nearly full do so above this part of their slots. */
const USED_PART_OF_SLOTS = 0.95;
/** Servers with fewer slots than this use them all. */
const SLOTS_TO_KEEP_FREE_FROM = 12;
const LIMIT_WITHOUT_SLOTS = 16;
const TRIAL_LIMIT = 1;
const ONWARD_CALL_RANK = -1;
const EXPECTED_WITHOUT_RECORD_MS = 30;
const RECORD_WEIGHT = 0.1;
const RETRY_AFTER_AT_LEAST_MS = 100;
/** A refused request comes back spread over this part of its waiting time more. */
const RETRY_SPREAD = 0.5;

/** Admission to one backend server. */
export class ServerGate {
    private open = 0;
    private slotLimit = LIMIT_WITHOUT_SLOTS;
    private leaving = false;
    private trial = false;
    private readonly queues = new Map<number, Waiter[]>();
    private ranks: number[] = [];
    private waiting = 0;
    private readonly expected = new Map<string, number>();
    private meanMs = EXPECTED_WITHOUT_RECORD_MS;

    private constructor(private readonly clock: Clock, private readonly random: () => number) {}

    static create(clock: Clock, random: () => number = Math.random): ServerGate {
        return new ServerGate(clock, random);
    }

    /** Sets the number of slots that the server has. */
    setSlots(slots: number): void {
        this.slotLimit = slots < SLOTS_TO_KEEP_FREE_FROM ? Math.max(1, slots) : Math.floor(slots * USED_PART_OF_SLOTS);
        this.admitWaiting();
    }

    /** Lets in one request at a time while it is not known whether the server answers. */
    setProbing(trial: boolean): void {
        if (this.trial !== trial) {
            this.trial = trial;
            this.admitWaiting();
        }
    }

    /** Refuses all requests that wait. */
    refuseWaiting(reason: GateRefusal): void {
        for (let waiter = this.takeNext(); waiter; waiter = this.takeNext()) {
            this.refuse(waiter, reason, 0);
        }
    }

    /** Refuses all requests from now on, also those that wait, or takes requests again. */
    setDraining(leaving: boolean): void {
        this.leaving = leaving;
        if (leaving) {
            this.refuseWaiting("leaving");
        }
    }

    /** Load as other nodes are told. */
    load(): ServerLoad {
        return { open: this.open, waiting: this.waiting, limit: this.slotLimit };
    }

    private get limit(): number {
        return this.trial ? TRIAL_LIMIT : this.slotLimit;
    }

    /** Mean time in ms that the server takes for requests of a route. */
    expectedMs(route: string): number {
        return this.expected.get(route) ?? this.meanMs;
    }

    /** Asks for admission of a request. */
    enter(request: GateRequest): GateTicket {
        const waiter: Waiter = {
            request,
            rank: rankOf(request),
            state: "waiting",
            decide: () => undefined,
            timer: undefined,
        };
        const end = (outcome: GateOutcome) => this.end(waiter, outcome);
        const refusal = this.refusalOf(request);
        if (refusal) {
            waiter.state = "ended";
            return { decision: Promise.resolve(refusal), end };
        }
        if (this.open < this.limit && this.waiting === 0) {
            this.admit(waiter);
            return { decision: Promise.resolve({ kind: "admitted" }), end };
        }
        const decision = new Promise<GateDecision>(decide => {
            waiter.decide = decide;
            this.push(waiter);
            this.refuseWhenLate(waiter);
        });
        return { decision, end };
    }

    private end(waiter: Waiter, outcome: GateOutcome): void {
        const { state } = waiter;
        waiter.state = "ended";
        waiter.timer?.cancel();
        switch (state) {
            case "waiting":
                this.remove(waiter);
                waiter.decide({ kind: "refused", reason: "caller-gone", retryAfterMs: 0 });
                return;
            case "admitted":
                if (outcome.kind === "answered") {
                    this.record(waiter.request.route, outcome.serviceMs);
                }
                this.open--;
                this.admitWaiting();
                return;
            case "ended":
                return;
        }
    }

    private admit(waiter: Waiter): void {
        waiter.state = "admitted";
        waiter.timer?.cancel();
        this.open++;
    }

    /** A request that can no longer be answered in time is refused at once, while it certainly has not run. */
    private refuseWhenLate(waiter: Waiter): void {
        const { route, softDeadlineAtMs: answerByMs } = waiter.request;
        waiter.timer = this.clock.setTimer(answerByMs - this.expectedMs(route) - this.clock.nowMs(), () => {
            if (this.remove(waiter)) {
                this.refuse(waiter, "no-time-left", this.shortRetryAfterMs());
            }
        });
    }

    private shortRetryAfterMs(): number {
        return RETRY_AFTER_AT_LEAST_MS * (1 + this.random());
    }

    private refuse(waiter: Waiter, reason: GateRefusal, retryAfterMs: number): void {
        waiter.state = "ended";
        waiter.timer?.cancel();
        waiter.decide({ kind: "refused", reason, retryAfterMs });
    }

    private record(route: string, serviceMs: number): void {
        this.meanMs += (serviceMs - this.meanMs) * RECORD_WEIGHT;
        const before = this.expected.get(route) ?? serviceMs;
        this.expected.set(route, before + (serviceMs - before) * RECORD_WEIGHT);
    }

    private refusalOf(request: GateRequest): GateDecision | undefined {
        if (this.leaving) {
            return { kind: "refused", reason: "leaving", retryAfterMs: 0 };
        }
        const waitMs = this.expectedWaitMs(rankOf(request));
        const spareMs = request.softDeadlineAtMs - this.clock.nowMs() - this.expectedMs(request.route);
        if (waitMs === 0 || waitMs <= spareMs) {
            return undefined;
        }
        const lackMs = Math.max(RETRY_AFTER_AT_LEAST_MS, waitMs - Math.max(0, spareMs));
        const retryAfterMs = lackMs * (1 + this.random() * RETRY_SPREAD);
        return { kind: "refused", reason: "queue-too-long", retryAfterMs };
    }

    /** Time until a slot is free for a request of a rank, from what waits before it. */
    private expectedWaitMs(rank: number): number {
        if (this.open < this.limit && this.waiting === 0) {
            return 0;
        }
        let aheadMs = this.meanMs;
        for (const other of this.ranks) {
            if (other > rank) {
                break;
            }
            for (const waiter of this.queues.get(other) ?? []) {
                aheadMs += this.expectedMs(waiter.request.route);
            }
        }
        return aheadMs / this.limit;
    }

    private push(waiter: Waiter): void {
        let queue = this.queues.get(waiter.rank);
        if (!queue) {
            queue = [];
            this.queues.set(waiter.rank, queue);
            this.ranks = [...this.queues.keys()].sort((left, right) => left - right);
        }
        queue.push(waiter);
        this.waiting++;
    }

    private remove(waiter: Waiter): boolean {
        const queue = this.queues.get(waiter.rank);
        const index = queue?.indexOf(waiter) ?? -1;
        if (!queue || index < 0) {
            return false;
        }
        queue.splice(index, 1);
        this.waiting--;
        return true;
    }

    private takeNext(): Waiter | undefined {
        for (const rank of this.ranks) {
            const waiter = this.queues.get(rank)?.shift();
            if (waiter) {
                this.waiting--;
                return waiter;
            }
        }
        return undefined;
    }

    private admitWaiting(): void {
        while (this.open < this.limit && this.waiting > 0) {
            const waiter = this.takeNext();
            if (!waiter) {
                return;
            }
            const nowMs = this.clock.nowMs();
            if (nowMs + this.expectedMs(waiter.request.route) > waiter.request.softDeadlineAtMs) {
                this.refuse(waiter, "no-time-left", this.shortRetryAfterMs());
                continue;
            }
            this.admit(waiter);
            waiter.decide({ kind: "admitted" });
        }
    }
}

/** Onward calls go before new requests: their parents have already cost something, and may be of any priority. */
function rankOf(request: GateRequest): number {
    return request.isOnwardCall ? ONWARD_CALL_RANK : request.priority;
}
