/**
 * Exponential decay of observations over time.
 */

/** Factor, from 1 towards 0, by which a value that halves every `halfLifeMs` has decayed after `elapsedMs`. */
export function decayFactor(elapsedMs: number, halfLifeMs: number): number {
    return 0.5 ** (elapsedMs / halfLifeMs);
}
