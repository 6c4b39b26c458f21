import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";

const packageDirectory = fileURLToPath(new URL("../..", import.meta.url));
const readme = readFileSync(join(packageDirectory, "README.md"), "utf8");

function readBlock(language: string): string {
    return new RegExp(`\`\`\`${language}\n([^]*?)\`\`\``).exec(readme)?.[1] ?? "";
}

test("the example in the README runs and prints the output in the README", async () => {
    const directory = mkdtempSync(join(packageDirectory, "dist", "example-"));
    try {
        const file = join(directory, "example.mjs");
        writeFileSync(file, readBlock("ts"));
        const { stdout } = await promisify(execFile)(process.execPath, [file]);
        assert.notEqual(stdout, "");
        assert.equal(stdout, readBlock("text"));
    }
    finally {
        rmSync(directory, { recursive: true });
    }
});
