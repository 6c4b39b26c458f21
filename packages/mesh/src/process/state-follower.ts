/**
 * Keeps this node's copy of the published state current, from other nodes or from the platform, and applies it.
 *
 * Each answer proves that the state was current when the platform was asked for it, and renews the configuration lease.
 */
import type { Clock } from "@radishrouter/core";
import { delay } from "@radishrouter/core";
import type { StateReport } from "../connection/link-message.js";
import type { ClockReading, ConfigurationLease } from "../version/configuration-lease.js";
import type { PublishedItem, PublishedState, StatePosition, StateUpdate } from "../version/published-state.js";
import { followWaitsFor } from "./follow-waits.js";
import type { FollowWaits } from "./follow-waits.js";
import { PlatformOutage } from "./platform-outage.js";
import type { PublishedItemApplier } from "./published-item-applier.js";
import { PublishedStateError } from "./published-state-reader.js";
import type { PublishedStateReader } from "./published-state-reader.js";
import { ReportedVersion } from "./reported-version.js";
import type { RequestLog } from "./request-log.js";
import type { ServerDirectory } from "./server-directory.js";
import type { SourceFailure, UpdateSource, UpdateSourceSelector } from "./update-source-selector.js";

/** Collaborators of a follower. */
export interface StateFollowerDependencies {
    readonly clock: Clock;
    readonly reader: PublishedStateReader;
    readonly applier: PublishedItemApplier;
    readonly selector: UpdateSourceSelector;
    readonly state: PublishedState;
    readonly lease: ConfigurationLease;
    readonly directory: ServerDirectory;
    readonly log: RequestLog;
    /** Asks the node at an address for state after a position; resolves with undefined when it gives no answer. */
    readonly askPeer: (
        address: string,
        position: StatePosition | undefined,
        waitMs: number,
    ) => Promise<StateReport | undefined>;
    readonly activeConfigurationVersion: () => number | undefined;
    readonly random?: () => number;
}

/** Wait for the first change; it serves no lease. */
const NOTHING_PUBLISHED_WAIT_MS = 2_500;
/** A check on the platform returns at once. */
const PLATFORM_CHECK_WAIT_MS = 1;
const INITIAL_RETRY_DELAY_MS = 100;
const MAXIMUM_RETRY_DELAY_MS = 800;
/** Delay before the next question after a change, so that further changes shortly after it come in one answer. */
const CHANGE_BATCHING_DELAY_MS = 200;
/** The same in the first seconds of a process, short enough for changes to be in force in time. */
const START_BATCHING_DELAY_MS = 1_000;
const START_PERIOD_MS = 5_000;
/** Longest random delay before everything is read again, so that nodes do not read together. */
const READ_AGAIN_JITTER_MS = 100;
/** Peers that a node asks at its start whether a newer configuration was in force before. */
const MAXIMUM_FIRST_QUESTIONS = 3;

/** Follows the published state until closed. */
export class StateFollower {
    private closed = false;
    /** Whether the changes after the held position are not available, so that everything has to be read. */
    private mustReadAll = false;
    private nextRetryDelayMs = INITIAL_RETRY_DELAY_MS;
    private lastSource = "";
    private readonly outage: PlatformOutage;
    private readonly reportedVersion: ReportedVersion;
    private firstQuestionsLeft = MAXIMUM_FIRST_QUESTIONS;
    /** Proof that counts as soon as the first questions are answered. */
    private heldProof: ClockReading | undefined;
    private readonly waits: FollowWaits;
    private readonly startedAtMs: number;

    private constructor(private readonly dependencies: StateFollowerDependencies) {
        this.waits = followWaitsFor(dependencies.lease.durationMs);
        this.startedAtMs = dependencies.clock.nowMs();
        this.outage = PlatformOutage.create(dependencies.clock, this.waits.outageProofAgeMs);
        this.reportedVersion = ReportedVersion.create(dependencies.clock);
    }

    static create(dependencies: StateFollowerDependencies): StateFollower {
        return new StateFollower(dependencies);
    }

    /** Follows the state; resolves when closed. */
    async run(): Promise<void> {
        while (!this.closed) {
            await this.step(this.nextSource());
        }
    }

    /** Stops following; a question in flight is still completed and its answer applied. */
    close(): void {
        this.closed = true;
    }

    /** Time since an outage of the platform ended at this node, or at another one that handed that on. */
    sinceOutageMs(): number {
        return this.outage.sinceMs();
    }

