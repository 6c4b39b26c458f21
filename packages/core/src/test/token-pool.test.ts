import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { TokenPool } from "../process/rate-share/token-pool.js";

const limits = { ratePerSecond: 100, burst: 50 };
const ENTRY = "khomas-a-1/1";

function createFullPool(fraction: { value: number; }): TokenPool {
    const pool = TokenPool.create(0, () => fraction.value);
    pool.refill(10_000, limits);
    return pool;
}

describe("a token pool", () => {
    test("counts outstanding grants against its burst until they are spent or expired", () => {
        const pool = createFullPool({ value: 1 });
        pool.grant(ENTRY, 1n, 30, 11_000);
        pool.refill(10_900, limits);
        assert.equal(pool.balance, 20);
        pool.recordHeld(ENTRY, 1n, 10);
        pool.refill(10_950, limits);
        assert.equal(pool.balance, 25);
        pool.refill(20_000, limits);
        pool.refill(30_000, limits);
        assert.equal(pool.balance, 50);
    });

    test("generates no tokens above the capacity that outstanding grants left until they expired", () => {
        const pool = createFullPool({ value: 1 });
        pool.grant(ENTRY, 1n, 50, 10_500);
        pool.refill(10_500, limits);
        assert.equal(pool.balance, 0);
    });

    test("does not extend grants that exceed the burst of the remaining fraction", () => {
        const fraction = { value: 1 };
        const pool = createFullPool(fraction);
        pool.grant(ENTRY, 1n, 30, 11_000);
        pool.refill(10_100, limits);
        fraction.value = 0.5;
        assert.equal(pool.extend(ENTRY, 12_000, fraction.value, limits), 0);
        assert.equal(pool.outstandingTokens(11_000), 0);
        fraction.value = 0.75;
        assert.equal(pool.extend(ENTRY, 12_000, fraction.value, limits), 30);
        assert.equal(pool.outstandingTokens(11_000), 30);
    });

    test("drops tokens above the burst of a smaller fraction", () => {
        const fraction = { value: 1 };
        const pool = createFullPool(fraction);
        fraction.value = 0.2;
        pool.refill(10_000, limits);
        assert.equal(pool.balance, 10);
    });

    test("limits a report of held tokens to what was granted", () => {
        const pool = createFullPool({ value: 1 });
        pool.grant(ENTRY, 1n, 10, 11_000);
        pool.recordHeld(ENTRY, 1n, 1_000);
        assert.equal(pool.outstandingTokens(10_500), 10);
        pool.recordHeld("khomas-a-1/2", 5n, 0);
        assert.equal(pool.outstandingTokens(10_500), 10);
    });
});
