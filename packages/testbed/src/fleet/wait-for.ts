/**
 * Waits for conditions in tests.
 */

const POLL_MS = 20;

/** Waits until a condition holds; tests have no other timing bound than this limit against hanging. */
export async function waitFor(
    condition: () => boolean | Promise<boolean>,
    what: string,
    limitMs = 60_000,
): Promise<void> {
    const endMs = performance.now() + limitMs;
    while (!await condition()) {
        if (performance.now() > endMs) {
            throw new Error(`waited ${limitMs} ms in vain until ${what}`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
