/**
 * Stops requests that end the backend servers that run them: finds out which requests were in flight at ends, lets
 * suspects run alone, and refuses what was found.
 */
import { highestScoringNames } from "@radishrouter/core";
import type { Quarantine, ServerEnd, Suspicion } from "@radishrouter/core";
import { randomUUID } from "node:crypto";
import type { HeaderNames } from "../request/header-names.js";
import type { RequestContent } from "../request/relayed-request.js";
import { fingerprintOf } from "../request/request-fingerprint.js";
import { QuarantineExchange } from "./quarantine-exchange.js";
import type { QuarantineExchangeOptions, QuarantineNotice } from "./quarantine-exchange.js";
import { SuspectTurns } from "./suspect-turns.js";
import type { SuspectTurn } from "./suspect-turns.js";

/** A request that was in flight at an end of the local backend server. */
export interface EndedRequest {
    readonly content: RequestContent;
    /** Whether it was a suspect and ran without other suspects. */
    readonly isTried: boolean;
}

/** What becomes of a request at the node beside its backend server. */
export type CrashAdmission =
    | { readonly kind: "free"; }
    /** A suspect, which runs when its turn comes. */
    | { readonly kind: "suspect"; readonly turn: SuspectTurn; }
    | { readonly kind: "refused"; readonly reason: "quarantined" | "suspected"; };

/** Collaborators and settings. */
export interface CrashingRequestsOptions extends QuarantineExchangeOptions {
    readonly headerNames: HeaderNames;
    /** Servers of a service that may receive requests. */
    readonly readyServers: (service: string) => readonly { readonly hostAddress: string; }[];
}

/** Bodies of this size together may have exhausted the memory of a server, so that no single request is to blame. */
const LARGE_BODIES_BYTES = 1_048_576;
/** Time for which a node where a found request began refuses it without asking. */
const REFUSAL_MEMORY_MS = 2_000;
const MAXIMUM_REMEMBERED_REFUSALS = 256;
/** Part of the time that it can wait for which a suspect waits for others; the rest is for slots and the way back. */
const TURN_WAIT_FRACTION = 0.5;
/** Callers of downstream calls allow more time than they should lose. */
const MAXIMUM_TURN_WAIT_MS = 200;
const FREE: CrashAdmission = { kind: "free" };

/** Counts for metrics. */
export interface CrashCounts {
    /** Ends of the local backend server with requests in flight, since the start of the node. */
    ends: number;
    /** Requests that were refused because they were found to end servers. */
    refusals: number;
}

/** What one node knows of requests that end backend servers. */
export class CrashingRequests {
    readonly counts: CrashCounts = { ends: 0, refusals: 0 };
    /** What this node shares with others. */
    readonly exchange: QuarantineExchange;
    private readonly processId = randomUUID().slice(0, 8);
    private readonly quarantine: Quarantine;
    private readonly turns: SuspectTurns;
    /** Fingerprints that were computed, while their requests live. */
    private readonly fingerprints = new WeakMap<RequestContent, string>();
    /** Requests that another node refused as found, with the time until which they are refused here. */
    private readonly refusedUntilMs = new Map<string, number>();

    private constructor(private readonly options: CrashingRequestsOptions) {
        this.exchange = QuarantineExchange.create(options);
        this.quarantine = this.exchange.quarantine;
        this.turns = SuspectTurns.create(options.clock);
    }

    static create(options: CrashingRequestsOptions): CrashingRequests {
        return new CrashingRequests(options);
    }

    /** Requests of the local service that are suspects or found. */
    get suspectCount(): number {
        return this.quarantine.size;
    }

    /** Fingerprint by which a request is known to all nodes. */
    fingerprintOf(content: RequestContent): string {
        const known = this.fingerprints.get(content);
        if (known !== undefined) {
            return known;
        }
        const fingerprint = fingerprintOf(content, this.options.headerNames);
        this.fingerprints.set(content, fingerprint);
        return fingerprint;
    }

