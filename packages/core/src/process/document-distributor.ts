/**
 * Distributes published documents among nodes by gossip: a change is pushed to the neighbours, and digests that are
 * exchanged at intervals with a neighbour or a random peer repair what a push missed.
 */
import { create } from "@bufbuild/protobuf";
import type { DocumentDelta, DocumentDigest, DocumentKind } from "@radishrouter/protocol";
import { DocumentDeltaSchema, DocumentDigestSchema, DocumentRecordSchema } from "@radishrouter/protocol";
import type { ControlTransport, ReceivedMessage } from "../connection/control-transport.js";
import type { Clock, Timer } from "./clock.js";
import { setRepeatingTimer } from "./clock.js";
import type { DocumentReplica } from "./document-replica.js";

/** Peers that a distributor exchanges documents with, by host name. */
export interface DistributionPeers {
    /** Hosts with which this node already has control streams, for membership. */
    neighbours(): string[];
    /** Any live host of the fleet. */
    randomPeer(): string | undefined;
}

/** The operations of a replica that distribution needs, whatever the type of its content. */
export type DistributedReplica = Pick<
    DocumentReplica,
    "kind" | "version" | "hash" | "offerChange" | "changeFrom" | "compareHash"
>;

/** Dependencies of a distributor. */
export interface DocumentDistributorOptions {
    readonly clock: Clock;
    readonly transport: ControlTransport;
    readonly peers: DistributionPeers;
    readonly replicas: readonly DistributedReplica[];
    readonly random?: () => number;
}

const DIGEST_INTERVAL_MS = 2_000;
/** One in this many rounds of digests goes to a random peer instead of a neighbour. */
const RANDOM_PEER_EVERY_ROUNDS = 5;
const MAXIMUM_PUSH_TARGETS = 8;
/** Number of entries in `peerVersions` above which those of hosts that are not neighbours are evicted. */
const PEER_VERSION_EVICTION_SIZE = 128;

/** Synchronizes the replicas of a node with those of its peers. */
export class DocumentDistributor {
    /** Version that each peer last reported or was last sent, by kind and host. */
    private readonly peerVersions = new Map<string, number>();
    private readonly replicas: ReadonlyMap<DocumentKind, DistributedReplica>;
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
        this.timer = setRepeatingTimer(this.options.clock, DIGEST_INTERVAL_MS, () => this.exchangeWithOnePeer());
    }

    /** Stops answering peers and exchanging digests. */
    stop(): void {
        this.timer?.cancel();
        this.unsubscribe?.();
    }

    /** Sends a host the versions of this node, and asks for those of the host. */
    exchangeDigests(host: string): void {
        for (const replica of this.replicas.values()) {
            this.sendDigest(host, replica, { answerWanted: true });
        }
    }

    /**
     * Sends the active version to the neighbours that reported an older one, and a digest to those whose version is
     * unknown.
     */
    push(kind: DocumentKind): void {
        const replica = this.replicas.get(kind);
        if (!replica) {
            return;
        }
        for (const host of this.options.peers.neighbours().slice(0, MAXIMUM_PUSH_TARGETS)) {
            const known = this.peerVersions.get(peerVersionKey(kind, host));
            if (known === undefined) {
                this.sendDigest(host, replica, { answerWanted: true });
            }
            else if (known < replica.version) {
                this.sendChange(host, replica, known);
            }
        }
    }

    private exchangeWithOnePeer(): void {
        const neighbours = this.options.peers.neighbours();
        this.evictPeerVersions(neighbours);
        const neighbour = neighbours[Math.floor(this.random() * neighbours.length)];
        const isRandomRound = this.round++ % RANDOM_PEER_EVERY_ROUNDS === 0;
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
        this.peerVersions.set(peerVersionKey(digest.kind, sender), version);
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
        this.peerVersions.set(peerVersionKey(delta.kind, sender), change.version);
        const outcome = replica.offerChange(change, sender);
        switch (outcome) {
            case "adopted":
                this.push(delta.kind);
                return;
            case "base-differs":
                this.requestChange(sender, replica, change.fromVersion);
                return;
            case "not-newer":
            case "conflict":
            case "invalid":
                return;
        }
    }

    /** Requests a change from the active version, or the complete document if such a change could not be applied. */
    private requestChange(host: string, replica: DistributedReplica, fromVersion: number): void {
        const version = fromVersion === replica.version ? 0 : replica.version;
        this.sendDigest(host, replica, { answerWanted: false, version });
    }

    private sendChange(host: string, replica: DistributedReplica, fromVersion: number): void {
        const change = replica.changeFrom(fromVersion);
        this.peerVersions.set(peerVersionKey(replica.kind, host), replica.version);
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
        replica: DistributedReplica,
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

    /** Evicts versions of hosts that are not neighbours, so that random peers do not accumulate in the map. */
    private evictPeerVersions(neighbours: readonly string[]): void {
        if (this.peerVersions.size <= PEER_VERSION_EVICTION_SIZE) {
            return;
        }
        const kept = new Set(
            neighbours.flatMap(host => [...this.replicas.keys()].map(kind => peerVersionKey(kind, host))),
        );
        for (const key of [...this.peerVersions.keys()].filter(key => !kept.has(key))) {
            this.peerVersions.delete(key);
        }
    }
}

function peerVersionKey(kind: DocumentKind, host: string): string {
    return `${kind}/${host}`;
}