    private nextSource(): UpdateSource {
        const { selector } = this.dependencies;
        const isStarting = this.firstQuestionsLeft > 0 && this.dependencies.state.position !== undefined;
        const source = isStarting ? selector.nextAtStart() : selector.next();
        if (isStarting && source.kind === "platform") {
            this.endFirstQuestions();
        }
        return source;
    }

    private async step(source: UpdateSource): Promise<void> {
        this.logSource(source);
        switch (source.kind) {
            case "platform":
                await this.askPlatform(source.mode === "check");
                return;
            case "peer":
                await this.askPeer(source.address);
                return;
        }
    }

    private async askPlatform(isCheck: boolean): Promise<void> {
        const { reader, state, lease, selector } = this.dependencies;
        const sentAt = lease.now();
        const { position } = state;
        try {
            const update = position && !this.mustReadAll ?
                await reader.watch(position, this.platformWaitMs(isCheck)) :
                await reader.readAll();
            this.mustReadAll = false;
            this.recordPlatformAnswer();
            this.outage.recordNews(lease.ageMs());
            const changed = this.apply(update, state.applyFromPlatform(update), position);
            selector.recordPlatformAnswer();
            this.renewLease(sentAt);
            if (changed.length > 0 && !isCheck) {
                await this.delay(this.changeBatchingDelayMs());
            }
        }
        catch (error) {
            await this.handlePlatformFailure(error);
        }
    }

    private platformWaitMs(isCheck: boolean): number {
        if (isCheck || this.outage.isFailing) {
            return PLATFORM_CHECK_WAIT_MS;
        }
        return this.isNothingPublished() ? NOTHING_PUBLISHED_WAIT_MS : this.waits.platformWaitMs;
    }

    /** Whether there is nothing yet that a proof could be about, as at the start of a fleet. */
    private isNothingPublished(): boolean {
        const { activeConfigurationVersion, directory } = this.dependencies;
        return activeConfigurationVersion() === undefined && directory.fleetHosts.length === 0;
    }

    /** While a fleet starts, each node learns of the others from the platform, many changes one after another. */
    private changeBatchingDelayMs(): number {
        const isStarting = this.dependencies.clock.nowMs() - this.startedAtMs < START_PERIOD_MS;
        return isStarting ? START_BATCHING_DELAY_MS : CHANGE_BATCHING_DELAY_MS;
    }

    /** Asks a peer; whatever it replies, or fails to reply, the node goes on. */
    private async askPeer(address: string): Promise<void> {
        const { state, lease, selector, log, askPeer } = this.dependencies;
        const sentAt = lease.now();
        const { position } = state;
        const isStarting = this.firstQuestionsLeft > 0;
        try {
            const report = await askPeer(address, position, isStarting ? 0 : this.waits.peerWaitMs);
            if (!report) {
                const elapsedMs = lease.now().monotonicMs - sentAt.monotonicMs;
                this.recordPeerFailure(address, elapsedMs < this.waits.peerWaitMs ? "connection-lost" : "no-answer");
                return;
            }
            this.applyReport(address, report, sentAt, position);
        }
        catch (error) {
            log.problem("state-report-refused", { peer: address, problem: String(error) });
            selector.recordPeerFailure(address, "no-answer");
        }
    }

    private applyReport(
        address: string,
        report: StateReport,
        sentAt: ClockReading,
        position: StatePosition | undefined,
    ): void {
        const { state, lease } = this.dependencies;
        this.reportedVersion.record(report.configurationVersion);
        if (this.firstQuestionsLeft > 0) {
            this.outage.recordReport(report.sinceOutageMs);
        }
        if (report.update) {
            this.outage.recordNews(lease.ageMs());
            this.apply(report.update, state.apply(report.update), position);
        }
        const isOtherEra = report.position?.era !== state.position?.era;
        const proofAt = isOtherEra ? undefined : this.proofOf(report, sentAt);
        if (proofAt) {
            this.renewLease(proofAt);
        }
        this.endFirstQuestions();
        if (!proofAt || lease.now().monotonicMs - proofAt.monotonicMs > this.waits.outdatedAfterMs) {
            this.recordPeerFailure(address, "outdated");
            return;
        }
        this.dependencies.selector.recordPeerAnswer(address);
    }

