/**
 * What the watchers of a failure domain report about the way to other failure domains.
 */
import type { Clock } from "./clock.js";

interface ReceivedReport {
    readonly reachable: boolean;
    readonly atMs: number;
}

const EXPIRY_MS = 12_000;
const REPEAT_MS = 1_000;

/** Keeps the last report of each watcher; reports that are not repeated expire. */
export class FailureDomainReports {
    private readonly byDomain = new Map<string, Map<string, ReceivedReport>>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): FailureDomainReports {
        return new FailureDomainReports(clock);
    }

    /** Takes a report; returns whether it is news that others should hear. */
    add(failureDomain: string, watcher: string, reachable: boolean): boolean {
        const reports = this.byDomain.get(failureDomain) ?? new Map<string, ReceivedReport>();
        this.byDomain.set(failureDomain, reports);
        const before = reports.get(watcher);
        const nowMs = this.clock.nowMs();
        if (before && before.reachable === reachable && nowMs - before.atMs < REPEAT_MS) {
            return false;
        }
        reports.set(watcher, { reachable, atMs: nowMs });
        return !reachable || before?.reachable === false;
    }

    /** Failure domains that enough watchers report as unreachable. */
    unreachable(neededReports: number): Set<string> {
        const oldestMs = this.clock.nowMs() - EXPIRY_MS;
        const result = new Set<string>();
        for (const [failureDomain, reports] of this.byDomain) {
            const valid = [...reports.values()].filter(report => !report.reachable && report.atMs >= oldestMs);
            if (valid.length >= neededReports) {
                result.add(failureDomain);
            }
        }
        return result;
    }

    /** Forgets all reports. */
    clear(): void {
        this.byDomain.clear();
    }
}
