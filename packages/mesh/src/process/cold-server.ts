/**
 * Decides whether the backend server on this host counts as cold, and keeps what is written to it then within the rate
 * that a cold server tolerates.
 *
 * Handles the load that meets a server just after its start, or whenever it has become cold again: above that rate a
 * cold server crashes. All requests of the fleet pass through this node, so one limit here bounds what the server gets.
 * The server counts as cold until a health check, its entry or the passage of time shows otherwise.
 */
import type { Clock, Timer } from "@radishrouter/core";
import type { MeshConfiguration } from "../version/mesh-configuration.js";
import { ColdWriteLimit } from "./cold-write-limit.js";
import type { ColdTolerance } from "./cold-write-limit.js";
import type { LocalInstance } from "./local-instance.js";
import type { RequestLog } from "./request-log.js";
import type { KnownServer, ServerDirectory, ServerStart } from "./server-directory.js";
import type { ServerGate } from "./server-gate.js";

/** What operators state of the cold servers of a service. */
export interface ColdRule {
    /** Longest time in ms for which a server is cold after its start. */
    readonly coldStartMs: number;
    /** Requests a second that a cold server tolerates. */
    readonly ratePerSecond: number;
    /** Path of the health check, whose responses state for how long the server is cold; undefined if there is none. */
    readonly healthPath: string | undefined;
}

/** Rule of a service in a configuration; undefined if its cold servers have no limit. */
export function coldRuleOf({ services }: MeshConfiguration, service: string): ColdRule | undefined {
    const rules = services.find(({ name }) => name === service);
    return rules && rules.coldRatePerSecond > 0 ?
        { coldStartMs: rules.coldStartMs, ratePerSecond: rules.coldRatePerSecond, healthPath: rules.healthPath } :
        undefined;
}

/** Why a server is suspected to be cold. */
export type ColdCause =
    | "node-started"
    | "other-start"
    | "unreachable"
    | "connections-lost"
    | "idle"
    | "listed-as-cold"
    | "stated-time-passed"
    | "evacuated"
    | "health-check";

/** Response of a health check. */
export type HealthCheckResult =
    /** `coldMs` is undefined if the response does not state how long the server is cold. */
    | { readonly kind: "answered"; readonly coldMs: number | undefined; }
    | { readonly kind: "failed"; readonly reason: string; };

/** Sends a health check; `mayWrite` is asked just before it is written. */
export type HealthCheck = (path: string, mayWrite: () => boolean) => Promise<HealthCheckResult>;

/** Collaborators and settings. */
export interface ColdServerOptions {
    readonly clock: Clock;
    readonly log: RequestLog;
    readonly gate: Pick<ServerGate, "setColdRate" | "chargeColdRate" | "holdForCondition" | "refuseBeyondRate">;
    readonly tolerance: ColdTolerance;
    readonly checkHealth: HealthCheck;
    /** Time of the clock until which the server's entry says that it is cold; 0 without an entry. */
    readonly listedColdUntilMs: () => number;
}

interface ColdPeriod {
    readonly cause: ColdCause;
    readonly sinceMs: number;
    /** Undefined until the server has answered a request, or stated a time. */
    untilMs: number | undefined;
    /** Whether the server stated the time. */
    isStated: boolean;
    isLogged: boolean;
}

interface PendingCheck {
    /** Number of the suspicion in which it was written; undefined before. */
    suspicion: number | undefined;
}

/** Interval of health checks while requests arrive faster than a cold server tolerates. */
const CHECK_INTERVAL_MS = 1_000;
/** Shortest time between two health checks after interruptions, as of a server that accepts and closes connections. */
const MINIMUM_CHECK_INTERVAL_MS = 100;
/** Time for which requests wait for the result of a health check rather than being refused for the cold rate. */
const CHECK_WAIT_MS = 250;
/** Longest cold time that is believed without another check where no `ColdStart` bounds it. */
const MAXIMUM_STATED_MS = 60_000;
const SECOND_MS = 1_000;

