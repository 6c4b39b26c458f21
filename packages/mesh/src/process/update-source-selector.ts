/**
 * Decides whom a node asks next for published updates: a host that hands them on, or the platform itself.
 *
 * Answers the load of a fleet on the platform: one host reads it, and the others follow that host. A host whose source
 * falls silent reads the platform once, at once, and then follows the next host, so that each stays current when hosts
 * fail, when hosts are cut off from each other, and when the platform serves only some hosts.
 */
import type { Clock } from "@radishrouter/core";
import type { RelayPlan } from "./relay-tree.js";

/** Where updates come from. */
export type UpdateSource =
    | { readonly kind: "platform"; readonly mode: PlatformQuestion; }
    | { readonly kind: "peer"; readonly address: string; };

/** `watch` waits for changes; `check` returns at once, because the last proof is old already. */
export type PlatformQuestion = "watch" | "check";

/** Why a peer is not asked for a while: no connection to it, no answer in time, or its own knowledge is too old. */
export type SourceFailure = "connection-lost" | "no-answer" | "outdated";

/** State of the fleet that the selector decides by. */
export interface SourceSelectorInputs {
    readonly plan: () => RelayPlan;
    /** Whether the node at an address can be reached, as far as is known. */
    readonly isReachable: (address: string) => boolean;
}

const AVOID_AFTER_NO_ANSWER_MS = 2_000;
/** Short, because a peer that is outdated reads the platform itself, or asks another peer, as soon as it notices. */
const AVOID_OUTDATED_MS = 200;
/** Interval at which a node whose questions to the platform fail tries again, while a peer keeps it current. */
const PLATFORM_RETRY_INTERVAL_MS = 1_000;

/** Chooses the next source from the outcomes of the last questions. */
export class UpdateSourceSelector {
    private readonly avoidedUntilMs = new Map<string, number>();
    /** Whether the platform is to be asked once before any peer. */
    private isPlatformNext = true;
    private platformFailedAtMs: number | undefined;

    private constructor(private readonly clock: Clock, private readonly inputs: SourceSelectorInputs) {}

    /** Creates a selector that chooses the platform first. */
    static create(clock: Clock, inputs: SourceSelectorInputs): UpdateSourceSelector {
        return new UpdateSourceSelector(clock, inputs);
    }

    /** Chooses the source of the next question. */
    next(): UpdateSource {
        if (this.isPlatformNext) {
            return { kind: "platform", mode: "check" };
        }
        const { ancestors, helpers } = this.inputs.plan();
        const address = this.firstUsable(this.isPlatformFailing() ? [...ancestors, ...helpers] : ancestors);
        return address === undefined ? { kind: "platform", mode: "watch" } : { kind: "peer", address };
    }

    /** Chooses the source of a first question after a start, which any peer can answer. */
    nextAtStart(): UpdateSource {
        const { ancestors, helpers } = this.inputs.plan();
        const address = this.firstUsable([...ancestors, ...helpers]);
        return address === undefined ? { kind: "platform", mode: "watch" } : { kind: "peer", address };
    }

    /** Records an answer of the platform. */
    recordPlatformAnswer(): void {
        this.isPlatformNext = false;
        this.platformFailedAtMs = undefined;
    }

    /** Records a question to the platform that failed. */
    recordPlatformFailure(): void {
        this.isPlatformNext = false;
        this.platformFailedAtMs = this.clock.nowMs();
    }

    /** Records a peer that answered with current state. */
    recordPeerAnswer(address: string): void {
        this.avoidedUntilMs.delete(address);
    }

    /**
     * Records a peer that did not help. The platform is asked next, unless the failure took no time and another peer can
     * be asked: many hosts may follow a host that ends.
     */
    recordPeerFailure(address: string, failure: SourceFailure): void {
        this.avoid(address, failure);
        const canAskAnother = failure === "connection-lost" &&
            this.firstUsable(this.inputs.plan().ancestors) !== undefined;
        this.isPlatformNext = !this.isPlatformFailing() && !canAskAnother;
    }

    /** Does not choose a peer for a while; enough for a node that starts, which has just read the platform. */
    avoid(address: string, failure: SourceFailure): void {
        const durationMs = failure === "outdated" ? AVOID_OUTDATED_MS : AVOID_AFTER_NO_ANSWER_MS;
        this.forgetExpired();
        this.avoidedUntilMs.set(address, this.clock.nowMs() + durationMs);
    }

    /** Has the platform asked next, because what peers hand on has to be compared with it. */
    preferPlatform(): void {
        this.isPlatformNext = true;
    }

    private isPlatformFailing(): boolean {
        return this.platformFailedAtMs !== undefined &&
            this.clock.nowMs() - this.platformFailedAtMs < PLATFORM_RETRY_INTERVAL_MS;
    }

    private firstUsable(addresses: readonly string[]): string | undefined {
        return addresses.find(address => this.isUsable(address));
    }

    private isUsable(address: string): boolean {
        return (this.avoidedUntilMs.get(address) ?? 0) <= this.clock.nowMs() && this.inputs.isReachable(address);
    }

    private forgetExpired(): void {
        const nowMs = this.clock.nowMs();
        for (const [address, untilMs] of this.avoidedUntilMs) {
            if (untilMs <= nowMs) {
                this.avoidedUntilMs.delete(address);
            }
        }
    }
}
