/**
 * HTTP client for the listeners that nodes open for operators and for metrics.
 */
import { request } from "undici";
import { z } from "zod";
import { CommandError, exitCodes } from "../command/command-error.js";
import { readJsonFile } from "../command/read-files.js";

const RESPONSE_TIMEOUT_MS = 2_000;
/** Nodes that are queried at the same time. */
const MAXIMUM_CONCURRENT_REQUESTS = 64;

/** Response of one node, or the reason why there is none. */
export type NodeResult<Value> =
    | { readonly kind: "answered"; readonly url: string; readonly value: Value; }
    | { readonly kind: "unreachable"; readonly url: string; readonly reason: string; };

/** A node without a usable response. */
export interface UnreachableNode {
    readonly url: string;
    readonly reason: string;
}

const nodeUrlsSchema = z.array(z.url({ protocol: /^https?$/ }));

/**
 * Returns the node URLs that a command line names, directly and in a file, without duplicates.
 *
 * @throws CommandError when no URL is named or one of them is not an HTTP URL.
 */
export function resolveNodeUrls(urls: readonly string[], hostsFile: string | undefined): string[] {
    const listed = hostsFile === undefined ? [] : readJsonFile(hostsFile, nodeUrlsSchema, "a list of node URLs");
    const all = [...new Set([...urls, ...listed].map(url => url.replace(/\/+$/, "")))];
    if (all.length === 0) {
        throw CommandError.create("no nodes given; name them by URL or with --hosts FILE", exitCodes.usage);
    }
    const invalidUrl = all.find(url => !nodeUrlsSchema.element.safeParse(url).success);
    if (invalidUrl !== undefined) {
        throw CommandError.create(
            `${invalidUrl}: is not an HTTP URL; use a URL such as http://127.0.0.1:8084`,
            exitCodes.usage,
        );
    }
    return all;
}

/** Queries one node; failures are returned and not thrown. */
export async function queryNode<Schema extends z.ZodType>(
    url: string,
    path: string,
    schema: Schema,
): Promise<NodeResult<z.output<Schema>>> {
    try {
        const response = await request(url + path, { signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS) });
        const content = await response.body.json();
        if (response.statusCode !== 200) {
            return { kind: "unreachable", url, reason: `it responded with HTTP status ${response.statusCode}` };
        }
        return { kind: "answered", url, value: schema.parse(content) };
    }
    catch (error) {
        return { kind: "unreachable", url, reason: describeError(error) };
    }
}

/** Queries many nodes, a limited number at a time; results are in the order of the URLs. */
export async function queryNodes<Schema extends z.ZodType>(
    urls: readonly string[],
    path: string,
    schema: Schema,
): Promise<NodeResult<z.output<Schema>>[]> {
    const results: NodeResult<z.output<Schema>>[] = [];
    let nextIndex = 0;
    const worker = async () => {
        while (nextIndex < urls.length) {
            const index = nextIndex++;
            results[index] = await queryNode(urls[index]!, path, schema);
        }
    };
    await Promise.all(Array.from({ length: Math.min(MAXIMUM_CONCURRENT_REQUESTS, urls.length) }, worker));
    return results;
}

/** Selects the nodes without a usable response, each with the reason. */
export function findUnreachable(results: readonly NodeResult<unknown>[]): UnreachableNode[] {
    return results.flatMap(result => result.kind === "unreachable" ? [{ url: result.url, reason: result.reason }] : []);
}

function describeError(error: unknown): string {
    if (error instanceof z.ZodError) {
        return "its response does not have the expected format";
    }
    if (error instanceof Error) {
        return error.name === "TimeoutError" ?
            `no response within ${RESPONSE_TIMEOUT_MS} ms` :
            error.message || error.name;
    }
    return String(error);
}