    /**
     * Decides on a request that arrives at the node beside its server; `isTrial` if its sender knows it as a suspect.
     * `slackMs` is the time for which it can wait without being late; a suspect waits for other suspects for a part of it.
     */
    admit(content: RequestContent, isTrial: boolean, slackMs: number): CrashAdmission {
        if (this.quarantine.isEmpty && !isTrial) {
            return FREE;
        }
        const fingerprint = this.fingerprintOf(content);
        const suspicion = this.suspicionOf(fingerprint);
        if (suspicion === "quarantined") {
            this.recordRefusal(content, fingerprint);
            return { kind: "refused", reason: "quarantined" };
        }
        if (suspicion === "none" && !isTrial) {
            return FREE;
        }
        if (!isTrial && this.trialAddresses(this.options.service, fingerprint)[0] !== this.options.hostAddress) {
            return { kind: "refused", reason: "suspected" };
        }
        const waitMs = Math.min(Math.max(0, slackMs) * TURN_WAIT_FRACTION, MAXIMUM_TURN_WAIT_MS);
        const startByMs = this.options.clock.nowMs() + waitMs;
        const turn = this.turns.enter({ fingerprint, mustBeAlone: () => this.mustBeAlone(fingerprint), startByMs });
        return { kind: "suspect", turn };
    }

    /**
     * Why a request must not be sent to the server now, though it was admitted; undefined if it may. `turn` is its turn as
     * a suspect: one that was granted beside others does not hold once the request is known from a second end.
     */
    refusalOf(content: RequestContent, turn: SuspectTurn | undefined): "quarantined" | "suspected" | undefined {
        if (this.quarantine.isEmpty) {
            return undefined;
        }
        const fingerprint = this.fingerprintOf(content);
        switch (this.suspicionOf(fingerprint)) {
            case "none":
                return undefined;
            case "suspect": {
                const mayRun = turn !== undefined && (turn.isAlone || !this.mustBeAlone(fingerprint));
                return mayRun ? undefined : "suspected";
            }
            case "quarantined":
                this.recordRefusal(content, fingerprint);
                return "quarantined";
        }
    }

    /** Suspicion against a request, as far as the node where it begins knows. */
    suspicionAtEntry(service: string, content: RequestContent): Suspicion {
        const isKnownHere = !this.quarantine.isEmpty && this.exchange.isShared(service);
        if (this.refusedUntilMs.size === 0 && !isKnownHere) {
            return "none";
        }
        const fingerprint = this.fingerprintOf(content);
        if (this.isRefusalRemembered(fingerprint)) {
            return "quarantined";
        }
        return isKnownHere ? this.suspicionOf(fingerprint) : "none";
    }

    /** Remembers for a moment that the node beside a server refused a request as found. */
    rememberRefusal(content: RequestContent): void {
        const fingerprint = this.fingerprintOf(content);
        this.refusedUntilMs.delete(fingerprint);
        this.refusedUntilMs.set(fingerprint, this.options.clock.nowMs() + REFUSAL_MEMORY_MS);
        if (this.refusedUntilMs.size > MAXIMUM_REMEMBERED_REFUSALS) {
            this.refusedUntilMs.delete(this.refusedUntilMs.keys().next().value!);
        }
    }

    /** Addresses of the servers at which a suspect is to run, the first one first; the same at all nodes. */
    trialAddresses(service: string, fingerprint: string): string[] {
        const addresses = new Set(this.options.readyServers(service).map(({ hostAddress }) => hostAddress));
        return highestScoringNames(fingerprint, [...addresses], addresses.size);
    }

    /**
     * Records that a request completed: it does not end servers. A response that reports a server error is no completion, as
     * the server may have failed before, or at its deadline while the run was still at work.
     */
    recordCompletion(content: RequestContent): void {
        if (this.quarantine.isEmpty) {
            return;
        }
        const fingerprint = this.fingerprintOf(content);
        if (this.clear(fingerprint)) {
            this.options.log.decision("suspect-cleared", { request: content.id, fingerprint });
        }
    }

