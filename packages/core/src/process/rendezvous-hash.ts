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

/** The names with the highest scores for a key, the highest first. */
export function highestScoringNames(key: string, names: readonly string[], count: number): string[] {
    return names
        .map(name => scoreName(key, name))
        .sort(compareScoredNames)
        .slice(0, count)
        .map(({ name }) => name);
}
