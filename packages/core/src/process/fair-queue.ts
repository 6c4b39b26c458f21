/**
 * Start-time fair queue: ordered by importance, then fair between organisations by weight.
 *
 * Handles an organisation that sends several times its share. Queues hold some hundreds of entries and change more than a
 * thousand times a second, so that no operation looks at all entries.
 */
import { SortedList } from "./sorted-list.js";

/** Properties of an entry that the queue needs. */
export interface QueueEntry {
    readonly organisation: string;
    /** Entries of a higher rank are served earlier and shed later. */
    readonly rank: number;
    /** Weight of the organisation as the entry names it; takes precedence over the weights of the queue. */
    readonly weight?: number | undefined;
}

interface TaggedEntry<Entry> {
    readonly entry: Entry;
    readonly startTag: number;
    readonly cost: number;
    /** Position in the order of arrival. */
    readonly sequence: number;
}

/** What the queue knows of an organisation, until it has no entries and none of its share is used ahead. */
interface QueuedOrganisation {
    finishTag: number;
    /** Waiting entries. */
    waiting: number;
    /** Waiting entries of each rank. */
    readonly waitingByRank: Map<number, number>;
}

interface RankQueue<Entry> {
    readonly rank: number;
    readonly entries: SortedList<TaggedEntry<Entry>>;
}

/** Smallest share of the queue that an organisation is assumed to have, in entries. */
const MINIMUM_SHARE = 2;

/**
 * Orders waiting requests so that organisations are served in proportion to their weights.
 *
 * Each entry gets a start tag: the virtual time at which it would start if every organisation had a dedicated server
 * whose speed is its weight. All ranks of an organisation share its tags, so that critical requests use up its share.
 */
export class FairQueue<Entry extends QueueEntry> {
    /** Queues of the ranks that had entries, the highest first. */
    private ranks: RankQueue<Entry>[] = [];
    private readonly tagged = new Map<Entry, TaggedEntry<Entry>>();
    private readonly organisations = new Map<string, QueuedOrganisation>();
    private lastSequence = 0;

    private constructor(private weightOf: (organisation: string) => number) {}

    static create<Entry extends QueueEntry>(weightOf: (organisation: string) => number): FairQueue<Entry> {
        return new FairQueue<Entry>(weightOf);
    }

    /** Number of waiting entries. */
    get length(): number {
        return this.tagged.size;
    }

    /** Sets the weights of organisations for entries that are added later. */
    setWeights(weightOf: (organisation: string) => number): void {
        this.weightOf = weightOf;
    }

    /** Upper bound of the entries served before a new entry of a rank: the waiting entries of at least this rank. */
    countAhead(rank: number): number {
        let count = 0;
        for (const queue of this.ranks) {
            count += queue.rank >= rank ? queue.entries.length : 0;
        }
        return count;
    }

    /** Number of organisations with waiting entries; looks at all organisations, for metrics. */
    waitingOrganisations(): number {
        let count = 0;
        for (const { waiting } of this.organisations.values()) {
            count += waiting > 0 ? 1 : 0;
        }
        return count;
    }

    /** Number of waiting entries of a rank. */
    countOfRank(rank: number): number {
        return this.findRank(rank)?.entries.length ?? 0;
    }

    /** Number of waiting entries of its own rank that are served before an entry if it is added now. */
    countAheadInRank(entry: Entry): number {
        const queue = this.findRank(entry.rank);
        return queue ? queue.entries.countBefore(this.tag(entry)) : 0;
    }

    /**
     * Fraction of an organisation's share of the queue that its entries of at least a rank use; 1 is the full share,
     * and more is possible. Shares are proportional to the weights of the waiting organisations, with a minimum of
     * {@link MINIMUM_SHARE} entries.
     */
    usedShareFraction(organisation: string, rank: number, queueLimit: number): number {
        let totalWeight = 0;
        for (const [name, { waiting }] of this.organisations) {
            totalWeight += waiting > 0 ? this.weightOf(name) : 0;
        }
        const share = queueLimit * this.weightOf(organisation) / Math.max(totalWeight, Number.MIN_VALUE);
        let used = 0;
        for (const [waitingRank, count] of this.organisations.get(organisation)?.waitingByRank ?? []) {
            used += waitingRank >= rank ? count : 0;
        }
        return Math.max(0, used - 0.5) / Math.max(MINIMUM_SHARE, share);
    }

