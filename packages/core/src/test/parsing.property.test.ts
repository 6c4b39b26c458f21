import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
    compileSources,
    configurationSchema,
    ConfigurationVersion,
    createAccessKey,
    parseRequestTarget,
} from "../index.js";

const seed = 20_611;
const { key, record } = createAccessKey();
const route = { method: "GET", idempotent: true, importance: "normal", deadlineMs: 1000 };
const sourceFile = {
    organisations: { archive: { rate: 10, burst: 10, keys: [record] } },
    services: {
        items: {
            slots: 4,
            connections: 8,
            routes: [
                { ...route, path: "/open/*", open: true },
                { ...route, path: "/book/:id", organisations: ["archive"] },
                { ...route, path: "/read/*" },
            ],
        },
    },
    failureDomains: { "khomas-a": { region: "khomas", seats: 2 } },
};
const version = ConfigurationVersion.create(configurationSchema.parse({ version: 1, ...sourceFile }));

/** Pieces of a target that servers interpret differently. */
const trickyPiece = fc.constantFrom(
    "items",
    "open",
    "book",
    "1",
    "/",
    "//",
    ".",
    "..",
    "%2e",
    "%2E%2e",
    "%252e",
    "%2f",
    "%5c",
    "\\",
    ";",
    "..;a",
    "%00",
    "%",
    "%zz",
    "?",
    "#",
    "@",
    ":",
    "*",
    "http://",
    " ",
    "\t",
    "é",
);
const target = fc.oneof(
    fc.string({ unit: "binary" }),
    fc.array(trickyPiece, { maxLength: 12 }).map(pieces => `/${pieces.join("")}`),
    fc.array(trickyPiece, { maxLength: 10 }).map(pieces => `/items/open/${pieces.join("")}`),
);

describe("parsing of request targets, keys and configuration files", () => {
    test("parses a target to one canonical form, or refuses it", () => {
        fc.assert(
            fc.property(target, text => {
                const parsed = parseRequestTarget(text);
                if (parsed.kind === "valid") {
                    const canonical = `/${parsed.serviceName}${parsed.path}${parsed.query}`;
                    assert.deepEqual(parseRequestTarget(canonical), parsed);
                    assert.equal(new URL(canonical, "http://a").pathname, `/${parsed.serviceName}${parsed.path}`);
                }
            }),
            { seed, numRuns: 20_000 },
        );
    });

    test("matches an open route only to targets that resolve to a path below it", () => {
        fc.assert(
            fc.property(target, text => {
                const matched = version.routes.find("GET", text);
                if (matched?.route.open) {
                    const resolved = decodeURIComponent(new URL(text, "http://a").pathname);
                    assert.match(resolved, /^\/items\/open\//);
                    assert.match(decodeURIComponent(new URL(matched.backendPath, "http://a").pathname), /^\/open\//);
                }
            }),
            { seed, numRuns: 20_000 },
        );
    });

    test("finds the same route regardless of how its path is percent-encoded", () => {
        const encodings = fc.array(fc.boolean(), { minLength: 13, maxLength: 13 });
        fc.assert(
            fc.property(encodings, chosen => {
                const encoded = [..."items/book/17"].map((character, index) =>
                    chosen[index] && character !== "/" ?
                        `%${character.charCodeAt(0).toString(16)}` :
                        character
                ).join("");
                assert.equal(version.routes.find("GET", `/${encoded}`)?.backendPath, "/book/17");
            }),
            { seed },
        );
    });

    test("recognises a key only if it is complete and unchanged", () => {
        assert.equal(version.keys.find(key)?.organisation, "archive");
        const changes = fc.record({
            index: fc.nat({ max: key.length - 1 }),
            character: fc.string({ minLength: 0, maxLength: 1 }),
        });
        fc.assert(
            fc.property(changes, ({ index, character }) => {
                const changed = key.slice(0, index) + character + key.slice(index + 1);
                assert.equal(version.keys.find(changed)?.organisation, changed === key ? "archive" : undefined);
            }),
            { seed, numRuns: 2_000 },
        );
        fc.assert(fc.property(fc.string({ unit: "binary" }), text => version.keys.find(text) === undefined), { seed });
    });

    test("compiles configuration files or reports errors, regardless of their content", () => {
        const paths = fc.constantFrom(
            ["organisations"],
            ["organisations", "archive"],
            ["organisations", "archive", "keys"],
            ["services", "items"],
            ["services", "items", "routes"],
            ["services", "items", "routes", "0"],
            ["services", "items", "routes", "1", "path"],
            ["services", "items", "slots"],
            ["failureDomains", "khomas-a", "seats"],
        );
        const damaged = fc.tuple(paths, fc.jsonValue()).map(([path, value]) => {
            const copy = structuredClone(sourceFile) as unknown as Record<string, unknown>;
            const parent = path.slice(0, -1).reduce((node, name) => node[name] as Record<string, unknown>, copy);
            parent[path.at(-1)!] = value;
            return JSON.stringify(copy);
        });
        fc.assert(
            fc.property(fc.oneof(fc.string(), fc.json(), damaged), text => {
                const result = compileSources([{ file: "fuzzed.json", text }], 1);
                if (result.kind === "refused") {
                    assert.ok(result.problems.some(problem => problem.severity === "error" && problem.message !== ""));
                }
                else {
                    ConfigurationVersion.create(configurationSchema.parse(result.configuration));
                }
            }),
            { seed, numRuns: 3_000 },
        );
    });
});
