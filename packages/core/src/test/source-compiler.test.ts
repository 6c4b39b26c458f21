import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { compileSources, createAccessKey } from "../index.js";

const { record } = createAccessKey();
const organisation = { rate: 10, burst: 10, keys: [record] };
const route = { method: "GET", path: "/read/*", idempotent: true, importance: "normal", deadlineMs: 1000 };
const service = { slots: 4, connections: 8, routes: [route] };
const base = {
    organisations: { archive: organisation },
    services: { items: service },
    failureDomains: { "khomas-a": { region: "khomas", seats: 2 } },
};

function problemsOf(...contents: unknown[]): string[] {
    const sources = contents.map((content, index) => ({
        file: `${index + 1}.json`,
        text: typeof content === "string" ? content : JSON.stringify(content),
    }));
    const result = compileSources(sources, 1);
    const problems = result.kind === "refused" ? result.problems : result.warnings;
    return problems.map(problem => `${problem.severity} ${problem.file} ${problem.path} ${problem.message}`);
}

function withRoutes(...routes: object[]): unknown {
    return { ...base, services: { items: { ...service, routes: routes.map(change => ({ ...route, ...change })) } } };
}

describe("checks of operators' files", () => {
    test("find nothing wrong with correct files", () => {
        assert.deepEqual(problemsOf(base), []);
    });

    test("find every mistake of several files, with file, path and suggested fix", () => {
        const problems = problemsOf(
            { services: { items: { ...service, slots: 0, slot: 1 }, "No Name": service } },
            "{ not JSON",
            {
                organisations: { archive: { rate: "10", keys: [] } },
                failureDomains: { a: { region: "r", seats: 1.5 } },
            },
        );
        const expected = [
            /^error 1\.json services\.items\.slots is too small; use more than 0/,
            /^error 1\.json services\.items has no setting named slot; correct the spelling or remove it/,
            /^error 1\.json services\.No Name has a name that is not allowed: use 1 to 63 of a-z/,
            /^error 2\.json {2}is not JSON; correct it here: /,
            /^error 3\.json organisations\.archive\.rate has the wrong type; use a number/,
            /^error 3\.json organisations\.archive\.burst is missing; add a number/,
            /^error 3\.json failureDomains\.a\.seats has the wrong type; use a whole number/,
        ];
        for (const pattern of expected) {
            assert.ok(problems.some(problem => pattern.test(problem)), `${pattern} among\n${problems.join("\n")}`);
        }
        assert.equal(problems.length, expected.length, problems.join("\n"));
    });

    const cases: { what: string; contents: unknown[]; expected: RegExp; }[] = [
        {
            what: "a name that two files define",
            contents: [base, { organisations: { archive: organisation } }],
            expected: /^error 2\.json organisations\.archive is already defined in 1\.json; keep one/,
        },
        {
            what: "a key of two organisations",
            contents: [base, { organisations: { mission: organisation } }],
            expected: /^error 2\.json organisations\.mission\.keys\.0\.id is already a key of archive; make a new key/,
        },
        {
            what: "an organisation that a route names and no file defines",
            contents: [withRoutes({ organisations: ["mision"] })],
            expected: /^error 1\.json services\.items\.routes\.0\.organisations\.0 names mision, which no file defines/,
        },
        {
            what: "a route that is never used because an earlier one matches the same requests",
            contents: [withRoutes({}, { path: "/read/:id/page" })],
            expected: /^error 1\.json services\.items\.routes\.1 is never used because routes\.0 matches/,
        },
        {
            what: "a path that no request can match",
            contents: [withRoutes({ path: "/read/../x" })],
            expected: /^error 1\.json services\.items\.routes\.0\.path can never match/,
        },
        {
            what: "a wildcard before the end of a path",
            contents: [withRoutes({ path: "/read/*/x" })],
            expected: /^error 1\.json services\.items\.routes\.0\.path has \* before its end/,
        },
        {
            what: "an open route that is restricted to some organisations",
            contents: [withRoutes({ open: true, organisations: ["archive"] })],
            expected: /^error 1\.json services\.items\.routes\.0\.open is true although/,
        },
        {
            what: "fewer connections than slots",
            contents: [{ ...base, services: { items: { ...service, connections: 2 } } }],
            expected: /^error 1\.json services\.items\.connections is less than its 4 slots/,
        },
        {
            what: "no failure domain in any file",
            contents: [{ ...base, failureDomains: {} }],
            expected: /^error the joined files failureDomains is empty or missing in all files; define at least one/,
        },
        {
            what: "a burst that leaves less than one request to a partitioned failure domain",
            contents: [{
                ...base,
                organisations: { archive: { ...organisation, burst: 1 } },
                failureDomains: { a: { region: "r", seats: 1 }, b: { region: "r", seats: 3 } },
            }],
            expected:
                /^warning 1\.json organisations\.archive\.burst of 1 leaves less than one request to a .*at least 4/,
        },
        {
            what: "an organisation without a key",
            contents: [{ ...base, organisations: { archive: { ...organisation, keys: [] } } }],
            expected: /^warning 1\.json organisations\.archive\.keys has no key/,
        },
        {
            what: "a GET route that is not idempotent",
            contents: [withRoutes({ idempotent: false })],
            expected: /^warning 1\.json services\.items\.routes\.0\.idempotent is false on a GET route/,
        },
    ];
    for (const { what, contents, expected } of cases) {
        test(`find ${what}`, () => {
            const problems = problemsOf(...contents);
            assert.ok(problems.some(problem => expected.test(problem)), `${expected} among\n${problems.join("\n")}`);
        });
    }
});
