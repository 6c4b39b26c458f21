/**
 * Names that stand twice in one JSON object; a JSON parser keeps the last one without a word.
 */
import type { SourceProblem, SourceText } from "@radishrouter/core";
import { visit } from "jsonc-parser";

/** Finds names that stand twice in one object of a file. */
export function findRepeatedNames(source: SourceText): SourceProblem[] {
    const problems: SourceProblem[] = [];
    const seen = new Set<string>();
    visit(source.text, {
        onObjectProperty: (name, _offset, _length, line, _character, pathOf) => {
            const path = [...pathOf(), name].join(".");
            if (seen.has(path)) {
                const message = `stands twice, again in line ${line + 1}; keep one of the two`;
                problems.push({ file: source.file, path, message, severity: "error" });
            }
            seen.add(path);
        },
    });
    return problems;
}
