/**
 * Rendezvous hashing: nodes that have the same list choose the same hosts without communicating.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Score of a name for a key, from 0 to 2^32 - 1; independent for each key.
 *
 * FNV-1a of both, followed by a mixing step because FNV-1a alone gives similar scores to names that differ only in the
 * last characters.
 */
export function rendezvousScore(key: string, name: string): number {
    const text = `${key}\n${name}`;
    let hash = FNV_OFFSET;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
    hash ^= hash >>> 16;
    hash = Math.imul(hash, 0x7feb352d);
    hash ^= hash >>> 15;
    hash = Math.imul(hash, 0x846ca68b);
    return (hash ^ (hash >>> 16)) >>> 0;
}

/** A name with its score for one key. */
export interface ScoredName {
    readonly name: string;
    readonly score: number;
}

/** Scores a name for a key. */
export function scoreName(key: string, name: string): ScoredName {
    return { name, score: rendezvousScore(key, name) };
}

/** Orders scored names of one key, the highest score first. */
export function compareScoredNames(left: ScoredName, right: ScoredName): number {
    return right.score - left.score || (left.name < right.name ? -1 : 1);
}

/** Fraction of the names up to which they are selected one by one; sorting all of them takes longer then. */
const MAXIMUM_SELECTED_FRACTION = 0.1;

/** The names with the highest scores for a key, the highest first. */
export function highestScoringNames(key: string, names: readonly string[], count: number): string[] {
    const best = count <= names.length * MAXIMUM_SELECTED_FRACTION ?
        selectBest(key, names, count) :
        names.map(name => scoreName(key, name)).sort(compareScoredNames).slice(0, count);
    return best.map(({ name }) => name);
}

function selectBest(key: string, names: readonly string[], count: number): ScoredName[] {
    const best: ScoredName[] = [];
    for (const name of names) {
        const last = best.length < count ? undefined : best.at(-1);
        const scored = scoreName(key, name);
        if (count > 0 && (!last || compareScoredNames(scored, last) < 0)) {
            const index = best.findIndex(other => compareScoredNames(scored, other) < 0);
            best.splice(index < 0 ? best.length : index, 0, scored);
            best.length = Math.min(best.length, count);
        }
    }
    return best;
}
