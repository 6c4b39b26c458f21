/**
 * Start-time fair queue: by importance, then between organisations by weight.
 */

/** What the queue has to know of an entry. */
export interface QueueEntry {
    readonly organisation: string;
    /** A higher rank leaves the queue earlier and is evicted later. */
    readonly rank: number;
}

interface TaggedEntry<Entry> {
    readonly entry: Entry;
    readonly startTag: number;
    readonly cost: number;
}

const PART_AT_LEAST = 2;

/**
 * Orders waiting requests so that each organisation leaves the queue in proportion to its weight.
 *
 * Each entry gets a start tag: the virtual time at which it would start if every organisation had a server of its own
 * with a speed of its weight. All ranks of an organisation share its tags, so that critical requests count for its share.
 */
export class FairQueue<Entry extends QueueEntry> {
    private entries: TaggedEntry<Entry>[] = [];
    private readonly finishTags = new Map<string, number>();

    private constructor(private weightOf: (organisation: string) => number) {}

    static create<Entry extends QueueEntry>(weightOf: (organisation: string) => number): FairQueue<Entry> {
        return new FairQueue<Entry>(weightOf);
    }

    /** Entries that wait. */
    get length(): number {
        return this.entries.length;
    }

    /** Changes the weights of organisations for entries to come. */
    setWeights(weightOf: (organisation: string) => number): void {
        this.weightOf = weightOf;
    }

    /** Entries that would leave before a new entry of a rank, at most. */
    countAhead(rank: number): number {
        return this.entries.reduce((count, { entry }) => entry.rank >= rank ? count + 1 : count, 0);
    }

    /**
     * How much of its part of a queue of some length an organisation uses, with its entries of at least a rank: 1 when
     * all of it. The part follows the weights of the organisations that wait, and is never below a few entries.
     */
    usedPart(organisation: string, rank: number, queueLimit: number): number {
        const waiting = new Set(this.entries.map(({ entry }) => entry.organisation));
        const totalWeight = [...waiting].reduce((sum, name) => sum + this.weightOf(name), 0);
        const part = queueLimit * this.weightOf(organisation) / Math.max(totalWeight, Number.MIN_VALUE);
        const used = this.entries.reduce(
            (count, { entry }) => entry.organisation === organisation && entry.rank >= rank ? count + 1 : count,
            0,
        );
        return Math.max(0, used - 0.5) / Math.max(PART_AT_LEAST, part);
    }

    /** Adds an entry. */
    push(entry: Entry): void {
        const cost = 1 / this.weightOf(entry.organisation);
        const startTag = Math.max(this.virtualTime(), this.finishTags.get(entry.organisation) ?? 0);
        this.finishTags.set(entry.organisation, startTag + cost);
        this.entries.push({ entry, startTag, cost });
    }

    /** Takes out the entry to serve next. */
    takeNext(): Entry | undefined {
        const next = this.select((left, right) =>
            left.entry.rank > right.entry.rank ||
            (left.entry.rank === right.entry.rank && left.startTag < right.startTag)
        );
        return next && this.take(next);
    }

    /** Takes out the entry to shed first: of the lowest rank, the one furthest ahead of its organisation's share. */
    takeLeast(): Entry | undefined {
        const least = this.select((left, right) =>
            left.entry.rank < right.entry.rank ||
            (left.entry.rank === right.entry.rank && left.startTag >= right.startTag)
        );
        return least && this.refund(least);
    }

    /** Takes out an entry that is not to be served; whether it was there. */
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

    /** Takes an entry out and gives its organisation back what the entry would have cost. */
    private refund(taken: TaggedEntry<Entry>): Entry {
        const { organisation } = taken.entry;
        const finishTag = this.finishTags.get(organisation);
        if (finishTag !== undefined) {
            this.finishTags.set(organisation, finishTag - taken.cost);
        }
        return this.take(taken);
    }
}
