/**
 * The backend servers that this node knows of, and which of them may get new work.
 */
import type { Clock } from "@radishrouter/core";
import Emittery from "emittery";

/** Backend server as the platform lists it. */
export interface BackendServer {
    /** Names one start of a backend server, or several if it starts again under its old name. */
    readonly instance: string;
    readonly service: string;
    /** IP address of its host, where its node also listens. */
    readonly hostAddress: string;
    readonly port: number;
    readonly failureDomain: string;
    /** Requests that it runs at once. */
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** Milliseconds after the entry was written for which the server is still slow from its start. */
    readonly warmUpRemainingMs: number;
    /** Unix time in ms of its start; undefined when it does not say. */
    readonly startedAtMs: number | undefined;
}

/** Backend server with what this node knows about its place in the fleet. */
export interface KnownServer extends BackendServer {
    /** Time of the steady clock until which the server is slow from its start. */
    readonly warmingUpUntilMs: number;
    /** Time of the steady clock at which its entry went away while the platform could not be trusted. */
    readonly missingSinceMs: number | undefined;
}

/** A change of what the node knows. */
export interface DirectoryChange {
    readonly kind: "joined" | "changed" | "draining" | "missing" | "left";
    readonly server: BackendServer;
    readonly cause: string;
}

/** What is looked up for each request. */
interface DirectoryIndex {
    /** Servers that may get new work. */
    readonly byService: ReadonlyMap<string, readonly KnownServer[]>;
    readonly hosts: readonly string[];
}

/** Time for which entries that lapsed during an outage of the platform may come back. */
const RETURN_OF_LAPSED_MS = 2_500;

/** Backend servers by instance and by service. */
export class ServerDirectory {
    /** Emits `changed` for each change of a server. */
    readonly events: Emittery<{ changed: DirectoryChange; }> = new Emittery();
    private readonly servers = new Map<string, KnownServer>();
    /** Made when it is next read after a change, as many entries may change at once. */
    private index: DirectoryIndex | undefined;
    private isLoaded = false;

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): ServerDirectory {
        return new ServerDirectory(clock);
    }

    /** Whether a whole list was read since the start. */
    get hasList(): boolean {
        return this.isLoaded;
    }

    /** Addresses of the hosts with a listed backend server, also those that are leaving. */
    get hosts(): readonly string[] {
        return this.currentIndex().hosts;
    }

    /** All servers of a service that may get new work. */
    readyServers(service: string): readonly KnownServer[] {
        return this.currentIndex().byService.get(service) ?? [];
    }

    /** All listed servers. */
    all(): IterableIterator<KnownServer> {
        return this.servers.values();
    }

    /** Listed server by its instance. */
    find(instance: string): KnownServer | undefined {
        return this.servers.get(instance);
    }

    /** Listed server at an address; the one that started last when an address was used again. */
    findByAddress(hostAddress: string, port: number): KnownServer | undefined {
        let found: KnownServer | undefined;
        for (const server of this.servers.values()) {
            if (server.hostAddress === hostAddress && server.port === port && startsAfter(server, found)) {
                found = server;
            }
        }
        return found;
    }

    /** Adopts one entry. */
    upsert(server: BackendServer, cause: string): void {
        const before = this.servers.get(server.instance);
        const known: KnownServer = {
            ...server,
            warmingUpUntilMs: this.clock.nowMs() + server.warmUpRemainingMs,
            missingSinceMs: undefined,
        };
        this.servers.set(server.instance, known);
        this.index = undefined;
        const change = changeBetween(before, server);
        if (change) {
            void this.events.emit("changed", { kind: change, server, cause });
        }
    }

    /**
     * Takes out an entry that is gone. While the platform was disturbed a moment ago, a lapsed entry is no proof that
     * the server is gone, so it stays usable for the time in which such entries come back.
     */
    remove(instance: string, isPlatformSound: boolean, cause: string): void {
        const server = this.servers.get(instance);
        if (!server || server.missingSinceMs !== undefined) {
            return;
        }
        if (isPlatformSound || server.state === "draining") {
            this.drop(server, cause);
            return;
        }
        this.servers.set(instance, { ...server, missingSinceMs: this.clock.nowMs() });
        this.index = undefined;
        void this.events.emit("changed", { kind: "missing", server, cause });
        this.clock.setTimer(RETURN_OF_LAPSED_MS, () => this.dropIfStillMissing(instance));
    }

    /** Adopts a whole list; servers that it lacks are removed. */
    replace(servers: readonly BackendServer[], isPlatformSound: boolean, cause: string): void {
        this.isLoaded = true;
        const listed = new Set(servers.map(server => server.instance));
        for (const instance of [...this.servers.keys()].filter(instance => !listed.has(instance))) {
            this.remove(instance, isPlatformSound, cause);
        }
        for (const server of servers) {
            this.upsert(server, cause);
        }
    }

    private dropIfStillMissing(instance: string): void {
        const server = this.servers.get(instance);
        if (server?.missingSinceMs !== undefined) {
            this.drop(server, "its entry did not come back after the outage");
        }
    }

    private drop(server: KnownServer, cause: string): void {
        this.servers.delete(server.instance);
        this.index = undefined;
        void this.events.emit("changed", { kind: "left", server, cause });
    }

    private currentIndex(): DirectoryIndex {
        this.index ??= createIndex(this.servers.values());
        return this.index;
    }
}

function createIndex(servers: Iterable<KnownServer>): DirectoryIndex {
    const byService = new Map<string, KnownServer[]>();
    const hosts = new Set<string>();
    for (const server of servers) {
        hosts.add(server.hostAddress);
        if (server.state === "ready") {
            const list = byService.get(server.service) ?? [];
            list.push(server);
            byService.set(server.service, list);
        }
    }
    return { byService, hosts: [...hosts].sort() };
}

function startsAfter(server: KnownServer, other: KnownServer | undefined): boolean {
    return !other || (server.startedAtMs ?? 0) >= (other.startedAtMs ?? 0);
}

function changeBetween(before: KnownServer | undefined, after: BackendServer): DirectoryChange["kind"] | undefined {
    if (!before) {
        return "joined";
    }
    if (before.state !== after.state && after.state === "draining") {
        return "draining";
    }
    const isSame = before.state === after.state && before.startedAtMs === after.startedAtMs &&
        before.hostAddress === after.hostAddress && before.slots === after.slots &&
        before.missingSinceMs === undefined;
    return isSame ? undefined : "changed";
}
