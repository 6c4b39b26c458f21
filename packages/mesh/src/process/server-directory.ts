/**
 * The backend servers that this node knows, and which of them may receive new requests.
 */
import type { Clock } from "@radishrouter/core";
import Emittery from "emittery";
import type { FleetHost } from "./relay-tree.js";

/** Identifies one start of a backend server. */
export interface ServerStart {
    /** Name of the server; the same for several starts if the server restarts under the same name. */
    readonly instance: string;
    /** Unix time in ms of its start; undefined when its entry does not contain it. */
    readonly startedAtMs: number | undefined;
}

/** Backend server as listed by the platform. */
export interface BackendServer extends ServerStart {
    readonly service: string;
    /** IP address of its host, at which the node on that host also listens. */
    readonly hostAddress: string;
    readonly port: number;
    readonly failureDomain: string;
    /** Number of requests that it runs at once. */
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** Milliseconds, from when the entry was written, for which the server is still warming up and slower. */
    readonly warmUpRemainingMs: number;
    /** Number of the entry's last write by this start of the server; counts up. */
    readonly sequence: number;
    /**
     * Position of the entry in the order in which the store's entries were written; undefined if it is not known. Unlike
     * the start that an entry names, it does not depend on the time of day of the server's host.
     */
    readonly writeOrder?: number;
}

/** Backend server with the state that this node keeps about it. */
export interface KnownServer extends BackendServer {
    /** Time of the monotonic clock until which the server is warming up and slower. */
    readonly warmingUpUntilMs: number;
    /** Time of the monotonic clock at which its entry disappeared while the platform was disturbed; else undefined. */
    readonly missingSinceMs: number | undefined;
}

/** A change of one server in the directory. */
export interface DirectoryChange {
    readonly kind: "joined" | "restarted" | "changed" | "draining" | "missing" | "left";
    readonly server: BackendServer;
    readonly cause: string;
    /** Time since the change at most: the last proof before it showed the server as it was. */
    readonly maximumAgeMs: number;
}

/** Servers of each service. */
interface ServiceIndex {
    /** Servers that may receive new requests. */
    readonly ready: ReadonlyMap<string, readonly KnownServer[]>;
    /** Evacuated failure domains of servers that could receive new requests otherwise. */
    readonly evacuatedDomains: ReadonlyMap<string, ReadonlySet<string>>;
}

/** Hosts at which servers are listed. */
interface HostIndex {
    readonly byAddress: ReadonlyMap<string, FleetHost>;
    readonly list: readonly FleetHost[];
    /** Addresses by the services of their servers. */
    readonly byService: ReadonlyMap<string, ReadonlySet<string>>;
}

/**
 * How it was learned that a server leaves: from an entry that says so, from its entry's removal, or from one of its own
 * responses, which can be read before what the server wrote earlier has arrived.
 */
type DepartureSource = "entry" | "removal" | "response";

/** What was known of a server when it began to leave. */
interface Departure {
    readonly source: DepartureSource;
    readonly learnedAtMs: number;
    readonly startedAtMs: number | undefined;
    readonly writeOrder: number | undefined;
    /** Number of its last write that was known. */
    sequence: number;
}

/** Servers that leave or have left and are remembered, the last ones. */
const MAXIMUM_DEPARTURES = 1_024;
/** Time within which an entry may arrive that was written before what was learned of its server by another way. */
const LATE_ENTRY_MS = 5_000;

/** Backend servers by instance and by service. */
export class ServerDirectory {
    /** Emits `changed` for each change of a server. */
    readonly events: Emittery<{ changed: DirectoryChange; }> = new Emittery();
    private readonly servers = new Map<string, KnownServer>();
    /** Rebuilt on the first lookup after a change, because many entries may change at once. */
    private services: ServiceIndex | undefined;
    /** Rebuilt only after a server joined, moved or left, because much is derived from it. */
    private hosts: HostIndex | undefined;
    private readonly departures = new Map<string, Departure>();
    private isLoaded = false;

    private constructor(
        private readonly clock: Clock,
        private readonly leavingUseMs: number,
        private readonly isEvacuated: (failureDomain: string) => boolean,
    ) {}

    /**
     * `leavingUseMs` is the time for which a server that leaves without notice may still get requests. After a change of
     * what `isEvacuated` returns, `applyEvacuations` has to be called.
     */
    static create(
        clock: Clock,
        leavingUseMs = Infinity,
        isEvacuated: (failureDomain: string) => boolean = () => false,
    ): ServerDirectory {
        return new ServerDirectory(clock, leavingUseMs, isEvacuated);
    }

    /** Whether a complete list was read since the start. */
    get hasList(): boolean {
        return this.isLoaded;
    }

    /** Whether a backend server is listed at a host. */
    hasHost(address: string): boolean {
        return this.currentHosts().byAddress.has(address);
    }

