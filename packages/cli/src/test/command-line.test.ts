import { createAccessKey } from "@radishrouter/core";
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, test } from "node:test";
import { fileURLToPath } from "node:url";

const script = fileURLToPath(new URL("../bin/radishrouter.js", import.meta.url));
const directory = mkdtempSync(join(tmpdir(), "radishrouter-cli-"));
const { key, record } = createAccessKey();
const route = { path: "/read/*", method: "GET", idempotent: true, importance: "normal", deadlineMs: 1000 };
const document = {
    organisations: { archive: { rate: 10, burst: 10, keys: [record] }, mission: { rate: 1, burst: 9, keys: [] } },
    services: {
        items: {
            slots: 4,
            connections: 8,
            routes: [
                route,
                { ...route, path: "/open", open: true },
                { ...route, path: "/book", method: "POST", idempotent: false, organisations: ["mission"] },
            ],
        },
    },
    failureDomains: { "khomas-a": { region: "khomas", seats: 2 } },
};

function file(name: string, content: unknown): string {
    const path = join(directory, name);
    writeFileSync(path, typeof content === "string" ? content : JSON.stringify(content));
    return path;
}

interface CommandResult {
    readonly exitCode: number | undefined;
    readonly output: string;
    readonly notes: string;
}

function run(...args: string[]): Promise<CommandResult> {
    return new Promise((resolve, reject) => {
        const child = spawn(process.execPath, [script, ...args], { stdio: ["ignore", "pipe", "pipe"] });
        let output = "";
        let notes = "";
        child.stdout.on("data", chunk => (output += String(chunk)));
        child.stderr.on("data", chunk => (notes += String(chunk)));
        child.once("error", reject);
        child.once("close", code => resolve({ exitCode: code ?? undefined, output, notes }));
    });
}

