/**
 * Refusals and errors as RFC 9457 problem documents.
 */
import { RequestError } from "@radishrouter/core";
import type { ServerResponse } from "node:http";
import { z } from "zod";

/** Body of a refusal or error. */
export const problemDocumentSchema = z.object({
    type: z.string(),
    title: z.string(),
    status: z.number(),
    detail: z.string(),
    /** Number of the result; see docs/RESULT-CODES.md. */
    code: z.number(),
    /** `not-run` when no backend server ran the request, `unknown` when one may have. */
    execution: z.enum(["not-run", "unknown"]),
    retryAfterMs: z.number().optional(),
});

/** Body of a refusal or error; see {@link problemDocumentSchema}. */
export type ProblemDocument = z.infer<typeof problemDocumentSchema>;

const DEFAULT_RETRY_AFTER_MS = 1000;

/** Returns a RequestError as it is, and any other error as a RequestError with the result `internal-error`. */
export function toRequestError(error: unknown): RequestError {
    return error instanceof RequestError ? error : RequestError.create("internal-error", { detail: String(error) });
}

/** Creates the problem document that reports an error to a caller. */
export function createProblemDocument(error: RequestError): ProblemDocument {
    const { code, name, httpStatus, title } = error.result;
    const retryable = httpStatus === 429 || httpStatus === 503;
    return {
        type: `urn:radishrouter:result:${name}`,
        title,
        status: httpStatus,
        detail: error.message,
        code,
        execution: error.execution,
        retryAfterMs: retryable ? Math.ceil(error.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS) : undefined,
    };
}

/** Sends an error as the response, or closes the connection when a response has already begun. */
export function sendProblem(response: ServerResponse, error: RequestError, headers: Record<string, string> = {}): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const document = createProblemDocument(error);
    const body = JSON.stringify(document);
    response.statusCode = document.status;
    response.setHeader("content-type", "application/problem+json");
    response.setHeader("content-length", Buffer.byteLength(body));
    if (document.retryAfterMs !== undefined) {
        response.setHeader("retry-after", Math.max(1, Math.ceil(document.retryAfterMs / 1000)));
    }
    for (const [name, value] of Object.entries(headers)) {
        response.setHeader(name, value);
    }
    response.end(body);
}
