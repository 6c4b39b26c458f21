/**
 * Bundles the platform's node program under target/: one file with the program, the code that the engine compiles from
 * it, and a small file that starts it. Starting a node reads only these.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";

const START_FILE = "target/radishrouter-platform.mjs";

const options = { bundle: true, platform: "node", target: "node20", minifySyntax: true, minifyWhitespace: true };
await build({
    ...options,
    entryPoints: ["platform/dist/node-program.js"],
    outfile: "target/node-program.cjs",
    format: "cjs",
});
await build({
    ...options,
    entryPoints: ["platform/dist/bin/bundled-node.js"],
    outfile: START_FILE,
    format: "esm",
});

// The engine uses the compiled code only under the flags under which it was written.
const { flags } = /run = "node (?<flags>(?:--\S+ )*)/.exec(readFileSync("deploy/system.toml", "utf8")).groups;
execFileSync(process.execPath, [...flags.trim().split(" "), START_FILE, "--write-code-cache"]);
