import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { resultDefinitions } from "../index.js";

const page = readFileSync(new URL("../../../../docs/RESULT-CODES.md", import.meta.url), "utf8");

test("docs/RESULT-CODES.md lists exactly the results of the code", () => {
    const rows = page.split("\n").filter(line => /^\| \d{4} \|/.test(line))
        .map(line => line.split("|").slice(1, 7).map(cell => cell.trim()));
    assert.deepEqual(
        rows.map(([code, name, status, execution]) => [code, name, status, execution]),
        resultDefinitions.map((
            { code, name, httpStatus, execution },
        ) => [String(code), name, String(httpStatus), execution]),
    );
    for (const [code, , , , when, suggestedFix] of rows) {
        assert.ok(
            when !== "" && suggestedFix !== "",
            `${code}: the columns for the cause and the suggested fix must not be empty`,
        );
    }
});

test("result codes and names are unique", () => {
    assert.equal(new Set(resultDefinitions.map(({ code }) => code)).size, resultDefinitions.length);
    assert.equal(new Set(resultDefinitions.map(({ name }) => name)).size, resultDefinitions.length);
});
