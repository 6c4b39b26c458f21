/**
 * Passes the response of a backend server on to the caller or node that sent the request.
 */
import { RequestError } from "@radishrouter/core";
import type { ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import type { BackendResponse } from "./request-context.js";

/**
 * Streams a response to its receiver. When it cannot be completed, the connection is closed before the end of the
 * body, so that the receiver can tell that the response is incomplete.
 *
 * @throws RequestError when the response could not be sent completely.
 */
export async function writeResponse(
    response: ServerResponse,
    backendResponse: BackendResponse,
    signal: AbortSignal,
    extraHeaders: Record<string, string> = {},
): Promise<void> {
    response.writeHead(backendResponse.status, { ...backendResponse.headers, ...extraHeaders });
    try {
        await pipeline(backendResponse.body, response, { signal });
    }
    catch {
        response.destroy();
        if (signal.aborted && signal.reason instanceof RequestError) {
            throw signal.reason;
        }
        throw RequestError.create("answer-truncated");
    }
}
