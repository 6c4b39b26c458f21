/**
 * Bundles the program of the platform into one file under target/, so that a node starts from a single read.
 */
import { build } from "esbuild";

await build({
    entryPoints: ["platform/dist/bin/radishrouter-platform.js"],
    outfile: "target/radishrouter-platform.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    // Packages in the older module format expect a `require` function.
    banner: {
        js: 'import { createRequire as createBundleRequire } from "node:module"; ' +
            "const require = createBundleRequire(import.meta.url); " +
            "const __filename = import.meta.filename; const __dirname = import.meta.dirname;",
    },
});
