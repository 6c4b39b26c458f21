/**
 * List that keeps its items in order.
 *
 * Finds a position by halving and moves the items behind it as one block of memory, which for some hundreds of items costs
 * less than the pointers and allocations of a tree.
 */

/** Items in the order of a comparison, by which no two of them are equal. */
export class SortedList<Item> {
    private readonly items: Item[] = [];

    private constructor(private readonly compare: (left: Item, right: Item) => number) {}

    static create<Item>(compare: (left: Item, right: Item) => number): SortedList<Item> {
        return new SortedList(compare);
    }

    /** Number of items. */
    get length(): number {
        return this.items.length;
    }

    /** First item; undefined if there is none. */
    get first(): Item | undefined {
        return this.items[0];
    }

    /** Last item; undefined if there is none. */
    get last(): Item | undefined {
        return this.items[this.items.length - 1];
    }

    /** Number of items that come before an item, which need not be in the list. */
    countBefore(item: Item): number {
        let low = 0;
        let high = this.items.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (this.compare(this.items[middle]!, item) < 0) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }

    /** Adds an item. */
    add(item: Item): void {
        const { items } = this;
        const last = this.last;
        if (last === undefined || this.compare(last, item) < 0) {
            items.push(item);
            return;
        }
        items.splice(this.countBefore(item), 0, item);
    }

    /** Removes an item; returns whether it was in the list. */
    remove(item: Item): boolean {
        const index = this.countBefore(item);
        if (this.items[index] !== item) {
            return false;
        }
        this.items.splice(index, 1);
        return true;
    }
}
