/**
 * Remembers which requests were in flight when backend servers died, and refuses those that crash them.
 */
import type { Clock } from "./clock.js";

/** What is known of a request. */
export type Suspicion =
    | "none"
    /** It was in flight at one crash: it is run only with no other suspect beside it. */
    | "suspect"
    /** It was in flight at two crashes: it is not run. */
    | "quarantined";

/** Bounds of a quarantine. */
export interface QuarantineOptions {
    /** Milliseconds after its last crash for which a request is remembered. */
    readonly expiryMs: number;
    /** Requests that are remembered; the one with the oldest crash is dropped first. */
    readonly maximumEntries: number;
}

interface Entry {
    /** Crashes that count against the request. */
    crashes: number;
    /** Crashes that were seen, also those that no longer count, so that a notice that comes twice counts once. */
    readonly seen: Set<string>;
    lastCrashMs: number;
}

const QUARANTINE_CRASHES = 2;
const MAXIMUM_SEEN = 16;

/** Crashes by the fingerprint of the requests that were in flight. */
export class Quarantine {
    /** Entries from the oldest crash to the newest. */
    private readonly entries = new Map<string, Entry>();

    private constructor(private readonly clock: Clock, private readonly options: QuarantineOptions) {}

    static create(clock: Clock, options: QuarantineOptions): Quarantine {
        return new Quarantine(clock, options);
    }

    /** Requests that are remembered. */
    get size(): number {
        return this.entries.size;
    }

    /** What is known of a request. */
    suspicionOf(fingerprint: string): Suspicion {
        this.dropExpired();
        const crashes = this.entries.get(fingerprint)?.crashes ?? 0;
        if (crashes >= QUARANTINE_CRASHES) {
            return "quarantined";
        }
        return crashes > 0 ? "suspect" : "none";
    }

    /** Counts the death of one backend server against the requests that were in flight. */
    recordCrash(crashId: string, fingerprints: readonly string[]): void {
        this.dropExpired();
        for (const fingerprint of fingerprints) {
            const entry = this.entries.get(fingerprint) ?? { crashes: 0, seen: new Set(), lastCrashMs: 0 };
            if (entry.seen.has(crashId) || entry.seen.size >= MAXIMUM_SEEN) {
                continue;
            }
            entry.seen.add(crashId);
            entry.crashes++;
            entry.lastCrashMs = this.clock.nowMs();
            this.entries.delete(fingerprint);
            this.entries.set(fingerprint, entry);
        }
        this.dropOldest();
    }

    /** Clears a request that completed since its crash. */
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