    /** Adds an entry. */
    push(entry: Entry): void {
        const tagged = this.tag(entry);
        const organisation = this.organisationOf(entry);
        organisation.finishTag = tagged.startTag + tagged.cost;
        organisation.waiting++;
        organisation.waitingByRank.set(entry.rank, (organisation.waitingByRank.get(entry.rank) ?? 0) + 1);
        this.lastSequence = tagged.sequence;
        this.tagged.set(entry, tagged);
        this.rankOf(entry.rank).entries.add(tagged);
    }

    /** Removes and returns the entry to serve next. */
    takeNext(): Entry | undefined {
        const next = this.ranks.find(({ entries }) => entries.length > 0)?.entries.first;
        return next && this.take(next);
    }

    /** Removes and returns the entry of a rank to serve next. */
    takeNextOfRank(rank: number): Entry | undefined {
        const next = this.findRank(rank)?.entries.first;
        return next && this.take(next);
    }

    /** Removes and returns the entry to shed next: of the lowest rank, that furthest over its organisation's share. */
    takeNextToShed(): Entry | undefined {
        const least = this.ranks.findLast(({ entries }) => entries.length > 0)?.entries.last;
        return least && this.refund(least);
    }

    /** Removes an entry without serving it; returns whether it was in the queue. */
    remove(entry: Entry): boolean {
        const tagged = this.tagged.get(entry);
        if (!tagged) {
            return false;
        }
        this.refund(tagged);
        return true;
    }

    /** Tags that an entry gets if it is added now. */
    private tag(entry: Entry): TaggedEntry<Entry> {
        const cost = 1 / (entry.weight ?? this.weightOf(entry.organisation));
        const finishTag = this.organisations.get(entry.organisation)?.finishTag ?? 0;
        const startTag = Math.max(this.virtualTime(), finishTag);
        return { entry, startTag, cost, sequence: this.lastSequence + 1 };
    }

    private virtualTime(): number {
        if (this.tagged.size === 0) {
            return 0;
        }
        let least = Infinity;
        for (const { entries } of this.ranks) {
            least = Math.min(least, entries.first?.startTag ?? Infinity);
        }
        return least;
    }

    private organisationOf({ organisation: name }: Entry): QueuedOrganisation {
        let organisation = this.organisations.get(name);
        if (!organisation) {
            organisation = { finishTag: 0, waiting: 0, waitingByRank: new Map() };
            this.organisations.set(name, organisation);
        }
        return organisation;
    }

    private findRank(rank: number): RankQueue<Entry> | undefined {
        return this.ranks.find(queue => queue.rank === rank);
    }

    private rankOf(rank: number): RankQueue<Entry> {
        let queue = this.findRank(rank);
        if (!queue) {
            queue = { rank, entries: SortedList.create<TaggedEntry<Entry>>(compareTags) };
            this.ranks = [...this.ranks, queue].sort((left, right) => right.rank - left.rank);
        }
        return queue;
    }

    private take(taken: TaggedEntry<Entry>): Entry {
        const { entry } = taken;
        this.rankOf(entry.rank).entries.remove(taken);
        this.tagged.delete(entry);
        const organisation = this.organisationOf(entry);
        organisation.waiting--;
        organisation.waitingByRank.set(entry.rank, (organisation.waitingByRank.get(entry.rank) ?? 0) - 1);
        if (this.tagged.size === 0) {
            this.organisations.clear();
        }
        else if (organisation.waiting === 0 && organisation.finishTag <= this.virtualTime()) {
            // Its next tag is the virtual time in any case.
            this.organisations.delete(entry.organisation);
        }
        return entry;
    }

    /** Removes an entry that is not served and refunds its cost to its organisation. */
    private refund(taken: TaggedEntry<Entry>): Entry {
        this.organisationOf(taken.entry).finishTag -= taken.cost;
        return this.take(taken);
    }
}

function compareTags(left: TaggedEntry<unknown>, right: TaggedEntry<unknown>): number {
    return left.startTag - right.startTag || left.sequence - right.sequence;
}