    /** The hosts with their failure domains; the same array until a server joins, moves or leaves. */
    get fleetHosts(): readonly FleetHost[] {
        return this.currentHosts().list;
    }

    /** All servers of a service that may receive new requests. */
    readyServers(service: string): readonly KnownServer[] {
        return this.currentServices().ready.get(service) ?? [];
    }

    /** Evacuated failure domains of a service's servers that could receive new requests otherwise. */
    evacuatedDomainsOf(service: string): Iterable<string> {
        return this.currentServices().evacuatedDomains.get(service) ?? [];
    }

    /** Leaves out the servers of the failure domains that are evacuated now. */
    applyEvacuations(): void {
        this.services = undefined;
    }

    /** Addresses of the hosts at which servers of a service are listed, also of those that get no new requests. */
    hostsOf(service: string): readonly string[] {
        return [...this.currentHosts().byService.get(service) ?? []];
    }

    /** All listed servers. */
    all(): IterableIterator<KnownServer> {
        return this.servers.values();
    }

    /** Finds a listed server by its instance. */
    find(instance: string): KnownServer | undefined {
        return this.servers.get(instance);
    }

    /** Finds the listed server at an address; if several have used the address, the one that started last. */
    findByAddress(hostAddress: string, port: number): KnownServer | undefined {
        let found: KnownServer | undefined;
        for (const server of this.servers.values()) {
            if (server.hostAddress === hostAddress && server.port === port && startsAfter(server, found)) {
                found = server;
            }
        }
        return found;
    }

    /** Whether a server is known to leave, or to have left. */
    isLeaving(instance: string): boolean {
        return this.servers.get(instance)?.state === "draining" ||
            (!this.servers.has(instance) && this.departures.has(instance));
    }

    /** Adds or updates one entry. */
    upsert(server: BackendServer, cause: string, maximumAgeMs = 0): void {
        const before = this.servers.get(server.instance);
        const known: KnownServer = {
            ...server,
            warmingUpUntilMs: this.clock.nowMs() + server.warmUpRemainingMs,
            missingSinceMs: undefined,
        };
        this.servers.set(server.instance, known);
        this.services = undefined;
        if (server.state === "draining") {
            this.remember(server, "entry");
        }
        else {
            this.departures.delete(server.instance);
        }
        if (before?.hostAddress !== server.hostAddress || before.failureDomain !== server.failureDomain) {
            this.hosts = undefined;
        }
        const change = changeBetween(before, server);
        if (change) {
            void this.events.emit("changed", { kind: change, server, cause, maximumAgeMs });
        }
    }

    /** Records that a listed server said in a response that it leaves; a later start of the server does not. */
    recordLeaving({ instance, startedAtMs }: ServerStart, cause: string): void {
        const server = this.servers.get(instance);
        const isOtherStart = server?.startedAtMs !== startedAtMs && startedAtMs !== undefined;
        if (!server || server.state === "draining" || isOtherStart) {
            return;
        }
        const draining: KnownServer = { ...server, state: "draining" };
        this.servers.set(instance, draining);
        this.services = undefined;
        this.remember(server, "response");
        void this.events.emit("changed", { kind: "draining", server: draining, cause, maximumAgeMs: 0 });
    }

    /**
     * Removes an entry that disappeared from the platform. After an outage of the platform a lapsed entry does not prove
     * that the server has left, so the server stays usable for `graceMs`, in which such entries come back; but not longer
     * than a server that leaves serves, unless most of its service is missing, as only an outage can cause.
     */
    remove(instance: string, graceMs: number, cause: string, maximumAgeMs = 0): void {
        const server = this.servers.get(instance);
        if (!server || server.missingSinceMs !== undefined) {
            return;
        }
        if (graceMs <= 0 || server.state === "draining") {
            this.drop(server, cause, maximumAgeMs);
            return;
        }
        this.servers.set(instance, { ...server, missingSinceMs: this.clock.nowMs() });
        this.services = undefined;
        void this.events.emit("changed", { kind: "missing", server, cause, maximumAgeMs });
        this.clock.setTimer(Math.min(graceMs, this.leavingUseMs), () => this.dropUnlessLapsed(instance, graceMs));
    }

    /** Records that a complete list was read. */
    markLoaded(): void {
        this.isLoaded = true;
    }

