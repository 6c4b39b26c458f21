/**
 * Collects what the hosts of a failure domain report about the reachability of other failure domains.
 */
import type { Clock } from "./clock.js";

interface ReceivedReport {
    readonly reachable: boolean;
    readonly receivedAtMs: number;
}

/** Time after which a report that was not repeated no longer counts. */
const REPORT_EXPIRY_MS = 12_000;
/** Time within which an unchanged report of the same watcher is neither stored nor passed on. */
const UNCHANGED_REPORT_INTERVAL_MS = 4_500;

/** Keeps the last report of each watcher; reports that are not repeated expire. */
export class FailureDomainReports {
    private readonly reportsByDomain = new Map<string, Map<string, ReceivedReport>>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): FailureDomainReports {
        return new FailureDomainReports(clock);
    }

    /** Stores a report; returns whether it has to be passed on to other hosts. */
    add(failureDomain: string, watcher: string, reachable: boolean): boolean {
        const reports = this.reportsByDomain.get(failureDomain) ?? new Map<string, ReceivedReport>();
        this.reportsByDomain.set(failureDomain, reports);
        const previous = reports.get(watcher);
        const nowMs = this.clock.nowMs();
        if (
            previous && previous.reachable === reachable && nowMs - previous.receivedAtMs < UNCHANGED_REPORT_INTERVAL_MS
        ) {
            return false;
        }
        reports.set(watcher, { reachable, receivedAtMs: nowMs });
        return !reachable || previous?.reachable === false;
    }

    /** Failure domains that at least this number of watchers report as unreachable. */
    unreachableDomains(requiredReports: number): Set<string> {
        const oldestMs = this.clock.nowMs() - REPORT_EXPIRY_MS;
        const result = new Set<string>();
        for (const [failureDomain, reports] of this.reportsByDomain) {
            const valid = [...reports.values()].filter(report => !report.reachable && report.receivedAtMs >= oldestMs);
            if (valid.length >= requiredReports) {
                result.add(failureDomain);
            }
        }
        return result;
    }

    /** Removes all reports. */
    clear(): void {
        this.reportsByDomain.clear();
    }
}