    /**
     * Time of the proof that a peer handed on, by the clocks of this node. The reply was sent at least `heldMs` after
     * the question; a peer cannot have held it for longer than the answer took.
     */
    private proofOf({ proofAgeMs, heldMs }: StateReport, sentAt: ClockReading): ClockReading | undefined {
        const elapsedMs = this.dependencies.lease.now().monotonicMs - sentAt.monotonicMs;
        const offsetMs = Math.min(Math.max(0, heldMs), elapsedMs) - Math.max(0, proofAgeMs);
        return Number.isFinite(offsetMs) ?
            { monotonicMs: sentAt.monotonicMs + offsetMs, bootMs: sentAt.bootMs + offsetMs } :
            undefined;
    }

    private recordPeerFailure(address: string, failure: SourceFailure): void {
        const { selector } = this.dependencies;
        if (this.firstQuestionsLeft === 0) {
            selector.recordPeerFailure(address, failure);
            return;
        }
        selector.avoid(address, failure);
        this.firstQuestionsLeft--;
        if (this.firstQuestionsLeft === 0) {
            this.endFirstQuestions();
        }
    }

    private endFirstQuestions(): void {
        this.firstQuestionsLeft = 0;
        if (this.heldProof) {
            this.renewLease(this.heldProof);
            this.heldProof = undefined;
        }
    }

    /**
     * Renews the lease unless the copy that was read is older than what was in force. A process that has just started
     * asks other nodes first, because it cannot know what was in force before.
     */
    private renewLease(proofAt: ClockReading): void {
        if (this.firstQuestionsLeft > 0) {
            this.heldProof = proofAt;
            return;
        }
        const { applier, activeConfigurationVersion, lease } = this.dependencies;
        const { publishedVersion } = applier;
        const isCurrent = publishedVersion === activeConfigurationVersion() &&
            (publishedVersion ?? -Infinity) >= this.reportedVersion.current();
        if (isCurrent) {
            lease.renew(proofAt);
        }
    }

    /** Applies the changed items of an update that was asked for at `position`. */
    private apply(
        update: StateUpdate,
        changed: readonly PublishedItem[],
        position: StatePosition | undefined,
    ): readonly PublishedItem[] {
        const { directory, log, applier, lease } = this.dependencies;
        const isOlderCopy = position !== undefined && position.era !== update.position.era;
        if (isOlderCopy && changed.length > 0) {
            this.outage.recordOlderCopy();
            log.problem("platform-returned-from-older-copy", {
                era: update.position.era,
                revision: update.position.revision,
                revisionBefore: position.revision,
            });
        }
        applier.apply(changed, {
            isOlderCopy,
            lapsedEntryGraceMs: this.outage.lapsedEntryGraceMs(),
            source: this.lastSource,
            lastProofAgeMs: lease.ageMs(),
        });
        if (update.kind === "snapshot") {
            directory.markLoaded();
        }
        return changed;
    }

    private recordPlatformAnswer(): void {
        this.nextRetryDelayMs = INITIAL_RETRY_DELAY_MS;
        if (this.outage.recordAnswer()) {
            this.dependencies.log.event("store-regained");
        }
    }

    /** Logs a failure of the platform; waits if it has to be asked again, because no other node can be asked. */
    private async handlePlatformFailure(error: unknown): Promise<void> {
        const { state, log, selector } = this.dependencies;
        const failure = error instanceof PublishedStateError ? error.failure : "invalid-answer";
        if (failure === "position-unknown") {
            log.event("store-history-gone", { revision: state.position?.revision });
            this.mustReadAll = true;
            selector.preferPlatform();
            await this.delay(READ_AGAIN_JITTER_MS * this.random());
            return;
        }
        selector.recordPlatformFailure();
        if (this.outage.recordFailure()) {
            log.problem("store-lost", { failure, problem: String(error) });
        }
        if (selector.next().kind === "peer") {
            return;
        }
        const delayMs = this.nextRetryDelayMs * (0.5 + this.random() / 2);
        this.nextRetryDelayMs = Math.min(MAXIMUM_RETRY_DELAY_MS, this.nextRetryDelayMs * 2);
        await this.delay(delayMs);
    }

    private logSource(source: UpdateSource): void {
        const name = source.kind === "peer" ? source.address : "platform";
        if (name !== this.lastSource) {
            this.dependencies.log.decision("state-source", { source: name, before: this.lastSource });
            this.lastSource = name;
        }
    }

    private random(): number {
        return (this.dependencies.random ?? Math.random)();
    }

    private delay(durationMs: number): Promise<void> {
        return delay(this.dependencies.clock, durationMs);
    }
}
