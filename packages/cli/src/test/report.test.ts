import type { OrganisationOutcomes } from "@radishrouter/core";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createReport, createReportPage, divideFairly, formatReport } from "../index.js";
import type { NodeCounters } from "../index.js";

const seed = 20_613;

function outcomes(offered: number, completed: number): OrganisationOutcomes {
    const refused: Record<string, number> = completed < offered ? { "2001": offered - completed } : {};
    return { offered, completed, delayed: 0, refused, failed: {}, unknown: {}, refusedWithinRate: 0 };
}

function node(host: string, startedAt: string, organisations: Record<string, OrganisationOutcomes>): NodeCounters {
    return { host, url: `http://${host}`, startedAt, time: `${startedAt}+`, openRequests: 0, organisations };
}

const configuration = {
    version: 1,
    organisations: { large: { rate: 80, burst: 8, keys: [] }, small: { rate: 20, burst: 2, keys: [] } },
    services: {},
    failureDomains: {},
};

describe("fair shares", () => {
    test("are in proportion to rates when all demand exceeds them, and unneeded share goes to the others", () => {
        const demand = (organisation: string, offered: number, rate: number) => ({ organisation, offered, rate });
        const both = divideFairly(100, [demand("large", 500, 80), demand("small", 500, 20)]);
        assert.deepEqual([...both].sort(), [["large", 80], ["small", 20]]);
        const lowDemand = divideFairly(100, [demand("large", 30, 80), demand("small", 500, 20)]);
        assert.deepEqual([...lowDemand].sort(), [["large", 30], ["small", 70]]);
    });

    test("sum up to the completed requests, and no organisation gets more than it offered", () => {
        const demands = fc.array(
            fc.record({
                offered: fc.nat({ max: 1_000 }),
                rate: fc.integer({ min: 1, max: 100 }),
                completedFraction: fc.double({ min: 0, max: 1, noNaN: true }),
            }),
            { minLength: 1, maxLength: 8 },
        );
        fc.assert(
            fc.property(demands, rows => {
                const named = rows.map((row, index) => ({ ...row, organisation: `o${index}` }));
                const completed = named.reduce(
                    (sum, { offered, completedFraction }) => sum + Math.floor(offered * completedFraction),
                    0,
                );
                const shares = divideFairly(completed, named);
                const sum = [...shares.values()].reduce((total, share) => total + share, 0);
                assert.ok(Math.abs(sum - completed) < 1e-6 * (1 + completed));
                for (const { organisation, offered, rate } of named) {
                    const share = shares.get(organisation)!;
                    assert.ok(share >= 0 && share <= offered + 1e-9);
                    const isShort = share < offered - 1e-6;
                    const isBelowOther = named.some(other =>
                        shares.get(other.organisation)! / other.rate > share / rate + 1e-6
                    );
                    assert.ok(
                        !(isShort && isBelowOther),
                        "no organisation with unmet demand gets less in relation to its rate than another",
                    );
                }
            }),
            { seed, numRuns: 2_000 },
        );
    });
});

describe("the report", () => {
    test("counts only what came after an earlier report, and lists what is missing", () => {
        const earlier = {
            nodes: [
                node("a", "01", { small: outcomes(10, 10) }),
                node("b", "01", { small: outcomes(7, 7) }),
                node("c", "01", {}),
            ],
        };
        const now = [
            node("a", "01", { small: outcomes(50, 40), large: outcomes(200, 160) }),
            node("b", "05", { small: outcomes(3, 0) }),
        ];
        const report = createReport(now, { unreachable: [], configuration, earlier });
        const small = report.organisations.find(row => row.organisation === "small");
        assert.deepEqual([small?.offered, small?.completed, small?.refused], [43, 30, { "2001": 13 }]);
        assert.deepEqual(report.restarted, [{ host: "b", startedAt: "05" }]);
        assert.deepEqual(report.unreachable.map(missing => missing.url), ["http://c"]);
        assert.equal(report.complete, false);
        assert.equal(report.worstServed, "small");
        assert.match(formatReport(report, "tabs"), /missing: the counters of b between/);
    });

    test("has no row for an organisation that offered no requests", () => {
        const report = createReport([node("a", "01", { "(none)": outcomes(0, 0), small: outcomes(1, 1) })], {
            unreachable: [],
            configuration,
        });
        assert.deepEqual(report.organisations.map(row => row.organisation), ["small"]);
    });

    test("escapes markup and control characters in the names of organisations", () => {
        const name = '<script>alert(1)</script>\u001b[31m\t"';
        const report = createReport([node("a", "01", { [name]: outcomes(1, 1) })], { unreachable: [], configuration });
        assert.ok(!createReportPage(report).includes("<script>alert"));
        assert.ok(!formatReport(report, "lines").includes("\u001b"));
    });
});
