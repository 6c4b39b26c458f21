/**
 * Start-time fair queue: ordered by importance, then fair between organisations by weight.
 */

/** Properties of an entry that the queue needs. */
export interface QueueEntry {
    readonly organisation: string;
    /** Entries of a higher rank are served earlier and shed later. */
    readonly rank: number;
}

interface TaggedEntry<Entry> {
    readonly entry: Entry;
    readonly startTag: number;
    readonly cost: number;
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
    private entries: TaggedEntry<Entry>[] = [];
    private readonly finishTags = new Map<string, number>();

    private constructor(private weightOf: (organisation: string) => number) {}

    static create<Entry extends QueueEntry>(weightOf: (organisation: string) => number): FairQueue<Entry> {
        return new FairQueue<Entry>(weightOf);
    }

    /** Number of waiting entries. */
    get length(): number {
        return this.entries.length;
    }

    /** Sets the weights of organisations for entries that are added later. */
    setWeights(weightOf: (organisation: string) => number): void {
        this.weightOf = weightOf;
    }

    /** Upper bound of the entries served before a new entry of a rank: the waiting entries of at least this rank. */
    countAhead(rank: number): number {
        return this.entries.reduce((count, { entry }) => entry.rank >= rank ? count + 1 : count, 0);
    }

    /**
     * Fraction of an organisation's share of the queue that its entries of at least a rank use; 1 is the full share,
     * and more is possible. Shares are proportional to the weights of the waiting organisations, with a minimum of
     * {@link MINIMUM_SHARE} entries.
     */
    usedShareFraction(organisation: string, rank: number, queueLimit: number): number {
        const waiting = new Set(this.entries.map(({ entry }) => entry.organisation));
        const totalWeight = [...waiting].reduce((sum, name) => sum + this.weightOf(name), 0);
        const share = queueLimit * this.weightOf(organisation) / Math.max(totalWeight, Number.MIN_VALUE);
        const used = this.entries.reduce(
            (count, { entry }) => entry.organisation === organisation && entry.rank >= rank ? count + 1 : count,
            0,
        );
        return Math.max(0, used - 0.5) / Math.max(MINIMUM_SHARE, share);
    }

    /** Adds an entry. */
    push(entry: Entry): void {
        const cost = 1 / this.weightOf(entry.organisation);
        const startTag = Math.max(this.virtualTime(), this.finishTags.get(entry.organisation) ?? 0);
        this.finishTags.set(entry.organisation, startTag + cost);
        this.entries.push({ entry, startTag, cost });
    }

    /** Removes and returns the entry to serve next. */
    takeNext(): Entry | undefined {
        const next = this.select((left, right) =>
            left.entry.rank > right.entry.rank ||
            (left.entry.rank === right.entry.rank && left.startTag < right.startTag)
        );
        return next && this.take(next);
    }

    /** Removes and returns the entry to shed next: of the lowest rank, that furthest over its organisation's share. */
    takeNextToShed(): Entry | undefined {
        const least = this.select((left, right) =>
            left.entry.rank < right.entry.rank ||
            (left.entry.rank === right.entry.rank && left.startTag >= right.startTag)
        );
        return least && this.refund(least);
    }

    /** Removes an entry without serving it; returns whether it was in the queue. */
    remove(entry: Entry): boolean {
        const found = this.entries.find(candidate => candidate.entry === entry);
        if (!found) {
            return false;
        }
        this.refund(found);
        return true;
    }

    private virtualTime(): number {
        if (this.entries.length === 0) {
            return 0;
        }
        return this.entries.reduce((least, { startTag }) => Math.min(least, startTag), Infinity);
    }

    private select(
        isBefore: (left: TaggedEntry<Entry>, right: TaggedEntry<Entry>) => boolean,
    ): TaggedEntry<Entry> | undefined {
        let selected = this.entries[0];
        for (const candidate of this.entries) {
            if (candidate !== selected && isBefore(candidate, selected!)) {
                selected = candidate;
            }
        }
        return selected;
    }

    private take(taken: TaggedEntry<Entry>): Entry {
        this.entries = this.entries.filter(candidate => candidate !== taken);
        if (this.entries.length === 0) {
            this.finishTags.clear();
        }
        return taken.entry;
    }

    /** Removes an entry that is not served and refunds its cost to its organisation. */
    private refund(taken: TaggedEntry<Entry>): Entry {
        const { organisation } = taken.entry;
        const finishTag = this.finishTags.get(organisation);
        if (finishTag !== undefined) {
            this.finishTags.set(organisation, finishTag - taken.cost);
        }
        return this.take(taken);
    }
}
