/**
 * Decides which requests may end the backend servers that run them, from what was in flight when servers ended.
 *
 * Most of what is in flight when a server ends is innocent. A request that completes afterwards is cleared; one that is
 * not stays a suspect, and suspects run alone, so that a second end tells which of them caused it.
 */
import type { Clock } from "./clock.js";

/** Degree of suspicion that a request ends backend servers. */
export type Suspicion =
    | "none"
    /** In flight at an end and not completed since: runs only while no other suspect runs at the server. */
    | "suspect"
    /** Found to end servers: does not run. */
    | "quarantined";

/** End of one backend server while requests were in flight there. */
export interface ServerEnd {
    /** Identifies the end, so that a duplicate notice counts once. */
    readonly id: string;
    /** Fingerprints of the requests that were in flight and have not completed since. */
    readonly suspects: readonly string[];
    /** Fingerprints of those that were in flight and have completed since; they are no suspects because of this end. */
    readonly cleared: readonly string[];
    /**
     * The one that was a suspect before and ran without other suspects; undefined if none did, or if something else can
     * have ended the server.
     */
    readonly tried: string | undefined;
    /** Time since the end. */
    readonly ageMs: number;
    /** Time since one of the suspects arrived last. */
    readonly idleMs: number;
}

/** Bounds of a quarantine. */
export interface QuarantineOptions {
    /** Time after the last arrival of its suspects for which an end is stored. */
    readonly expiryMs: number;
    /** Number of ends that are stored; those whose suspects arrived longest ago are dropped first. */
    readonly maximumEnds: number;
    /** Number of suspects, and of cleared requests, that are stored for one end; the least suspicious are dropped. */
    readonly maximumSuspects: number;
    /** Number of requests that are stored for all ends together; dropped as surplus ends are. */
    readonly maximumFingerprints: number;
}

interface EndRecord {
    readonly id: string;
    readonly atMs: number;
    lastArrivalMs: number;
    readonly suspects: Set<string>;
    /** Requests that completed since, so that a late notice does not make them suspects again. */
    readonly cleared: Set<string>;
    tried: string | undefined;
}

const QUARANTINE_ENDS = 2;
/** Ends that are enough, whatever else ended servers meanwhile. */
const CERTAIN_ENDS = 3;
/** Ends at which a request was named that are enough, whatever else was in flight there. */
const TRIALS_BESIDE_OTHERS = 2;
/** Ends that are closer together than this may have one cause. */
const RELATED_ENDS_MS = 60_000;
/** An arrival is worth telling others only if the one before it was longer ago. */
const ARRIVAL_NOTICE_MS = 60_000;

/** Stores the ends of servers with the requests that may have caused them. */
export class Quarantine {
    private readonly ends = new Map<string, EndRecord>();
    /** Ends at which a request was in flight and after which it has not completed. */
    private readonly endsBySuspect = new Map<string, Set<EndRecord>>();

    private constructor(private readonly clock: Clock, private readonly options: QuarantineOptions) {}

    static create(clock: Clock, options: QuarantineOptions): Quarantine {
        return new Quarantine(clock, options);
    }

    /** Number of requests that are suspects or quarantined. */
    get size(): number {
        this.dropExpired();
        return this.endsBySuspect.size;
    }

    /** Whether any request is a suspect or quarantined; costs next to nothing while none is. */
    get isEmpty(): boolean {
        return this.endsBySuspect.size === 0;
    }

    /** Degree of suspicion against a request. */
    suspicionOf(fingerprint: string): Suspicion {
        this.dropExpired();
        const ends = this.endsBySuspect.get(fingerprint);
        if (!ends) {
            return "none";
        }
        return this.isFound(fingerprint, ends) ? "quarantined" : "suspect";
    }