/** Whether the local backend server is cold; without a rule, it never is. */
export class ColdServer {
    private rule: ColdRule | undefined;
    private isRuleKnown = false;
    private readonly ruleWaiters: (() => void)[] = [];
    private period: ColdPeriod | undefined;
    private periodTimer: Timer | undefined;
    /** Counts the suspicions: the answer to a health check that was written before the last one says nothing. */
    private suspicion = 0;
    private checkedSuspicion = 0;
    private pendingCheck: PendingCheck | undefined;
    private lastCheckAtMs = -Infinity;
    private arrivals = 0;
    private arrivalsSinceMs = -Infinity;
    private arrivalsBefore = 0;
    private start: ServerStart | undefined;
    private reportedInstance: string | undefined;
    private lastListedMs = 0;
    private isEvacuated = false;
    private readonly writes: ColdWriteLimit;

    private constructor(private readonly options: ColdServerOptions) {
        this.writes = ColdWriteLimit.create(options.clock, options.tolerance);
    }

    static create(options: ColdServerOptions): ColdServer {
        return new ColdServer(options);
    }

    /** Whether the server counts as cold. */
    get isCold(): boolean {
        return this.period !== undefined;
    }

    /** Requests a second that the server gets because it counts as cold; undefined if it does not. */
    get ratePerSecond(): number | undefined {
        return this.period && this.rule?.ratePerSecond;
    }

    /** Resolves when the rule is known; undefined if it is. */
    whenRuleKnown(): Promise<void> | undefined {
        return this.isRuleKnown ? undefined : new Promise(resolve => this.ruleWaiters.push(resolve));
    }

    /** Sets the rule of the local service; undefined if its servers have no limit while they are cold. */
    setRule(rule: ColdRule | undefined): void {
        const before = this.rule;
        this.rule = rule;
        this.isRuleKnown = true;
        this.ruleWaiters.splice(0).forEach(resolve => resolve());
        if (!rule) {
            this.endPeriod("no-rule");
            return;
        }
        if (!before) {
            this.suspect("node-started");
        }
        else if (this.period) {
            this.writes.setRate(rule.ratePerSecond);
            this.options.gate.setColdRate(rule.ratePerSecond);
        }
    }

    /** Sets whether the server's failure domain is evacuated; it may be cold when it is used again. */
    setEvacuated(isEvacuated: boolean): void {
        if (this.isEvacuated && !isEvacuated) {
            this.suspect("evacuated");
        }
        this.isEvacuated = isEvacuated;
    }

    /** Makes the server count as cold until a health check, its entry or the passage of time shows otherwise. */
    suspect(cause: ColdCause): void {
        if (!this.rule) {
            return;
        }
        this.suspicion++;
        if (this.period) {
            // What was stated before need not hold for what runs now.
            this.setPeriodEnd(undefined, false);
            return;
        }
        this.beginPeriod(cause, this.rule);
    }

    /**
     * Records that no connection is left, or that the first one was opened. Without a connection nothing would show that
     * the server is started again or becomes cold; where it is asked, it counts as cold until it has answered.
     */
    recordUnconnected(): void {
        if (this.rule?.healthPath !== undefined) {
            this.suspect("idle");
        }
    }

    /** Records the server's entry: another start counts as cold for as long as its entry says. */
    recordEntry(server: KnownServer): void {
        const before = this.start;
        this.start = { instance: server.instance, startedAtMs: server.startedAtMs };
        if (!before || (before.instance === server.instance && before.startedAtMs === server.startedAtMs)) {
            return;
        }
        this.suspect("other-start");
        // The entry of an earlier start shows up again when that of the last one is removed, and says nothing.
        const isLater = (server.startedAtMs ?? 0) > (before.startedAtMs ?? 0);
        if (this.rule && this.rule.healthPath === undefined && isLater) {
            this.lastListedMs = server.warmingUpUntilMs;
            this.applyRemaining(server.warmingUpUntilMs - this.options.clock.nowMs(), "listed", true);
        }
    }

    /** Records the instance that the server reported, as it refused a request for another one. */
    recordReportedInstance(instance: string): void {
        if (this.reportedInstance !== instance && this.start?.instance !== instance) {
            this.suspect("other-start");
        }
        this.reportedInstance = instance;
    }

