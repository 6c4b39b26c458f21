/**
 * Bundles the platform's node program into one file under target/, so that starting a node reads only that file.
 */
import { build } from "esbuild";

await build({
    entryPoints: ["platform/dist/bin/radishrouter-platform.js"],
    outfile: "target/radishrouter-platform.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    // Bundled CommonJS packages expect `require`, `__filename` and `__dirname`, which ES modules do not have.
    banner: {
        js: 'import { createRequire as createBundleRequire } from "node:module"; ' +
            "const require = createBundleRequire(import.meta.url); " +
            "const __filename = import.meta.filename; const __dirname = import.meta.dirname;",
    },
});
