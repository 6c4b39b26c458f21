/**
 * Finds duplicate names in JSON objects. `JSON.parse` does not report them; it silently keeps the last value.
 */
import type { SourceProblem, SourceText } from "@radishrouter/core";
import { visit } from "jsonc-parser";

/** Finds names that are defined more than once in the same object of a file. */
export function findDuplicateNames(source: SourceText): SourceProblem[] {
    const problems: SourceProblem[] = [];
    const seen = new Set<string>();
    visit(source.text, {
        onObjectProperty: (name, _offset, _length, line, _character, getParentPath) => {
            const path = [...getParentPath(), name].join(".");
            if (seen.has(path)) {
                const message = `is defined twice, again in line ${line + 1}; keep one of the two`;
                problems.push({ file: source.file, path, message, severity: "error" });
            }
            seen.add(path);
        },
    });
    return problems;
}
