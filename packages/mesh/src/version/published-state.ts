/**
 * Copy of the items that operators and backend servers publish on the platform, as this node last learned them.
 *
 * A node that learned changes can hand them on, so that only few nodes have to ask the platform itself.
 */

/** One published item, as of its last change. */
export interface PublishedItem {
    readonly key: string;
    /** Undefined if the item was removed. */
    readonly value: Buffer | undefined;
    /** Revision of the platform at which the item was changed. */
    readonly revision: number;
}

/**
 * Point in the history of the platform's store. Revisions are comparable only within one era: the platform begins a new
 * era when it returns from an older copy of its store, and then uses revisions again.
 */
export interface StatePosition {
    readonly era: number;
    readonly revision: number;
}

/** The complete state, or the changes after an earlier position; `position` is reached by applying it. */
export interface StateUpdate {
    readonly kind: "snapshot" | "changes";
    readonly position: StatePosition;
    readonly items: readonly PublishedItem[];
}

/** Changes that are kept for nodes that follow this one; a node that is further behind gets a snapshot. */
const MAXIMUM_CHANGES_KEPT = 1_024;

/** The published items, their position, and the last changes. */
export class PublishedState {
    private readonly items = new Map<string, PublishedItem>();
    private current: StatePosition | undefined;
    /** Last changes in the order in which they were applied. */
    private changes: PublishedItem[] = [];
    /** Changes after this revision are kept. */
    private changesStartRevision = 0;
    private readonly listeners = new Set<() => void>();

    private constructor() {}

    static create(): PublishedState {
        return new PublishedState();
    }

    /** Position that has been reached; undefined before the first snapshot. */
    get position(): StatePosition | undefined {
        return this.current;
    }

    /**
     * Applies an update that another node handed on, and returns the items that it changed. Updates of an earlier
     * position are ignored, and so are changes of another era, because they do not apply to the items that are held.
     */
    apply(update: StateUpdate): readonly PublishedItem[] {
        return this.isApplicable(update) ? this.applyNow(update) : [];
    }

    /**
     * Applies an update that the platform itself returned, and returns the items that it changed. It is newer than
     * anything learned before it was asked for, even if its position is lower.
     */
    applyFromPlatform(update: StateUpdate): readonly PublishedItem[] {
        return this.applyNow(update);
    }

    /** Update from a position to the current one; undefined if there is nothing newer. */
    updateSince(position: StatePosition | undefined): StateUpdate | undefined {
        const { current } = this;
        if (!current || (position && !isAfter(current, position))) {
            return undefined;
        }
        if (position?.era !== current.era || position.revision < this.changesStartRevision) {
            return { kind: "snapshot", position: current, items: [...this.items.values()] };
        }
        const latest = new Map<string, PublishedItem>();
        this.changes.filter(item => item.revision > position.revision).forEach(item => latest.set(item.key, item));
        return { kind: "changes", position: current, items: [...latest.values()] };
    }

    /** Calls back once, after the next update was applied; the returned function cancels that. */
    onceUpdated(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    private applyNow(update: StateUpdate): readonly PublishedItem[] {
        const isRestart = !this.current || isAfter(this.current, update.position) ||
            this.current.era !== update.position.era;
        const changed = update.kind === "snapshot" ?
            this.differencesTo(update) :
            update.items.filter(item => item.revision > (this.items.get(item.key)?.revision ?? 0));
        changed.forEach(item => this.store(item));
        if (isRestart) {
            this.changes = [];
            this.changesStartRevision = update.position.revision;
        }
        else {
            this.keepChanges(changed);
        }
        this.current = update.position;
        this.notify();
        return changed;
    }

    private notify(): void {
        const listeners = [...this.listeners];
        this.listeners.clear();
        listeners.forEach(listener => listener());
    }

    private isApplicable({ kind, position }: StateUpdate): boolean {
        if (!this.current) {
            return kind === "snapshot";
        }
        return position.era === this.current.era ?
            position.revision > this.current.revision :
            position.era > this.current.era && kind === "snapshot";
    }

    /** Items of a snapshot that differ from those held, and a removal for each item that it does not contain. */
    private differencesTo({ items, position }: StateUpdate): PublishedItem[] {
        const listed = new Set(items.map(({ key }) => key));
        const removed = [...this.items.keys()]
            .filter(key => !listed.has(key))
            .map(key => ({ key, value: undefined, revision: position.revision }));
        const isNewEra = this.current?.era !== position.era;
        const changed = items.filter(item => isNewEra || item.revision !== this.items.get(item.key)?.revision);
        return [...changed, ...removed];
    }

    /** Stores a copy of the value, because the value may be a small part of a large buffer. */
    private store(item: PublishedItem): void {
        if (item.value) {
            this.items.set(item.key, { ...item, value: Buffer.from(item.value) });
        }
        else {
            this.items.delete(item.key);
        }
    }

    private keepChanges(changed: readonly PublishedItem[]): void {
        this.changes.push(...changed.map(item => this.items.get(item.key) ?? item));
        const surplus = this.changes.length - MAXIMUM_CHANGES_KEPT;
        if (surplus > 0) {
            const dropped = this.changes.splice(0, surplus);
            this.changesStartRevision = Math.max(
                this.changesStartRevision,
                ...dropped.map(({ revision }) => revision),
            );
        }
    }
}

/** Whether a position is later than another; each position of a later era is. */
export function isAfter(position: StatePosition, other: StatePosition): boolean {
    return position.era === other.era ? position.revision > other.revision : position.era > other.era;
}
