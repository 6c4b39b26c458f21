/**
 * Reads and validates the headers that a node sends with a forwarded request.
 */
import { importanceSchema, nameSchema, RequestError } from "@radishrouter/core";
import type { Importance } from "@radishrouter/core";
import type { IncomingHttpHeaders } from "node:http";
import { z } from "zod";
import { forwardHeaders } from "./header-names.js";

const MAXIMUM_RETRIES = 16;
const MAXIMUM_REMAINING_MS = 600_000;
/** Takes the place of the organisation for requests without a valid key, which only open routes accept. */
const OPEN_ORGANISATION = "(open)";

/** Properties of a forwarded request, as the node that sent it reports them. */
export interface ForwardedRequest {
    readonly organisation: string;
    readonly importance: Importance;
    readonly remainingMs: number;
    readonly retries: number;
    /** Whether an earlier attempt may have run. */
    readonly isRepeat: boolean;
}

const wholeNumberSchema = z.string().regex(/^[0-9]{1,9}$/).transform(Number);

const forwardedHeadersSchema = z.object({
    organisation: z.union([nameSchema, z.literal(OPEN_ORGANISATION)]),
    importance: importanceSchema,
    remainingMs: wholeNumberSchema.pipe(z.number().max(MAXIMUM_REMAINING_MS)),
    retries: wholeNumberSchema.pipe(z.number().max(MAXIMUM_RETRIES)),
});

/**
 * Reads the headers of a forwarded request.
 *
 * @throws RequestError when one is missing, malformed or out of bounds.
 */
export function readForwardedHeaders(headers: IncomingHttpHeaders): ForwardedRequest {
    const parsed = forwardedHeadersSchema.safeParse({
        organisation: headers[forwardHeaders.organisation],
        importance: headers[forwardHeaders.importance],
        remainingMs: headers[forwardHeaders.remainingMs],
        retries: headers[forwardHeaders.retries],
    });
    if (!parsed.success) {
        const name = parsed.error.issues[0]?.path[0] as keyof typeof forwardHeaders;
        throw RequestError.create("malformed-request", { detail: `${forwardHeaders[name]}: missing or out of bounds` });
    }
    return { ...parsed.data, isRepeat: headers[forwardHeaders.repeat] !== undefined };
}
