/**
 * Reads the text and JSON files that are named on the command line.
 */
import { readFileSync } from "node:fs";
import type { z } from "zod";
import { CommandError } from "./command-error.js";

/**
 * Reads a text file.
 *
 * @throws CommandError when the file cannot be read.
 */
export function readTextFile(file: string): string {
    try {
        return readFileSync(file, "utf8");
    }
    catch (error) {
        throw CommandError.create(`${file}: cannot be read: ${(error as Error).message}`);
    }
}

/**
 * Reads a JSON file and validates it against a schema; `description` names the expected content in error messages.
 *
 * @throws CommandError when the file cannot be read or does not match the schema.
 */
export function readJsonFile<Schema extends z.ZodType>(
    file: string,
    schema: Schema,
    description: string,
): z.output<Schema> {
    let content: unknown;
    try {
        content = JSON.parse(readTextFile(file));
    }
    catch (error) {
        throw error instanceof CommandError ? error : CommandError.create(`${file}: is not JSON: ${String(error)}`);
    }
    const parsed = schema.safeParse(content);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        throw CommandError.create(`${file}: is not ${description}: ${issue?.path.join(".")}: ${issue?.message}`);
    }
    return parsed.data;
}
