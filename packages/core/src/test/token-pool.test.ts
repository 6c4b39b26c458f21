import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { TokenPool } from "../process/rate-share/token-pool.js";

const limits = { ratePerSecond: 100, burst: 50 };
const ENTRY = "khomas-a-1/1";

function createFullPool(fraction: { value: number; }): TokenPool {
    const pool = TokenPool.create(0, () => fraction.value);
    pool.settle(10_000, limits);
    return pool;
}

describe("a token pool", () => {
    test("keeps open grants within its burst until they are spent or over", () => {
        const pool = createFullPool({ value: 1 });
        pool.grant(ENTRY, 1n, 30, 11_000);
        pool.settle(10_900, limits);
        assert.equal(pool.balance, 20);
        pool.confirm(ENTRY, 1n, 10);
        pool.settle(10_950, limits);
        assert.equal(pool.balance, 25);
        pool.settle(20_000, limits);
        pool.settle(30_000, limits);
        assert.equal(pool.balance, 50);
    });

    test("mints nothing above the room that open grants left while they were open", () => {
        const pool = createFullPool({ value: 1 });
        pool.grant(ENTRY, 1n, 50, 10_500);
        pool.settle(10_500, limits);
        assert.equal(pool.balance, 0);
    });

    test("does not extend grants that exceed the burst of what is left", () => {
        const fraction = { value: 1 };
        const pool = createFullPool(fraction);
        pool.grant(ENTRY, 1n, 30, 11_000);
        pool.settle(10_100, limits);
        fraction.value = 0.5;
        assert.equal(pool.extend(ENTRY, 12_000, fraction.value, limits), 0);
        assert.equal(pool.openTokens(11_000), 0);
        fraction.value = 0.75;
        assert.equal(pool.extend(ENTRY, 12_000, fraction.value, limits), 30);
        assert.equal(pool.openTokens(11_000), 30);
    });

    test("drops tokens above the burst of a smaller fraction", () => {
        const fraction = { value: 1 };
        const pool = createFullPool(fraction);
        fraction.value = 0.2;
        pool.settle(10_000, limits);
        assert.equal(pool.balance, 10);
    });

    test("does not count a report of more than was granted", () => {
        const pool = createFullPool({ value: 1 });
        pool.grant(ENTRY, 1n, 10, 11_000);
        pool.confirm(ENTRY, 1n, 1_000);
        assert.equal(pool.openTokens(10_500), 10);
        pool.confirm("khomas-a-1/2", 5n, 0);
        assert.equal(pool.openTokens(10_500), 10);
    });
});