    /**
     * Whether an entry is older than what is known of its server: a server that leaves must not return by an entry that
     * was written before. A new start of the server, or a later write, counts. From an older copy of the platform's
     * store, the last entry before a removal is outdated too; else it shows a server that is back. Which of two starts is
     * the later one follows from the order of their writes, and from the times that they name only where that order is not
     * known.
     */
    isOutdated(server: BackendServer, isOlderCopy: boolean): boolean {
        const departure = this.departures.get(server.instance);
        if (!departure || server.state !== "ready") {
            return false;
        }
        const mayBeLate = this.clock.nowMs() - departure.learnedAtMs < LATE_ENTRY_MS;
        const startedLaterMs = (server.startedAtMs ?? 0) - (departure.startedAtMs ?? 0);
        if (startedLaterMs !== 0 && server.writeOrder !== undefined && !isOlderCopy) {
            return server.writeOrder <= (departure.writeOrder ?? -Infinity);
        }
        if (startedLaterMs !== 0) {
            // Where the time of day went back, a new start can bear an earlier time.
            return startedLaterMs < 0 && (isOlderCopy || mayBeLate);
        }
        if (departure.source === "response" && mayBeLate) {
            departure.sequence = Math.max(departure.sequence, server.sequence);
            return true;
        }
        const comparesWrites = isOlderCopy || (departure.source !== "removal" && server.startedAtMs !== undefined);
        return comparesWrites && server.sequence <= departure.sequence;
    }

    /** Drops a server that may have left as planned; waits for the end of the grace where an outage took most of them. */
    private dropUnlessLapsed(instance: string, graceMs: number): void {
        const server = this.servers.get(instance);
        if (server && graceMs > this.leavingUseMs && this.isMostlyMissing(server.service)) {
            this.clock.setTimer(graceMs - this.leavingUseMs, () => this.dropIfStillMissing(instance));
            return;
        }
        this.dropIfStillMissing(instance);
    }

    private isMostlyMissing(service: string): boolean {
        const servers = [...this.servers.values()].filter(server => server.service === service);
        const missing = servers.filter(server => server.missingSinceMs !== undefined);
        return missing.length * 2 > servers.length;
    }

    private dropIfStillMissing(instance: string): void {
        const server = this.servers.get(instance);
        if (server?.missingSinceMs !== undefined) {
            const missingMs = this.clock.nowMs() - server.missingSinceMs;
            this.drop(server, "its entry did not come back after the outage", missingMs);
        }
    }

    private drop(server: KnownServer, cause: string, maximumAgeMs: number): void {
        this.servers.delete(server.instance);
        if (server.state === "ready") {
            this.remember(server, "removal");
        }
        this.services = undefined;
        this.hosts = undefined;
        void this.events.emit("changed", { kind: "left", server, cause, maximumAgeMs });
    }

    private remember(server: BackendServer, source: DepartureSource): void {
        const { instance, startedAtMs, sequence, writeOrder } = server;
        this.departures.delete(instance);
        this.departures.set(instance, { source, learnedAtMs: this.clock.nowMs(), startedAtMs, sequence, writeOrder });
        if (this.departures.size > MAXIMUM_DEPARTURES) {
            this.departures.delete(this.departures.keys().next().value!);
        }
    }

    private currentServices(): ServiceIndex {
        this.services ??= indexServices(this.servers.values(), this.isEvacuated);
        return this.services;
    }

    private currentHosts(): HostIndex {
        this.hosts ??= indexHosts(this.servers.values());
        return this.hosts;
    }
}

function indexServices(
    servers: Iterable<KnownServer>,
    isEvacuated: (failureDomain: string) => boolean,
): ServiceIndex {
    const ready = new Map<string, KnownServer[]>();
    const evacuatedDomains = new Map<string, Set<string>>();
    for (const server of servers) {
        const { service, state, failureDomain } = server;
        if (state === "ready" && isEvacuated(failureDomain)) {
            evacuatedDomains.set(service, (evacuatedDomains.get(service) ?? new Set()).add(failureDomain));
        }
        else if (state === "ready") {
            const list = ready.get(service) ?? [];
            list.push(server);
            ready.set(service, list);
        }
    }
    return { ready, evacuatedDomains };
}

function indexHosts(servers: Iterable<KnownServer>): HostIndex {
    const byAddress = new Map<string, FleetHost>();
    const byService = new Map<string, Set<string>>();
    for (const { hostAddress, failureDomain, service } of servers) {
        byAddress.set(hostAddress, { address: hostAddress, failureDomain });
        byService.set(service, (byService.get(service) ?? new Set()).add(hostAddress));
    }
    return { byAddress, byService, list: [...byAddress.values()] };
}

/** Only one server can use an address at a time, so the one whose entry was written last started last. */
function startsAfter(server: KnownServer, other: KnownServer | undefined): boolean {
    if (server.writeOrder !== undefined && other?.writeOrder !== undefined) {
        return server.writeOrder > other.writeOrder;
    }
    return !other || (server.startedAtMs ?? 0) >= (other.startedAtMs ?? 0);
}

function changeBetween(before: KnownServer | undefined, after: BackendServer): DirectoryChange["kind"] | undefined {
    if (!before) {
        return "joined";
    }
    if (before.startedAtMs !== after.startedAtMs) {
        return "restarted";
    }
    if (before.state !== after.state && after.state === "draining") {
        return "draining";
    }
    const isSame = before.state === after.state && before.hostAddress === after.hostAddress &&
        before.failureDomain === after.failureDomain && before.slots === after.slots &&
        before.missingSinceMs === undefined;
    return isSame ? undefined : "changed";
}
