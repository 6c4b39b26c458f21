/**
 * Mistakes in the files of operators, each described with a suggested fix.
 */
import type { z } from "zod";

/** One mistake in a file. */
export interface SourceProblem {
    readonly file: string;
    /** Path to the value within the file, such as `services.items.slots`. */
    readonly path: string;
    /** What is wrong and how to fix it. */
    readonly message: string;
    /** An error keeps the files from being compiled, a warning does not. */
    readonly severity: "error" | "warning";
}

/** Converts the issues that a schema reported into problems of a file. */
export function toSourceProblems(file: string, error: z.ZodError): SourceProblem[] {
    return error.issues.map(issue => ({
        file,
        path: issue.path.join("."),
        message: describeIssue(issue),
        severity: "error",
    }));
}

function describeIssue(issue: z.core.$ZodIssue): string {
    switch (issue.code) {
        case "invalid_type":
            return describeType(issue);
        case "unrecognized_keys":
            return `has no setting named ${issue.keys.join(", ")}; correct the spelling or remove it`;
        case "invalid_value":
            return `is not allowed; use one of ${issue.values.join(", ")}`;
        case "too_small":
            return `is too small; use ${issue.inclusive ? "at least" : "more than"} ${issue.minimum}`;
        case "too_big":
            return `is too large; use ${issue.inclusive ? "at most" : "less than"} ${issue.maximum}`;
        case "invalid_key":
            return `has a name that is not allowed: ${issue.issues[0]?.message ?? "choose another name"}`;
        case "custom":
            return issue.message;
        default:
            return `is not allowed: ${issue.message}`;
    }
}

function describeType(issue: z.core.$ZodIssueInvalidType): string {
    const isMissing = issue.message.endsWith("received undefined");
    const expected = issue.expected === "int" ? "whole number" : issue.expected;
    return isMissing ? `is missing; add a ${expected}` : `has the wrong type; use a ${expected}`;
}
