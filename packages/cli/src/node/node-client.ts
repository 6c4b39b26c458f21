/**
 * Asks nodes on their operators' listeners.
 */
import { request } from "undici";
import { z } from "zod";
import { CommandError, exitCodes } from "../command/command-error.js";
import { readJsonFile } from "../command/read-files.js";

const TIMEOUT_MS = 2_000;
/** Nodes that are asked at the same time. */
const CONCURRENT_NODES = 64;

/** What one node answered, or why it did not. */
export type NodeAnswer<Value> =
    | { readonly kind: "answered"; readonly url: string; readonly value: Value; }
    | { readonly kind: "unreachable"; readonly url: string; readonly reason: string; };

/** A node that did not answer. */
export interface UnreachableNode {
    readonly url: string;
    readonly reason: string;
}

const hostsSchema = z.array(z.url({ protocol: /^https?$/ }));

/**
 * Addresses of the operators' listeners that a command line names.
 *
 * @throws CommandError when none is named or one is not a URL.
 */
export function resolveNodeUrls(urls: readonly string[], hostsFile: string | undefined): string[] {
    const listed = hostsFile === undefined ? [] : readJsonFile(hostsFile, hostsSchema, "a list of node URLs");
    const all = [...new Set([...urls, ...listed].map(url => url.replace(/\/+$/, "")))];
    if (all.length === 0) {
        throw CommandError.create("name nodes by URL or with --hosts FILE", exitCodes.usage);
    }
    const wrong = all.find(url => !hostsSchema.element.safeParse(url).success);
    if (wrong !== undefined) {
        throw CommandError.create(`${wrong}: use a URL such as http://127.0.0.1:8084`, exitCodes.usage);
    }
    return all;
}

/** Asks one node. */
export async function askNode<Schema extends z.ZodType>(
    url: string,
    path: string,
    schema: Schema,
): Promise<NodeAnswer<z.output<Schema>>> {
    try {
        const answer = await request(url + path, { signal: AbortSignal.timeout(TIMEOUT_MS) });
        const content = await answer.body.json();
        if (answer.statusCode !== 200) {
            return { kind: "unreachable", url, reason: `it answered ${answer.statusCode}` };
        }
        return { kind: "answered", url, value: schema.parse(content) };
    }
    catch (error) {
        return { kind: "unreachable", url, reason: describeError(error) };
    }
}

/** Asks many nodes, some at a time; answers come in the order of the URLs. */
export async function askNodes<Schema extends z.ZodType>(
    urls: readonly string[],
    path: string,
    schema: Schema,
): Promise<NodeAnswer<z.output<Schema>>[]> {
    const answers: NodeAnswer<z.output<Schema>>[] = [];
    let next = 0;
    const worker = async () => {
        while (next < urls.length) {
            const index = next++;
            answers[index] = await askNode(urls[index]!, path, schema);
        }
    };
    await Promise.all(Array.from({ length: Math.min(CONCURRENT_NODES, urls.length) }, worker));
    return answers;
}

/** Nodes that did not answer, and why. */
export function findUnreachable(answers: readonly NodeAnswer<unknown>[]): UnreachableNode[] {
    return answers.flatMap(answer => answer.kind === "unreachable" ? [{ url: answer.url, reason: answer.reason }] : []);
}

function describeError(error: unknown): string {
    if (error instanceof z.ZodError) {
        return "it answered in an unknown form";
    }
    if (error instanceof Error) {
        return error.name === "TimeoutError" ? `no answer within ${TIMEOUT_MS} ms` : error.message || error.name;
    }
    return String(error);
}
