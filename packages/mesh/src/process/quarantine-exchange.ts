/**
 * Shares with other nodes which requests were in flight when backend servers ended.
 *
 * Nothing of it is on a disk. The nodes of a service hold it, and a few others where these are few, so that a node that
 * starts, or was not reachable, learns what it has missed.
 */
import { highestScoringNames, Quarantine } from "@radishrouter/core";
import type { Clock, ServerEnd } from "@radishrouter/core";
import { selectForNotice } from "./quarantine-notice-content.js";
import type { RequestLog } from "./request-log.js";
import { MAXIMUM_SERVER_CONNECTIONS } from "./server-connections.js";

/** What a node tells others of one service. */
export interface QuarantineNotice {
    readonly service: string;
    readonly ends: readonly ServerEnd[];
    /** Whether the receiver is to send what it knows. */
    readonly wantsReply: boolean;
}

/** Collaborators and settings. */
export interface QuarantineExchangeOptions {
    readonly clock: Clock;
    readonly log: RequestLog;
    readonly hostAddress: string;
    /** Service of the backend server on this host. */
    readonly service: string;
    /** Other services that get requests of routes of the local service. */
    readonly siblingServices: () => readonly string[];
    /** Addresses of the hosts that have a backend server of a service. */
    readonly hostsOf: (service: string) => readonly string[];
    /** Addresses of all hosts. */
    readonly allHosts: () => readonly string[];
    readonly send: (address: string, notice: QuarantineNotice) => void;
}

/** As many suspects of one end as requests can be in flight at a server. */
const QUARANTINE_OPTIONS = {
    expiryMs: 600_000,
    maximumEnds: 256,
    maximumSuspects: MAXIMUM_SERVER_CONNECTIONS,
    maximumFingerprints: 16_384,
};
/** Services of other hosts whose ends this node stores for them. */
const MAXIMUM_OTHER_SERVICES = 16;
/** Other nodes that know of a service's ends, at least; a service with fewer hosts uses hosts of other services. */
const MINIMUM_WITNESSES = 3;
/** Time for which a node that has started waits for what other nodes know. */
const ANSWER_WAIT_MS = 200;
/** The same from its start, in which it learns which other nodes there are. */
const MAXIMUM_START_WAIT_MS = 1_500;
/**
 * Time after a change, or after a suspect arrived, for which nodes repeat what they know: a notice may have been lost, and
 * a node that knew may have started anew.
 */
const REPETITION_MS = 10_000;
const REPETITION_INTERVAL_MS = 1_000;
/** Time for which a node is told of ends after its server is listed no longer: it may only have ended, and come back. */
const UNLISTED_HOST_MS = 60_000;

/** What this node and others know of the ends of one service. */
export class QuarantineExchange {
    /** Ends of the local service and of its siblings. */
    readonly quarantine: Quarantine;
    /** Ends of services that have too few hosts to remember them alone. */
    private readonly otherQuarantines = new Map<string, Quarantine>();
    /** Resolves when other nodes have told what they know, or do not; undefined if nobody is waited for. */
    private waitForOthers: Promise<void> | undefined;
    private endWaitForOthers: () => void = () => undefined;
    /** Nodes that were asked at the start and have not answered. */
    private readonly askedNodes = new Set<string>();
    /** Hosts whose server is listed no longer, by address, with its service and the time until which they are told. */
    private readonly unlistedHosts = new Map<string, { readonly service: string; readonly untilMs: number; }>();
    private repeatsUntilMs = 0;
    private isRepeating = false;

    private constructor(private readonly options: QuarantineExchangeOptions) {
        this.quarantine = Quarantine.create(options.clock, QUARANTINE_OPTIONS);
    }

    static create(options: QuarantineExchangeOptions): QuarantineExchange {
        return new QuarantineExchange(options);
    }

    /** Records an end that this node found, and tells the others. */
    recordEnd(end: ServerEnd): void {
        this.apply(this.quarantine, [end], "the local server");
        this.tell([end]);
    }

    /** Ends all suspicion against a request and tells the others; returns whether there was any. */
    clear(fingerprint: string): boolean {
        const ends = this.quarantine.clear(fingerprint);
        if (ends.length > 0) {
            this.tell(ends);
        }
        return ends.length > 0;
    }

    /** Records that a suspect arrived, so that the nodes hold it for longer. */
    recordArrival(fingerprint: string): void {
        if (this.quarantine.recordArrival(fingerprint)) {
            this.tell(this.quarantine.endsOf(fingerprint));
        }
        this.startRepeating();
    }

    /** Whether ends of a service count for requests to the local one: a request can come to both. */
    isShared(service: string): boolean {
        return service === this.options.service || this.options.siblingServices().includes(service);
    }

    /** Applies what another node told; returns what it wants to know, if it asked. */
    receive({ service, ends, wantsReply }: QuarantineNotice, from: string): QuarantineNotice | undefined {
        const isShared = this.isShared(service);
        const quarantine = isShared ? this.quarantine : this.otherQuarantineOf(service, ends);
        if (quarantine) {
            this.apply(quarantine, ends, from);
        }
        if (isShared && !wantsReply) {
            this.recordAnswer(from);
        }
        return wantsReply ? createNotice(service, quarantine, false) : undefined;
    }

    /**
     * Resolves when it is known what other nodes know, soon after the start of this process; undefined from then on. A
     * request that runs before could be one that they refuse.
     */
    whenInformed(): Promise<void> | undefined {
        return this.waitForOthers;
    }

