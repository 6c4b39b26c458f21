/**
 * Runs the compiled test files. With arguments, only files whose path contains one of the arguments are run.
 *
 * Failures of tests that are listed in KNOWN-RED.txt are printed and do not fail the run.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const CONCURRENT_FILES = 3;
/** Names of files that run alone after the others: each puts one process under a load that slows its neighbours. */
const FILES_RUN_ALONE = ["uncontrolled-callers.test.js", "uncontrolled-peers.test.js"];
const root = join(import.meta.dirname, "..");

function findTests() {
    const packages = readdirSync(join(root, "packages")).map(name => join("packages", name));
    return [...packages, "platform"].flatMap(name => {
        const directory = join(root, name, "dist/test");
        return existsSync(directory) ?
            readdirSync(directory, { recursive: true }).map(file => join(directory, file)) :
            [];
    }).filter(file => file.endsWith(".test.js")).sort();
}

/** Reads the names of tests that are known to fail from the lines of KNOWN-RED.txt that start with `test: `. */
function readKnownFailures() {
    const file = join(root, "KNOWN-RED.txt");
    const lines = existsSync(file) ? readFileSync(file, "utf8").split("\n") : [];
    return new Set(lines.filter(line => line.startsWith("test: ")).map(line => line.slice("test: ".length).trim()));
}

const selection = process.argv.slice(2);
const files = findTests().filter(file => selection.length === 0 || selection.some(pattern => file.includes(pattern)));
const knownFailures = readKnownFailures();
let passed = 0;
let failed = 0;
let knownFailureCount = 0;

const runsAlone = file => FILES_RUN_ALONE.some(name => file.endsWith(name));

/** Runs test files, some at a time; resolves when all have ended. */
async function runFiles(selected, concurrency) {
    if (selected.length === 0) {
        return;
    }
    const stream = run({ files: selected, concurrency, timeout: 600_000 });
    stream.on("test:pass", event => {
        passed += event.details.type === "suite" ? 0 : 1;
    });
    stream.on("test:fail", event => {
        const isParent = event.details.error?.failureType === "subtestsFailed";
        if (isParent) {
            return;
        }
        if (knownFailures.has(event.name)) {
            knownFailureCount++;
            process.stdout.write(`known to fail (KNOWN-RED.txt): ${event.name}\n`);
            return;
        }
        failed++;
    });
    stream.compose(new spec()).pipe(process.stdout);
    await new Promise(resolve => stream.once("end", resolve));
}

await runFiles(files.filter(file => !runsAlone(file)), CONCURRENT_FILES);
await runFiles(files.filter(runsAlone), 1);
process.on("exit", () => {
    process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
    process.stdout.write(`\nknown to fail: ${knownFailureCount}\n${passed} passed, ${failed} failed\n`);
});
