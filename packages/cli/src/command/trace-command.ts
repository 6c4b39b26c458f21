/**
 * `radishrouter trace`: what nodes logged about one request, and events of these nodes, such as a lost peer or a new
 * configuration, from shortly before and during the request.
 */
import { z } from "zod";
import { formatTable } from "../output/text-table.js";
import type { TableStyle } from "../output/text-table.js";
import { CommandError } from "./command-error.js";
import { readTextFile } from "./read-files.js";

const logLineSchema = z.looseObject({
    time: z.string(),
    host: z.string(),
    event: z.string(),
    request: z.string().optional(),
    /** Identifies the request in lines about ends of backend servers, the same for all its attempts. */
    fingerprint: z.string().optional(),
    /** Fingerprints of the requests that were in flight when a backend server ended, separated by spaces. */
    fingerprints: z.string().optional(),
});

/** One line of a node's log. */
export type LogLine = z.infer<typeof logLineSchema>;

/** Log lines that concern a request. */
export interface RequestTrace {
    /**
     * Lines about the request and its downstream calls, oldest first, and before them those about backend servers that
     * ended while a copy of it was in flight.
     */
    readonly decisions: readonly LogLine[];
    /** Lines of the same hosts that belong to no request, from shortly before and during the request. */
    readonly beliefs: readonly LogLine[];
    /** Lines that nodes omitted because they logged too many; lines about the request may be among them. */
    readonly omitted: number;
}

/** Lines that belong to no request are shown from this long before the first line about the request. */
const NODE_EVENTS_BEFORE_MS = 5_000;
/** Fields that have a column of their own or are not shown. */
const COMMON_FIELDS = new Set(["time", "host", "event", "request", "level"]);

/**
 * Finds the lines about a request in log files.
 *
 * @throws CommandError when a file cannot be read.
 */
export function traceRequest(id: string, files: readonly string[]): RequestTrace {
    const lines = files.flatMap(file => readTextFile(file).split("\n").flatMap(parseLogLine)).sort(compareByTime);
    const ofRequest = lines.filter(({ request }) => request !== undefined && isRequestOrDownstreamCall(request, id));
    const ends = findEnds(ofRequest, lines);
    const [first] = ofRequest;
    const last = ofRequest.at(-1);
    if (!first || !last) {
        return { decisions: [], beliefs: [], omitted: countOmitted(lines) };
    }
    const hosts = new Set(ofRequest.map(({ host }) => host));
    const fromMs = Date.parse(first.time) - NODE_EVENTS_BEFORE_MS;
    const untilMs = Date.parse(last.time);
    const nodeEvents = lines.filter(line => {
        const atMs = Date.parse(line.time);
        return line.request === undefined && !ends.includes(line) && hosts.has(line.host) && atMs >= fromMs &&
            atMs <= untilMs;
    });
    return { decisions: [...ends, ...ofRequest], beliefs: nodeEvents, omitted: countOmitted(nodeEvents) };
}

/**
 * Formats a trace as a table with one row per log line.
 *
 * @throws CommandError when the trace contains no line about the request.
 */
export function formatTrace(trace: RequestTrace, style: TableStyle): string {
    if (trace.decisions.length === 0) {
        throw CommandError.create(
            `the log files contain no line about this request; nodes omitted ${trace.omitted} lines`,
        );
    }
    const rows = [...trace.beliefs, ...trace.decisions].sort(compareByTime).map(line => [
        line.time,
        line.host,
        line.event,
        line.request ?? "",
        formatFields(line),
    ]);
    const table = formatTable({ head: ["time", "host", "event", "request", "inputs and outcome"], rows }, style);
    return trace.omitted === 0 ? table : `${table}\nlines omitted by these hosts in this period: ${trace.omitted}`;
}

/** Lines about ends of backend servers at which a request was in flight, in any of its attempts. */
function findEnds(ofRequest: readonly LogLine[], lines: readonly LogLine[]): LogLine[] {
    const fingerprints = new Set(ofRequest.flatMap(({ fingerprint }) => fingerprint ?? []));
    return lines.filter(line => line.fingerprints?.split(" ").some(fingerprint => fingerprints.has(fingerprint)));
}

/** Parses a line of a node's log. Other programs may write to the same log; their lines are skipped. */
function parseLogLine(text: string): LogLine[] {
    const start = text.indexOf("{");
    if (start < 0) {
        return [];
    }
    try {
        return [logLineSchema.parse(JSON.parse(text.slice(start)))];
    }
    catch {
        return [];
    }
}

/** The id of a downstream call may be the id of the original request, a dot and a suffix. */
function isRequestOrDownstreamCall(request: string, id: string): boolean {
    return request === id || request.startsWith(`${id}.`);
}

function compareByTime(left: LogLine, right: LogLine): number {
    return left.time < right.time ? -1 : left.time > right.time ? 1 : 0;
}

function countOmitted(lines: readonly LogLine[]): number {
    return lines.reduce((sum, line) => sum + (line.event === "lines-omitted" ? Number(line["count"]) : 0), 0);
}

function formatFields(line: LogLine): string {
    return Object.entries(line)
        .filter(([name]) => !COMMON_FIELDS.has(name))
        .map(([name, value]) => `${name}=${typeof value === "object" ? JSON.stringify(value) : String(value)}`)
        .join(" ");
}
