/**
 * Entries that wait, in the order of their ranks and, within a rank, of their arrival.
 */

/** An entry of the queue. */
export interface RankedEntry {
    /** Entries of lower ranks leave first. */
    readonly rank: number;
}

/** One queue for each rank. */
export class RankedQueue<Entry extends RankedEntry> {
    private readonly queues = new Map<number, Entry[]>();
    private ranks: number[] = [];
    private count = 0;

    private constructor() {}

    static create<Entry extends RankedEntry>(): RankedQueue<Entry> {
        return new RankedQueue();
    }

    /** Number of entries. */
    get size(): number {
        return this.count;
    }

    /** Adds an entry behind those of its rank. */
    push(entry: Entry): void {
        let queue = this.queues.get(entry.rank);
        if (!queue) {
            queue = [];
            this.queues.set(entry.rank, queue);
            this.ranks = [...this.queues.keys()].sort((left, right) => left - right);
        }
        queue.push(entry);
        this.count++;
    }

    /** Removes an entry; returns whether it waited. */
    remove(entry: Entry): boolean {
        const queue = this.queues.get(entry.rank);
        const index = queue?.indexOf(entry) ?? -1;
        if (!queue || index < 0) {
            return false;
        }
        queue.splice(index, 1);
        this.count--;
        return true;
    }

    /** Removes and returns the first entry; undefined if there is none. */
    shift(): Entry | undefined {
        for (const rank of this.ranks) {
            const entry = this.queues.get(rank)?.shift();
            if (entry) {
                this.count--;
                return entry;
            }
        }
        return undefined;
    }

    /** The queues of the entries that leave before a new one of a rank. */
    queuesAhead(rank: number): readonly (readonly Entry[])[] {
        return this.ranks.filter(other => other <= rank).map(other => this.queues.get(other) ?? []);
    }
}
