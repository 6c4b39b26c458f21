/**
 * Spreads published documents among nodes: changes are pushed to neighbours, and digests that are exchanged with random
 * peers repair what a push missed.
 */
import { create } from "@bufbuild/protobuf";
import type { DocumentDelta, DocumentDigest, DocumentKind } from "@radishrouter/protocol";
import { DocumentDeltaSchema, DocumentDigestSchema, DocumentRecordSchema } from "@radishrouter/protocol";
import type { ControlTransport, ReceivedMessage } from "../connection/control-transport.js";
import type { Clock, Timer } from "./clock.js";
import { setRepeatingTimer } from "./clock.js";
import type { DocumentReplica } from "./document-replica.js";

/** Peers that a distributor talks to, by host name. */
export interface DistributionPeers {
    /** Hosts with which this node keeps control streams anyway. */
    neighbours(): string[];
    /** Any live host of the fleet. */
    randomPeer(): string | undefined;
}

/** A replica as far as it matters for spreading it, whatever its content. */
export type SpreadReplica = Pick<
    DocumentReplica,
    "kind" | "version" | "hash" | "offerChange" | "changeFrom" | "compareHash"
>;

/** Parts of a distributor. */
export interface DocumentDistributorOptions {
    readonly clock: Clock;
    readonly transport: ControlTransport;
    readonly peers: DistributionPeers;
    readonly replicas: readonly SpreadReplica[];
    readonly random?: () => number;
}

const NEIGHBOUR_DIGEST_INTERVAL_MS = 2_000;
const RANDOM_DIGEST_EVERY = 5;
const MAXIMUM_PUSHES = 8;
const MAXIMUM_KNOWN_VERSIONS = 128;

/** Keeps the replicas of a node level with those of its peers. */
export class DocumentDistributor {
    /** Version that each peer last said it has, by kind and host. */
    private readonly known = new Map<string, number>();
    private readonly replicas: ReadonlyMap<DocumentKind, SpreadReplica>;
    private readonly random: () => number;
    private timer: Timer | undefined;
    private unsubscribe: (() => void) | undefined;
    private round = 0;

    private constructor(private readonly options: DocumentDistributorOptions) {
        this.replicas = new Map(options.replicas.map(replica => [replica.kind, replica]));
        this.random = options.random ?? Math.random;
    }

    static create(options: DocumentDistributorOptions): DocumentDistributor {
        return new DocumentDistributor(options);
    }

    /** Starts answering peers and exchanging digests. */
    start(): void {
        this.unsubscribe = this.options.transport.subscribe(received => this.receive(received));
        this.timer = setRepeatingTimer(this.options.clock, NEIGHBOUR_DIGEST_INTERVAL_MS, () => this.exchange());
    }

    /** Stops. */
    stop(): void {
        this.timer?.cancel();
        this.unsubscribe?.();
    }

    /** Tells a host which versions this node has, and asks for its own. */
    exchangeDigests(host: string): void {
        for (const replica of this.replicas.values()) {
            this.sendDigest(host, replica, { answerWanted: true });
        }
    }

    /** Sends the version in force to the neighbours that are not known to have it. */
    push(kind: DocumentKind): void {
        const replica = this.replicas.get(kind);
        if (!replica) {
            return;
        }
        for (const host of this.options.peers.neighbours().slice(0, MAXIMUM_PUSHES)) {
            const known = this.known.get(knownKey(kind, host));
            if (known === undefined) {
                this.sendDigest(host, replica, { answerWanted: true });
            }
            else if (known < replica.version) {
                this.sendChange(host, replica, known);
            }
        }
    }

    private exchange(): void {
        const neighbours = this.options.peers.neighbours();
        this.forgetStrangers(neighbours);
        const neighbour = neighbours[Math.floor(this.random() * neighbours.length)];
        const isRandomRound = this.round++ % RANDOM_DIGEST_EVERY === 0;
        const peer = isRandomRound || neighbour === undefined ? this.options.peers.randomPeer() : neighbour;
        if (peer !== undefined) {
            this.exchangeDigests(peer);
        }
    }

    private receive({ sender, message }: ReceivedMessage): void {
        switch (message.body.case) {
            case "documentDigest":
                this.handleDigest(sender, message.body.value);
                return;
            case "documentDelta":
                this.handleDelta(sender, message.body.value);
                return;
            default:
                return;
        }
    }

    private handleDigest(sender: string, digest: DocumentDigest): void {
        const replica = this.replicas.get(digest.kind);
        if (!replica) {
            return;
        }
        const version = Number(digest.version);
        this.known.set(knownKey(digest.kind, sender), version);
        if (version < replica.version) {
            this.sendChange(sender, replica, version);
        }
        else if (version > replica.version) {
            this.sendDigest(sender, replica, { answerWanted: false });
        }
        else {
            replica.compareHash(digest.hash, sender);
            if (digest.answerWanted) {
                this.sendDigest(sender, replica, { answerWanted: false });
            }
        }
    }

    private handleDelta(sender: string, delta: DocumentDelta): void {
        const replica = this.replicas.get(delta.kind);
        if (!replica) {
            return;
        }
        const change = { ...delta, fromVersion: Number(delta.fromVersion), version: Number(delta.version) };
        this.known.set(knownKey(delta.kind, sender), change.version);
        const outcome = replica.offerChange(change, sender);
        switch (outcome) {
            case "adopted":
                this.push(delta.kind);
                return;
            case "base-differs":
                this.askAgain(sender, replica, change.fromVersion);
                return;
            case "not-newer":
            case "conflict":
            case "invalid":
                return;
        }
    }

    /** Asks for a change from the version in force, or for the whole document if that change did not fit. */
    private askAgain(host: string, replica: SpreadReplica, fromVersion: number): void {
        const version = fromVersion === replica.version ? 0 : replica.version;
        this.sendDigest(host, replica, { answerWanted: false, version });
    }

    private sendChange(host: string, replica: SpreadReplica, fromVersion: number): void {
        const change = replica.changeFrom(fromVersion);
        this.known.set(knownKey(replica.kind, host), replica.version);
        const value = create(DocumentDeltaSchema, {
            kind: replica.kind,
            fromVersion: BigInt(change.fromVersion),
            version: BigInt(change.version),
            hash: change.hash,
            records: change.records.map(record => create(DocumentRecordSchema, record)),
        });
        this.options.transport.send(host, { case: "documentDelta", value });
    }

    private sendDigest(
        host: string,
        replica: SpreadReplica,
        options: { answerWanted: boolean; version?: number; },
    ): void {
        const value = create(DocumentDigestSchema, {
            kind: replica.kind,
            version: BigInt(options.version ?? replica.version),
            hash: replica.hash,
            answerWanted: options.answerWanted,
        });
        this.options.transport.send(host, { case: "documentDigest", value });
    }

    /** Forgets hosts that are no longer neighbours, so that random peers do not add up. */
    private forgetStrangers(neighbours: readonly string[]): void {
        if (this.known.size <= MAXIMUM_KNOWN_VERSIONS) {
            return;
        }
        const kept = new Set(neighbours.flatMap(host => [...this.replicas.keys()].map(kind => knownKey(kind, host))));
        for (const key of [...this.known.keys()].filter(key => !kept.has(key))) {
            this.known.delete(key);
        }
    }
}

function knownKey(kind: DocumentKind, host: string): string {
    return `${kind}/${host}`;
}
