/**
 * The failure domains that operators have evacuated, as this node knows them.
 *
 * Handles planned work on a failure domain: nothing is sent to its servers while its key is present in the platform's
 * store. The node on each server's host closes the gate, and all nodes leave the servers out of load balancing.
 */
import type { Clock, FailureDomainEvacuation } from "@radishrouter/core";
import Emittery from "emittery";
import type { RequestLog } from "./request-log.js";

/** Begin or end of an evacuation at this node. */
export interface EvacuationChange {
    readonly kind: "began" | "ended";
    readonly failureDomain: string;
}

/** Collaborators. */
export interface EvacuatedDomainsOptions {
    readonly clock: Clock;
    readonly log: RequestLog;
    /** Called before any other request is handled; `events` is for what may happen later. */
    readonly onChange: (change: EvacuationChange) => void;
    /** Time of day, for operators only; no decision depends on it. */
    readonly timeOfDay?: () => Date;
}

interface Evacuation {
    readonly sinceMs: number;
    readonly since: string;
    /** Whether the store no longer has the key, without a proof that an operator removed it. */
    isKept: boolean;
}

/** Bounds of the time after which a caller is told to come back when all servers of a service are evacuated. */
const MINIMUM_RETRY_AFTER_MS = 1_000;
const MAXIMUM_RETRY_AFTER_MS = 30_000;

/** Evacuated failure domains by name. */
export class EvacuatedDomains {
    /** Emits `changed` after an evacuation began or ended. */
    readonly events: Emittery<{ changed: EvacuationChange; }> = new Emittery();
    private readonly evacuations = new Map<string, Evacuation>();

    private constructor(private readonly options: EvacuatedDomainsOptions) {}

    static create(options: EvacuatedDomainsOptions): EvacuatedDomains {
        return new EvacuatedDomains(options);
    }

    /** Whether nothing may be sent to the servers of a failure domain. */
    isEvacuated(failureDomain: string): boolean {
        return this.evacuations.has(failureDomain);
    }

    /** Records that the key of a failure domain is present. */
    begin(failureDomain: string, cause: string): void {
        const known = this.evacuations.get(failureDomain);
        if (known) {
            known.isKept = false;
            return;
        }
        const { clock, log, timeOfDay = () => new Date() } = this.options;
        const since = timeOfDay().toISOString();
        this.evacuations.set(failureDomain, { sinceMs: clock.nowMs(), since, isKept: false });
        log.event("evacuation-began", { failureDomain, cause });
        this.announce({ kind: "began", failureDomain });
    }

    /** Records that an operator has removed the key of a failure domain. */
    end(failureDomain: string, cause: string): void {
        const known = this.evacuations.get(failureDomain);
        if (!known) {
            return;
        }
        const { clock, log } = this.options;
        this.evacuations.delete(failureDomain);
        log.event("evacuation-ended", { failureDomain, cause, lastedMs: Math.round(clock.nowMs() - known.sinceMs) });
        this.announce({ kind: "ended", failureDomain });
    }

    /**
     * Records that an older copy of the store lacks the key of a failure domain. That does not prove that an operator
     * removed it, and requests would be sent to machines that are being worked on: the evacuation stays until a later
     * change of the key.
     */
    keep(failureDomain: string, cause: string): void {
        const known = this.evacuations.get(failureDomain);
        if (known && !known.isKept) {
            known.isKept = true;
            this.options.log.problem("evacuation-kept", { failureDomain, cause });
        }
    }

    /**
     * Time after which a caller may come back whose service has servers in these failure domains only. Nobody knows when
     * an operator ends an evacuation; it is expected to last for as long again as it has lasted.
     */
    retryAfterMs(failureDomains: Iterable<string>): number | undefined {
        const nowMs = this.options.clock.nowMs();
        const elapsedMs = [...failureDomains].flatMap(name => {
            const evacuation = this.evacuations.get(name);
            return evacuation ? [nowMs - evacuation.sinceMs] : [];
        });
        return elapsedMs.length === 0 ?
            undefined :
            Math.min(MAXIMUM_RETRY_AFTER_MS, Math.max(MINIMUM_RETRY_AFTER_MS, Math.min(...elapsedMs)));
    }

    /** All evacuations, for operators. */
    list(): FailureDomainEvacuation[] {
        const nowMs = this.options.clock.nowMs();
        return [...this.evacuations].map(([failureDomain, { since, sinceMs, isKept }]) => ({
            failureDomain,
            since,
            elapsedMs: Math.round(nowMs - sinceMs),
            isKept,
        }));
    }

    private announce(change: EvacuationChange): void {
        this.options.onChange(change);
        void this.events.emit("changed", change);
    }
}
