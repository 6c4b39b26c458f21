/**
 * Waits for conditions in tests.
 */

const POLL_MS = 20;

/**
 * Waits until a condition holds. The timeout only keeps a test from waiting forever; tests have no other time bounds.
 *
 * `expected` describes the condition for the error message.
 */
export async function waitFor(
    condition: () => boolean | Promise<boolean>,
    expected: string,
    timeoutMs = 60_000,
): Promise<void> {
    const deadlineAtMs = performance.now() + timeoutMs;
    while (!await condition()) {
        if (performance.now() > deadlineAtMs) {
            throw new Error(`timed out after ${timeoutMs} ms waiting until ${expected}`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