    /** Records a request that arrived for the server, before it is admitted or refused. */
    recordArrival(): void {
        if (!this.rule) {
            return;
        }
        this.countArrival();
        this.applyListed();
        if (this.isCheckDue(this.rule)) {
            this.startCheck();
        }
    }

    /** Whether a request may be written to the server now; it counts as written if so. */
    tryWrite(): boolean {
        return !this.period || this.writes.tryTake();
    }

    /** Milliseconds until the next request may be written. */
    timeUntilWriteMs(): number {
        return this.period ? this.writes.timeUntilAvailableMs() : 0;
    }

    /** Records that the server refused a request because it was for another instance: it does not count. */
    recordMisdirected(): void {
        if (this.period) {
            this.writes.refund();
        }
    }

    /** Records that the server answered a request. */
    recordAnswered(): void {
        const { period, rule } = this;
        if (period && rule && period.untilMs === undefined) {
            this.setPeriodEnd(this.options.clock.nowMs() + rule.coldStartMs, false);
        }
    }

    private beginPeriod(cause: ColdCause, rule: ColdRule): void {
        this.period = {
            cause,
            sinceMs: this.options.clock.nowMs(),
            untilMs: undefined,
            isStated: false,
            isLogged: false,
        };
        this.writes.begin(rule.ratePerSecond);
        this.options.gate.setColdRate(rule.ratePerSecond);
        if (rule.healthPath === undefined) {
            this.logCold();
        }
    }

    private endPeriod(reason: string): void {
        const { period } = this;
        if (!period) {
            return;
        }
        this.period = undefined;
        this.periodTimer?.cancel();
        this.options.gate.setColdRate(undefined);
        if (period.isLogged) {
            const afterMs = Math.round(this.options.clock.nowMs() - period.sinceMs);
            this.options.log.decision("server-warm", { reason, afterMs });
        }
    }

    private setPeriodEnd(untilMs: number | undefined, isStated: boolean): void {
        const { period } = this;
        if (!period) {
            return;
        }
        period.untilMs = untilMs;
        period.isStated = isStated;
        this.periodTimer?.cancel();
        if (untilMs !== undefined) {
            const delayMs = Math.ceil(untilMs - this.options.clock.nowMs());
            this.periodTimer = this.options.clock.setTimer(delayMs, () => this.endStatedTime(isStated));
        }
    }

    /** The server is warm when its time has passed; where it stated the time itself, it is asked once more. */
    private endStatedTime(isStated: boolean): void {
        if (!isStated || this.rule?.healthPath === undefined) {
            this.endPeriod("time-passed");
            return;
        }
        this.suspect("stated-time-passed");
        this.startCheck();
    }

    private applyRemaining(remainingMs: number, reason: string, isStated: boolean): void {
        if (remainingMs <= 0) {
            this.endPeriod(reason);
            return;
        }
        const maximumMs = this.rule?.coldStartMs || MAXIMUM_STATED_MS;
        this.setPeriodEnd(this.options.clock.nowMs() + Math.min(remainingMs, maximumMs), isStated);
        this.logCold();
    }

    /** Applies an entry that says that the server is cold; a health check, where there is one, decides. */
    private applyListed(): void {
        const untilMs = this.options.listedColdUntilMs();
        if (untilMs === this.lastListedMs) {
            return;
        }
        this.lastListedMs = untilMs;
        const remainingMs = untilMs - this.options.clock.nowMs();
        if (remainingMs <= 0 || !this.rule) {
            return;
        }
        const before = this.period;
        if (!before) {
            this.suspect("listed-as-cold");
        }
        // An entry that was written before the server became unreachable must not shorten what is assumed since.
        const knownUntilMs = before ? before.untilMs : untilMs;
        if (this.rule.healthPath === undefined && knownUntilMs !== undefined) {
            this.applyRemaining(Math.max(untilMs, knownUntilMs) - this.options.clock.nowMs(), "listed", true);
        }
    }

