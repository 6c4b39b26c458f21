/**
 * Pseudo-random numbers that a test can repeat.
 */

/** Creates a generator of numbers from 0 to 1. */
export function createSeededRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 4_294_967_296;
    };
}