    /** Records an end, or adds to what is known of it; returns whether that was new. */
    recordEnd(end: ServerEnd): boolean {
        this.dropExpired();
        const known = this.ends.get(end.id);
        const record = known ?? this.createRecord(end);
        const cleared = end.cleared.filter(fingerprint => this.clearAt(record, fingerprint));
        const isTriedNew = record.tried === undefined && end.tried !== undefined;
        record.tried ??= end.tried;
        const added = this.addSuspects(record, end.suspects);
        const lastArrivalMs = this.clock.nowMs() - end.idleMs;
        const isArrivalNew = lastArrivalMs - record.lastArrivalMs > ARRIVAL_NOTICE_MS;
        record.lastArrivalMs = Math.max(record.lastArrivalMs, lastArrivalMs);
        this.dropSurplus();
        return known === undefined || cleared.length + added.length > 0 || isTriedNew || isArrivalNew;
    }

    /**
     * Ends all suspicion against a request, because it completed; returns what to tell other nodes, which is nothing if
     * there was no suspicion. A notice names the ends, as it can arrive before the notices of these.
     */
    clear(fingerprint: string): ServerEnd[] {
        const ends = [...this.endsBySuspect.get(fingerprint) ?? []];
        ends.forEach(end => this.clearAt(end, fingerprint));
        return ends.map(end => ({ ...this.toServerEnd(end), suspects: [], cleared: [fingerprint] }));
    }

    /** Prolongs the suspicion against a request that arrived; returns whether other nodes should be told. */
    recordArrival(fingerprint: string): boolean {
        const nowMs = this.clock.nowMs();
        let isWorthTelling = false;
        this.endsBySuspect.get(fingerprint)?.forEach(end => {
            isWorthTelling ||= nowMs - end.lastArrivalMs > ARRIVAL_NOTICE_MS;
            end.lastArrivalMs = nowMs;
        });
        return isWorthTelling;
    }

    /** Number of ends at which a request was in flight and after which it has not completed. */
    endCountOf(fingerprint: string): number {
        return this.endsBySuspect.get(fingerprint)?.size ?? 0;
    }

    /** Ends at which a request was in flight, the first one first. */
    endsOf(fingerprint: string): ServerEnd[] {
        return [...this.endsBySuspect.get(fingerprint) ?? []]
            .sort((left, right) => left.atMs - right.atMs)
            .map(end => this.toServerEnd(end));
    }

    /** Ends that still have suspects, the latest first. */
    list(): ServerEnd[] {
        this.dropExpired();
        return [...this.ends.values()]
            .filter(end => end.suspects.size > 0)
            .sort((left, right) => right.atMs - left.atMs)
            .map(end => this.toServerEnd(end));
    }

    /**
     * A request is found to end servers if it was in flight at two ends, and ran alone, as a suspect, at one of them. One
     * more end is needed where servers ended for no known reason at about that time: that reason may have met it twice.
     */
    private isFound(fingerprint: string, ends: ReadonlySet<EndRecord>): boolean {
        if (ends.size < QUARANTINE_ENDS || !this.wasTried(fingerprint, ends)) {
            return false;
        }
        return ends.size >= CERTAIN_ENDS || !this.hasUnexplainedEndNear(ends);
    }

    private hasUnexplainedEndNear(ends: ReadonlySet<EndRecord>): boolean {
        const latestMs = Math.max(...[...ends].map(({ atMs }) => atMs));
        return [...this.ends.values()].some(end =>
            !ends.has(end) && Math.abs(end.atMs - latestMs) < RELATED_ENDS_MS && !this.isExplained(end)
        );
    }

    /** Whether a request was in flight at an end that ran alone at another one. */
    private isExplained(end: EndRecord): boolean {
        return [...end.suspects].some(fingerprint => {
            const ends = this.endsBySuspect.get(fingerprint);
            return ends !== undefined && ends.size >= QUARANTINE_ENDS && this.wasTried(fingerprint, ends);
        });
    }

    /**
     * Whether a request ran alone at one of its ends. Where another request was in flight, begun before it was known as a
     * suspect, that was in flight at a further end too, it takes two such ends: the other one may have caused the first.
     */
    private wasTried(fingerprint: string, ends: ReadonlySet<EndRecord>): boolean {
        const triedAt = [...ends].filter(end => end.tried === fingerprint);
        return triedAt.length >= TRIALS_BESIDE_OTHERS ||
            triedAt.some(end => !this.hasOtherRepeatedSuspect(end, fingerprint));
    }

