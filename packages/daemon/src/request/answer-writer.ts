/**
 * Sends the answer of a backend server on.
 */
import { RequestError } from "@radishrouter/core";
import type { ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import type { Answer } from "./request-context.js";

/**
 * Streams an answer to the receiver; when its source ends early the receiver sees an aborted message.
 *
 * @throws RequestError when the answer could not be sent whole.
 */
export async function writeAnswer(
    response: ServerResponse,
    answer: Answer,
    signal: AbortSignal,
    extraHeaders: Record<string, string> = {},
): Promise<void> {
    response.writeHead(answer.status, { ...answer.headers, ...extraHeaders });
    try {
        await pipeline(answer.body, response, { signal });
    }
    catch {
        response.destroy();
        if (signal.aborted && signal.reason instanceof RequestError) {
            throw signal.reason;
        }
        throw RequestError.create("answer-truncated");
    }
}
