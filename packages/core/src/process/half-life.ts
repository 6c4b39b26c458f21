/**
 * How observations lose their weight with time.
 */

/** Part, from 1 to 0, that is left of something after a time in which it halves every `halfLifeMs`. */
export function decayFactor(elapsedMs: number, halfLifeMs: number): number {
    return 0.5 ** (elapsedMs / halfLifeMs);
}