    private hasOtherRepeatedSuspect(end: EndRecord, fingerprint: string): boolean {
        return [...end.suspects].some(other => other !== fingerprint && this.endCountOf(other) > 1);
    }

    private createRecord({ id, ageMs }: ServerEnd): EndRecord {
        const atMs = this.clock.nowMs() - ageMs;
        const record: EndRecord = {
            id,
            atMs,
            lastArrivalMs: atMs,
            suspects: new Set(),
            cleared: new Set(),
            tried: undefined,
        };
        this.ends.set(id, record);
        return record;
    }

    /** Returns those that were not known and are stored now. */
    private addSuspects(end: EndRecord, fingerprints: readonly string[]): string[] {
        const added = fingerprints.filter(fingerprint =>
            !end.suspects.has(fingerprint) && !end.cleared.has(fingerprint)
        );
        for (const fingerprint of added) {
            end.suspects.add(fingerprint);
            const ends = this.endsBySuspect.get(fingerprint) ?? new Set();
            this.endsBySuspect.set(fingerprint, ends.add(end));
        }
        this.dropLeastSuspicious(end);
        return added.filter(fingerprint => end.suspects.has(fingerprint));
    }

    /** Keeps the one that ran alone, and of the others those that were in flight at most ends. */
    private dropLeastSuspicious(end: EndRecord): void {
        const { maximumSuspects } = this.options;
        if (end.suspects.size <= maximumSuspects) {
            return;
        }
        const weightOf = (fingerprint: string) => fingerprint === end.tried ? Infinity : this.endCountOf(fingerprint);
        const ranked = [...end.suspects].sort((left, right) => weightOf(right) - weightOf(left));
        ranked.slice(maximumSuspects).forEach(fingerprint => this.removeSuspect(end, fingerprint));
    }

    /** Returns whether that changes what is known. */
    private clearAt(end: EndRecord, fingerprint: string): boolean {
        if (end.cleared.has(fingerprint)) {
            return false;
        }
        end.cleared.add(fingerprint);
        if (end.cleared.size > this.options.maximumSuspects) {
            end.cleared.delete(end.cleared.values().next().value!);
        }
        this.removeSuspect(end, fingerprint);
        return true;
    }

    private removeSuspect(end: EndRecord, fingerprint: string): void {
        if (end.suspects.delete(fingerprint)) {
            this.forgetSuspect(end, fingerprint);
        }
    }

    private forgetSuspect(end: EndRecord, fingerprint: string): void {
        const ends = this.endsBySuspect.get(fingerprint);
        ends?.delete(end);
        if (ends?.size === 0) {
            this.endsBySuspect.delete(fingerprint);
        }
    }

    private toServerEnd({ id, suspects, cleared, tried, atMs, lastArrivalMs }: EndRecord): ServerEnd {
        const nowMs = this.clock.nowMs();
        return {
            id,
            suspects: [...suspects],
            cleared: [...cleared],
            tried,
            ageMs: nowMs - atMs,
            idleMs: nowMs - lastArrivalMs,
        };
    }

    private dropExpired(): void {
        const oldestMs = this.clock.nowMs() - this.options.expiryMs;
        for (const end of this.ends.values()) {
            if (end.lastArrivalMs <= oldestMs) {
                this.drop(end);
            }
        }
    }

    private dropSurplus(): void {
        while (this.hasSurplus()) {
            const ends = [...this.ends.values()];
            this.drop(ends.reduce((oldest, end) => end.lastArrivalMs < oldest.lastArrivalMs ? end : oldest));
        }
    }

    private hasSurplus(): boolean {
        const { maximumEnds, maximumFingerprints } = this.options;
        const fingerprints = [...this.ends.values()]
            .reduce((sum, { suspects, cleared }) => sum + suspects.size + cleared.size, 0);
        return this.ends.size > maximumEnds || fingerprints > maximumFingerprints && this.ends.size > 1;
    }

    private drop(end: EndRecord): void {
        this.ends.delete(end.id);
        end.suspects.forEach(fingerprint => this.forgetSuspect(end, fingerprint));
    }
}
