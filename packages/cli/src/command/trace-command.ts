/**
 * `radishrouter trace`: what nodes logged about one request, and what they came to believe shortly before.
 */
import { z } from "zod";
import { formatTable } from "../output/text-table.js";
import type { TableStyle } from "../output/text-table.js";
import { CommandError } from "./command-error.js";
import { readText } from "./read-files.js";

const lineSchema = z.looseObject({
    time: z.string(),
    host: z.string(),
    event: z.string(),
    request: z.string().optional(),
});

/** One line of a node's log. */
export type LogLine = z.infer<typeof lineSchema>;

/** What is known of a request. */
export interface RequestTrace {
    /** Lines about the request and its onward calls, the oldest first. */
    readonly decisions: readonly LogLine[];
    /** Changes of what the same hosts believed, shortly before and during the request. */
    readonly beliefs: readonly LogLine[];
    /** Lines that nodes left out because there were too many; the trace may lack some of them. */
    readonly omitted: number;
}

/** Time before the first decision in which changes of belief are shown. */
const BELIEFS_BEFORE_MS = 5_000;
const COMMON_FIELDS = new Set(["time", "host", "event", "request", "level"]);

/**
 * Finds a request in log files.
 *
 * @throws CommandError when a file cannot be read.
 */
export function traceRequest(id: string, files: readonly string[]): RequestTrace {
    const lines = files.flatMap(file => readText(file).split("\n").flatMap(readLine)).sort(byTime);
    const decisions = lines.filter(({ request }) => request !== undefined && isPartOf(request, id));
    const [first] = decisions;
    const last = decisions.at(-1);
    if (!first || !last) {
        return { decisions: [], beliefs: [], omitted: countOmitted(lines) };
    }
    const hosts = new Set(decisions.map(({ host }) => host));
    const fromMs = Date.parse(first.time) - BELIEFS_BEFORE_MS;
    const untilMs = Date.parse(last.time);
    const beliefs = lines.filter(line => {
        const atMs = Date.parse(line.time);
        return line.request === undefined && hosts.has(line.host) && atMs >= fromMs && atMs <= untilMs;
    });
    return { decisions, beliefs, omitted: countOmitted(beliefs) };
}

/**
 * Formats a trace for people.
 *
 * @throws CommandError when the trace holds no line about the request.
 */
export function formatTrace(trace: RequestTrace, style: TableStyle): string {
    if (trace.decisions.length === 0) {
        throw CommandError.create(`no line about this request; nodes left out ${trace.omitted} lines`);
    }
    const rows = [...trace.beliefs, ...trace.decisions].sort(byTime).map(line => [
        line.time,
        line.host,
        line.event,
        line.request ?? "",
        formatFields(line),
    ]);
    const table = formatTable({ head: ["time", "host", "event", "request", "inputs and outcome"], rows }, style);
    return trace.omitted === 0 ? table : `${table}\nlines left out by these hosts meanwhile: ${trace.omitted}`;
}

/** A log may hold lines of others between those of a node; they are passed over. */
function readLine(text: string): LogLine[] {
    const start = text.indexOf("{");
    if (start < 0) {
        return [];
    }
    try {
        return [lineSchema.parse(JSON.parse(text.slice(start)))];
    }
    catch {
        return [];
    }
}

/** Onward calls may carry the id of their parent before a point. */
function isPartOf(request: string, id: string): boolean {
    return request === id || request.startsWith(`${id}.`);
}

function byTime(left: LogLine, right: LogLine): number {
    return left.time < right.time ? -1 : left.time > right.time ? 1 : 0;
}

function countOmitted(lines: readonly LogLine[]): number {
    return lines.reduce((sum, line) => sum + (line.event === "lines-omitted" ? Number(line["count"]) : 0), 0);
}

function formatFields(line: LogLine): string {
    return Object.entries(line)
        .filter(([name]) => !COMMON_FIELDS.has(name))
        .map(([name, value]) => `${name}=${String(value)}`)
        .join(" ");
}