describe("the command-line tool", () => {
    after(() => rmSync(directory, { recursive: true }));

    test("prints its usage, and rejects invalid command lines", async () => {
        const { exitCode, output } = await run("--help");
        assert.equal(exitCode, 0);
        for (const word of ["check", "compile", "key", "explain", "report", "status", "audit", "Exit codes"]) {
            assert.ok(output.includes(word), word);
        }
        for (const args of [[], ["nothing"], ["report"], ["check"], ["compile", "--ouch"], ["report", "not-a-url"]]) {
            assert.equal((await run(...args)).exitCode, 2, args.join(" "));
        }
    });

    test("generates keys together with the matching record", async () => {
        const generated = JSON.parse((await run("key")).output) as { key: string; record: { id: string; }; };
        assert.ok(generated.key.startsWith(`rr_${generated.record.id}_`));
    });

    test("lists the errors and warnings of checked files", async () => {
        const good = await run("check", file("good.json", document));
        assert.equal(good.exitCode, 0);
        assert.match(good.output, /good\.json: organisations\.mission\.keys: warning: has no key/);
        const bad = await run("check", file("bad.json", "{"), file("worse.json", { services: { items: {} } }));
        assert.equal(bad.exitCode, 1);
        assert.match(bad.output, /bad\.json: is not JSON/);
        assert.match(bad.output, /worse\.json: services\.items\.slots: is missing; add a number/);
        const json = JSON.parse((await run("check", "--json", join(directory, "bad.json"))).output) as object;
        assert.deepEqual(Object.keys(json), ["problems"]);
        assert.equal((await run("check", join(directory, "absent.json"))).exitCode, 1);
    });

    test("only compiles versions above the previous one, and keeps the output file on an error", async () => {
        const source = file("source.json", document);
        const out = join(directory, "out.json");
        assert.equal((await run("compile", source, "--out", out)).exitCode, 0);
        assert.equal((JSON.parse(readFileSync(out, "utf8")) as { version: number; }).version, 1);
        assert.equal((await run("compile", source, "--previous", out, "--out", out)).exitCode, 0);
        const before = readFileSync(out, "utf8");
        assert.equal((JSON.parse(before) as { version: number; }).version, 2);
        const back = await run("compile", source, "--previous", out, "--version-number", "2", "--out", out);
        assert.equal(back.exitCode, 1);
        assert.match(
            back.notes,
            /--version-number 2: nodes only accept versions above 2; use at least 3/,
        );
        const damaged = await run("compile", file("damaged.json", "{"), "--previous", out, "--out", out);
        assert.equal(damaged.exitCode, 1);
        assert.equal(readFileSync(out, "utf8"), before);
        const noNumber = await run("compile", source, "--version-number", "x");
        assert.equal(noNumber.exitCode, 2);
        assert.match(noNumber.notes, /--version-number x: must be a whole number/);
        assert.equal((await run("compile", source, "--previous", source)).exitCode, 1);
    });

    test("rejects duplicate names in an object", async () => {
        const text = `{"organisations": {"archive": {"rate": 1},\n"archive": ${
            JSON.stringify(document.organisations.archive)
        }}}`;
        const { exitCode, output } = await run("check", file("twice.json", text));
        assert.equal(exitCode, 1);
        assert.match(output, /twice\.json: organisations\.archive: is defined twice, again in line 2; keep one/);
    });

    test("rejects added seats that would exceed the rates while nodes still use the previous version", async () => {
        const previous = join(directory, "two-seats.json");
        await run("compile", file("two-seats-source.json", document), "--out", previous);
        const failureDomains = { "khomas-a": { region: "khomas", seats: 3 } };
        const more = file("three-seats.json", { ...document, failureDomains });
        const { exitCode, notes } = await run("compile", more, "--previous", previous);
        assert.equal(exitCode, 1);
        assert.match(notes, /seats would mint 133\.3% of every rate; to add seats, first raise shareCount alone/);
        const shares = file("share-count.json", { shareCount: 3 });
        const good = join(directory, "two-seats-source.json");
        assert.equal((await run("compile", good, shares, "--previous", previous, "--out", previous)).exitCode, 0);
        assert.equal((await run("compile", more, shares, "--previous", previous)).exitCode, 0);
        const few = await run("check", good, file("few-shares.json", { shareCount: 1 }));
        assert.match(few.output, /few-shares\.json: shareCount: must be at least the number of seats/);
    });

    test("exits without an error when the reader of a pipe closes it", async () => {
        const child = spawn(process.execPath, [script, "key"], { stdio: ["ignore", "pipe", "pipe"] });
        child.stdout.destroy();
        let notes = "";
        child.stderr.on("data", chunk => (notes += String(chunk)));
        const code = await new Promise(resolve => child.once("close", resolve));
        assert.deepEqual({ code, notes }, { code: 0, notes: "" });
    });

    test("rejects a document that is too large for the platform", async () => {
        const organisations = Object.fromEntries(Array.from({ length: 8_000 }, (_, index) => {
            const id = `key${String(index).padStart(8, "0")}`;
            return [`o${index}`, { rate: 10, burst: 10, keys: [{ id, hash: id.slice(3).padStart(64, "0") }] }];
        }));
        const large = { ...document, organisations: { ...document.organisations, ...organisations } };
        const { exitCode, notes } = await run("compile", file("large.json", large));
        assert.equal(exitCode, 1);
        assert.match(notes, /the document has \d{7} bytes and the platform stores less than 1000000/);
    });

    test("explains what would happen to a request", async () => {
        const compiled = join(directory, "compiled.json");
        await run("compile", file("explained.json", document), "--out", compiled);
        const cases: { args: string[]; exitCode: number; expected: RegExp; }[] = [
            {
                args: ["GET", "/items/read/1", "--key", key],
                exitCode: 0,
                expected: /is run unless the load is too high/,
            },
            { args: ["GET", "/items/open"], exitCode: 0, expected: /the route is open to all/ },
            { args: ["GET", "/items/read/1"], exitCode: 1, expected: /refused: 1002 key-missing \(HTTP 401\)/ },
            { args: ["GET", "/items/read/1", "--key", `${key}x`], exitCode: 1, expected: /refused: 1003 key-invalid/ },
            { args: ["GET", "/nowhere/1"], exitCode: 1, expected: /refused: 1004 route-unknown/ },
            { args: ["POST", "/items/book", "--organisation", "archive"], exitCode: 1, expected: /refused: 1005/ },
            { args: ["GET", "/items/read/1", "--organisation", "mission"], exitCode: 1, expected: /refused: 1003/ },
        ];
        for (const { args, exitCode, expected } of cases) {
            const result = await run("explain", ...args, "--document", compiled);
            assert.equal(result.exitCode, exitCode, args.join(" "));
            assert.match(result.output, expected);
            assert.ok(!result.output.includes(key), "the key is not printed");
        }
    });

    test("names the nodes that did not respond", async () => {
        const url = "http://127.0.0.1:9";
        for (const command of ["report", "status", "audit"]) {
            const { exitCode, output, notes } = await run(command, url);
            assert.equal(exitCode, 3, command);
            assert.ok((output + notes).includes(url), command);
        }
        const hosts = file("hosts.json", [url]);
        assert.equal((await run("status", "--hosts", hosts)).exitCode, 3);
        assert.equal((await run("status", "--hosts", file("no-hosts.json", { a: 1 }))).exitCode, 1);
    });
});
