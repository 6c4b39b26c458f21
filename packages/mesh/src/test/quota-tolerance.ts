/**
 * Excess over its rate that an operator tolerates of an organisation, and a check of it.
 */
import assert from "node:assert/strict";
import type { Organisation } from "../index.js";

const SECOND_MS = 1_000;
export const TOLERANCE = { fraction: 0.25, requests: 20, windowMs: 5_000 };

/** Checks that no window has more admitted requests than an operator tolerates. */
export function assertWithinTolerance(admittedAtMs: readonly number[], { ratePerSecond, burst }: Organisation): void {
    const { fraction, requests, windowMs } = TOLERANCE;
    const allowed = (ratePerSecond * windowMs / SECOND_MS + burst) * (1 + fraction) + requests;
    const worst = Math.max(
        ...admittedAtMs.map(start => admittedAtMs.filter(at => at >= start && at < start + windowMs).length),
    );
    assert.ok(worst <= allowed, `${worst} in ${windowMs} ms at a rate of ${ratePerSecond}, allowed ${allowed}`);
}
