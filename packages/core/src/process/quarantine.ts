/**
 * Records which requests were in flight when backend servers crashed, to refuse requests that crash servers.
 */
import type { Clock } from "./clock.js";

/** Degree of suspicion that a request crashes backend servers. */
export type Suspicion =
    | "none"
    /** In flight at one crash: only runs while no other suspect request runs. */
    | "suspect"
    /** In flight at two crashes: does not run. */
    | "quarantined";

/** Bounds of a quarantine. */
export interface QuarantineOptions {
    /** Milliseconds after its latest crash for which a request is stored. */
    readonly expiryMs: number;
    /** Number of requests that are stored; those whose latest crash is oldest are evicted first. */
    readonly maximumEntries: number;
}

interface Entry {
    /** Crashes since the request last completed. */
    crashes: number;
    /** Ids of the latest crashes, including those that no longer count, so that a duplicate notice counts once. */
    readonly crashIds: Set<string>;
    lastCrashMs: number;
}

const QUARANTINE_CRASHES = 2;
const MAXIMUM_CRASH_IDS = 16;

/** Adds the id of a crash, and drops the oldest id where there are too many. */
function addCrashId(crashIds: Set<string>, crashId: string): void {
    crashIds.add(crashId);
    const [oldest] = crashIds;
    if (oldest !== undefined && crashIds.size > MAXIMUM_CRASH_IDS) {
        crashIds.delete(oldest);
    }
}

/** Stores crashes by the fingerprint of the requests that were in flight. */
export class Quarantine {
    /** Entries in the order of their latest crash, oldest first. */
    private readonly entries = new Map<string, Entry>();

    private constructor(private readonly clock: Clock, private readonly options: QuarantineOptions) {}

    static create(clock: Clock, options: QuarantineOptions): Quarantine {
        return new Quarantine(clock, options);
    }

    /** Number of stored requests. */
    get size(): number {
        return this.entries.size;
    }

    /** Degree of suspicion against a request. */
    suspicionOf(fingerprint: string): Suspicion {
        this.dropExpired();
        const crashes = this.entries.get(fingerprint)?.crashes ?? 0;
        if (crashes >= QUARANTINE_CRASHES) {
            return "quarantined";
        }
        return crashes > 0 ? "suspect" : "none";
    }

    /** Counts the crash of one backend server against the requests that were in flight on it. */
    recordCrash(crashId: string, fingerprints: readonly string[]): void {
        this.dropExpired();
        for (const fingerprint of fingerprints) {
            const entry = this.entries.get(fingerprint) ?? { crashes: 0, crashIds: new Set(), lastCrashMs: 0 };
            if (entry.crashIds.has(crashId)) {
                continue;
            }
            addCrashId(entry.crashIds, crashId);
            entry.crashes++;
            entry.lastCrashMs = this.clock.nowMs();
            this.entries.delete(fingerprint);
            this.entries.set(fingerprint, entry);
        }
        this.dropOldest();
    }

    /** Resets the crashes of a request that completed after its latest crash. */
    clear(fingerprint: string): void {
        const entry = this.entries.get(fingerprint);
        if (entry) {
            entry.crashes = 0;
        }
    }

    private dropOldest(): void {
        for (const fingerprint of this.entries.keys()) {
            if (this.entries.size <= this.options.maximumEntries) {
                return;
            }
            this.entries.delete(fingerprint);
        }
    }

    private dropExpired(): void {
        const oldestMs = this.clock.nowMs() - this.options.expiryMs;
        for (const [fingerprint, entry] of this.entries) {
            if (entry.lastCrashMs > oldestMs) {
                return;
            }
            this.entries.delete(fingerprint);
        }
    }
}