    private countArrival(): void {
        const nowMs = this.options.clock.nowMs();
        const elapsedMs = nowMs - this.arrivalsSinceMs;
        if (elapsedMs >= SECOND_MS) {
            this.arrivalsBefore = elapsedMs < 2 * SECOND_MS ? this.arrivals : 0;
            this.arrivals = 0;
            this.arrivalsSinceMs = nowMs;
        }
        this.arrivals++;
    }

    private isCheckDue({ healthPath, ratePerSecond }: ColdRule): boolean {
        if (healthPath === undefined || this.pendingCheck) {
            return false;
        }
        const sinceCheckMs = this.options.clock.nowMs() - this.lastCheckAtMs;
        if (this.period && this.checkedSuspicion !== this.suspicion) {
            return sinceCheckMs >= MINIMUM_CHECK_INTERVAL_MS;
        }
        const isFast = Math.max(this.arrivals, this.arrivalsBefore) > ratePerSecond;
        const isUnknown = this.period !== undefined && !this.period.isStated;
        return sinceCheckMs >= CHECK_INTERVAL_MS && (isFast || isUnknown);
    }

    private startCheck(): void {
        const path = this.rule?.healthPath;
        if (path === undefined || this.pendingCheck) {
            return;
        }
        const nowMs = this.options.clock.nowMs();
        const check: PendingCheck = { suspicion: undefined };
        this.pendingCheck = check;
        this.lastCheckAtMs = nowMs;
        if (this.period && !this.period.isStated) {
            this.options.gate.holdForCondition(nowMs + CHECK_WAIT_MS);
        }
        void this.options.checkHealth(path, () => this.mayWriteCheck(check))
            .then(result => this.finishCheck(check, result));
    }

    private mayWriteCheck(check: PendingCheck): boolean {
        if (this.period && !this.writes.tryTakeForCheck()) {
            return false;
        }
        this.options.gate.chargeColdRate();
        check.suspicion = this.suspicion;
        this.checkedSuspicion = this.suspicion;
        return true;
    }

    private finishCheck(check: PendingCheck, result: HealthCheckResult): void {
        this.pendingCheck = undefined;
        this.options.gate.holdForCondition(undefined);
        const isCurrent = check.suspicion === this.suspicion;
        if (this.rule && isCurrent && result.kind === "answered" && result.coldMs !== undefined) {
            this.applyStated(result.coldMs, this.rule);
        }
        else if (this.period && isCurrent) {
            // A late or wrong answer says nothing of a server that was not suspected: it may only be busy.
            this.logCold(result.kind === "failed" ? result.reason : "no cold time in the response");
        }
        if (this.period) {
            this.options.gate.refuseBeyondRate();
        }
    }

    private applyStated(coldMs: number, rule: ColdRule): void {
        if (coldMs > 0 && !this.period) {
            this.suspicion++;
            this.checkedSuspicion = this.suspicion;
            this.beginPeriod("health-check", rule);
        }
        this.applyRemaining(coldMs, "health-check", true);
    }

    private logCold(failure?: string): void {
        const { period, rule } = this;
        if (!period || period.isLogged) {
            return;
        }
        period.isLogged = true;
        const { cause, untilMs } = period;
        const forMs = untilMs === undefined ? undefined : Math.round(untilMs - this.options.clock.nowMs());
        this.options.log.decision("server-cold", { cause, forMs, ratePerSecond: rule?.ratePerSecond, failure });
    }
}

/** What a cold server needs of its node. */
export interface ColdServerNode {
    readonly log: RequestLog;
    readonly directory: ServerDirectory;
}

/** Creates the decision about the local server of a node, which reads the entry of the instance that runs. */
export function createLocalColdServer(
    { log, directory }: ColdServerNode,
    { localInstance, ...options }: Omit<ColdServerOptions, "log" | "listedColdUntilMs"> & {
        readonly localInstance: LocalInstance;
    },
): ColdServer {
    const listedColdUntilMs = () => directory.find(localInstance.current ?? "")?.warmingUpUntilMs ?? 0;
    return ColdServer.create({ ...options, log, listedColdUntilMs });
}