    /** Makes requests wait, for a moment at most, until other nodes have been asked. */
    startWaitingForOthers(): void {
        this.waitForOthers = new Promise(resolve => {
            this.endWaitForOthers = () => {
                this.waitForOthers = undefined;
                resolve();
            };
        });
        this.options.clock.setTimer(MAXIMUM_START_WAIT_MS, () => this.endWaitForOthers());
    }

    /** Asks some nodes what they know, because this process has just started. */
    askOthers(): void {
        const { service, hostAddress, send, clock } = this.options;
        const asked = highestScoringNames(hostAddress, this.ownWitnesses(), MINIMUM_WITNESSES);
        asked.forEach(address => this.askedNodes.add(address));
        asked.forEach(address => send(address, createNotice(service, this.quarantine, true)));
        clock.setTimer(asked.length > 0 ? ANSWER_WAIT_MS : 0, () => this.endWaitForOthers());
    }

    /** Asks some nodes of services that have become siblings what they know. */
    askSiblings(services: readonly string[]): void {
        const { hostAddress, hostsOf, send } = this.options;
        for (const service of services) {
            highestScoringNames(hostAddress, [...hostsOf(service)], MINIMUM_WITNESSES)
                .forEach(address => send(address, createNotice(service, undefined, true)));
        }
    }

    /** Records that the server of a service at a host is listed no longer. */
    recordUnlisted(service: string, address: string): void {
        if (this.isShared(service) && address !== this.options.hostAddress) {
            this.unlistedHosts.delete(address);
            this.unlistedHosts.set(address, { service, untilMs: this.options.clock.nowMs() + UNLISTED_HOST_MS });
        }
    }

    /** Tells a node that could not be reached before all that is known of its service, if anything is. */
    tellRegained(address: string): void {
        if (!this.quarantine.isEmpty && this.witnesses().includes(address)) {
            this.options.send(address, createNotice(this.options.service, this.quarantine, true));
        }
    }

    private recordAnswer(address: string): void {
        if (this.askedNodes.delete(address) && this.askedNodes.size === 0) {
            this.endWaitForOthers();
        }
    }

    private apply(quarantine: Quarantine, ends: readonly ServerEnd[], from: string): void {
        const isNew = ends.map(end => quarantine.recordEnd(end)).includes(true);
        if (!isNew) {
            return;
        }
        this.options.log.decision("ends-learned", {
            from,
            ends: ends.map(({ id }) => id).join(" "),
            suspects: quarantine.size,
        });
        this.startRepeating();
    }

    /** Nodes that are to know of the ends of the local service. */
    private witnesses(): string[] {
        const { siblingServices, hostsOf } = this.options;
        const siblings = siblingServices().flatMap(service => hostsOf(service));
        return [...new Set([...this.ownWitnesses(), ...siblings, ...this.recentlyUnlisted()])];
    }

    private recentlyUnlisted(): string[] {
        const nowMs = this.options.clock.nowMs();
        for (const [address, { service, untilMs }] of this.unlistedHosts) {
            if (untilMs <= nowMs || this.options.hostsOf(service).includes(address)) {
                this.unlistedHosts.delete(address);
            }
        }
        return [...this.unlistedHosts.keys()];
    }

    /** Nodes of the service, and others where these are few. */
    private ownWitnesses(): string[] {
        const { service, hostAddress, hostsOf, allHosts } = this.options;
        const peers = hostsOf(service).filter(address => address !== hostAddress);
        if (peers.length >= MINIMUM_WITNESSES) {
            return peers;
        }
        const others = allHosts().filter(address => address !== hostAddress && !peers.includes(address));
        return [...peers, ...highestScoringNames(service, others, MINIMUM_WITNESSES - peers.length)];
    }

    private tell(ends: readonly ServerEnd[]): void {
        const notice = { service: this.options.service, ends, wantsReply: false };
        this.witnesses().forEach(address => this.options.send(address, notice));
    }

    private otherQuarantineOf(service: string, ends: readonly ServerEnd[]): Quarantine | undefined {
        const known = this.otherQuarantines.get(service);
        if (known || ends.length === 0) {
            return known;
        }
        const quarantine = Quarantine.create(this.options.clock, QUARANTINE_OPTIONS);
        this.otherQuarantines.set(service, quarantine);
        if (this.otherQuarantines.size > MAXIMUM_OTHER_SERVICES) {
            this.otherQuarantines.delete(this.otherQuarantines.keys().next().value!);
        }
        return quarantine;
    }

    /** Tells one node at a time, chosen at random, all that is known; some nodes may have missed a notice. */
    private startRepeating(): void {
        this.repeatsUntilMs = this.options.clock.nowMs() + REPETITION_MS;
        if (!this.isRepeating) {
            this.isRepeating = true;
            this.repeatLater();
        }
    }

    private repeatLater(): void {
        this.options.clock.setTimer(REPETITION_INTERVAL_MS, () => {
            if (this.options.clock.nowMs() > this.repeatsUntilMs || this.quarantine.isEmpty) {
                this.isRepeating = false;
                return;
            }
            const witnesses = this.witnesses();
            const address = witnesses[Math.floor(Math.random() * witnesses.length)];
            if (address !== undefined) {
                this.options.send(address, createNotice(this.options.service, this.quarantine, false));
            }
            this.repeatLater();
        });
    }
}

function createNotice(service: string, quarantine: Quarantine | undefined, wantsReply: boolean): QuarantineNotice {
    return { service, ends: selectForNotice(quarantine?.list() ?? []), wantsReply };
}