    /** Records that the local backend server ended in a run, with requests in flight. */
    recordEnd(run: number, requests: readonly EndedRequest[]): void {
        const fingerprints = requests.map(({ content }) => this.fingerprintOf(content));
        const triedIndex = requests.findIndex(({ isTried }) => isTried);
        const isMemoryDoubtful = bodyBytesOf(requests) - bodyBytesOf(requests.slice(triedIndex, triedIndex + 1)) >=
            LARGE_BODIES_BYTES;
        const end: ServerEnd = {
            id: `${this.options.hostAddress}/${this.processId}/${run}`,
            suspects: [...new Set(fingerprints)],
            cleared: [],
            tried: isMemoryDoubtful ? undefined : fingerprints[triedIndex],
            ageMs: 0,
            idleMs: 0,
        };
        this.counts.ends++;
        this.options.log.event("backend-server-ended", {
            end: end.id,
            inFlight: requests.length,
            tried: end.tried,
            requests: requests.map(({ content }) => content.id).join(" "),
            fingerprints: fingerprints.join(" "),
        });
        this.exchange.recordEnd(end);
    }

    /** Applies what another node told; returns what it wants to know, if it asked. */
    receive(notice: QuarantineNotice, from: string): QuarantineNotice | undefined {
        const reply = this.exchange.receive(notice, from);
        if (this.exchange.isShared(notice.service)) {
            this.releaseCleared(notice.ends);
        }
        return reply;
    }

    /** Ends of servers of the local service whose suspects have not completed since. */
    listEnds(): readonly ServerEnd[] {
        return this.quarantine.list();
    }

    /** Ends all suspicion against a request, because an operator says so; returns whether there was any. */
    lift(fingerprint: string): boolean {
        const isLifted = this.clear(fingerprint);
        this.options.log.event("quarantine-lifted", { fingerprint, wasHeld: isLifted });
        return isLifted;
    }

    private mustBeAlone(fingerprint: string): boolean {
        return this.quarantine.endCountOf(fingerprint) > 1;
    }

    private suspicionOf(fingerprint: string): Suspicion {
        const suspicion = this.quarantine.suspicionOf(fingerprint);
        if (suspicion !== "none") {
            this.exchange.recordArrival(fingerprint);
        }
        return suspicion;
    }

    private isRefusalRemembered(fingerprint: string): boolean {
        const untilMs = this.refusedUntilMs.get(fingerprint);
        if (untilMs === undefined) {
            return false;
        }
        if (untilMs > this.options.clock.nowMs()) {
            return true;
        }
        this.refusedUntilMs.delete(fingerprint);
        return false;
    }

    private clear(fingerprint: string): boolean {
        this.refusedUntilMs.delete(fingerprint);
        const wasHeld = this.exchange.clear(fingerprint);
        if (wasHeld) {
            this.turns.releaseCleared(fingerprint);
        }
        return wasHeld;
    }

    private recordRefusal(content: RequestContent, fingerprint: string): void {
        this.counts.refusals++;
        const ends = this.quarantine.endsOf(fingerprint);
        this.options.log.decision("request-quarantined", {
            request: content.id,
            fingerprint,
            ends: ends.map(({ id }) => id).join(" "),
            agesMs: ends.map(({ ageMs }) => Math.round(ageMs)).join(" "),
        });
    }

    private releaseCleared(ends: readonly ServerEnd[]): void {
        const cleared = new Set(ends.flatMap(end => end.cleared));
        for (const fingerprint of cleared) {
            if (this.quarantine.suspicionOf(fingerprint) === "none") {
                this.turns.releaseCleared(fingerprint);
            }
        }
    }
}

function bodyBytesOf(requests: readonly EndedRequest[]): number {
    return requests.reduce((sum, { content }) => sum + (content.body?.length ?? 0), 0);
}
