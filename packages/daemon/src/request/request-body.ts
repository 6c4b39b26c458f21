/**
 * Bodies of requests: small ones are buffered so that they can be sent again, larger ones are streamed.
 */
import { RequestError } from "@radishrouter/core";
import type { PendingAttempt } from "@radishrouter/core";
import { IncomingMessage } from "node:http";
import { Readable } from "node:stream";

/** Body of a request on its way to a backend server. */
export type RequestBody =
    | { readonly kind: "none"; }
    /** Can be sent any number of times. */
    | { readonly kind: "buffered"; readonly content: Buffer; }
    /** Can be sent once. */
    | { readonly kind: "streamed"; readonly stream: Readable; };

/** How a body is read. */
export interface BodyOptions {
    readonly hasBody: boolean;
    /** Bytes up to which the body is buffered so that it can be sent again. */
    readonly replayBytes: number;
    /** Bytes above which the body is refused. */
    readonly maximumBytes: number;
    /** Creates the error for a body that could not be read before anything of the request was forwarded. */
    readonly createReadError?: () => RequestError;
}

/**
 * Buffers a body of up to `replayBytes` completely. A longer one becomes a stream, which fails with a RequestError if
 * it exceeds `maximumBytes`.
 *
 * @throws RequestError when the announced or buffered part of the body is larger than `maximumBytes`.
 */
export async function readRequestBody(
    source: Readable,
    options: BodyOptions,
): Promise<RequestBody> {
    if (!options.hasBody) {
        return { kind: "none" };
    }
    if (source instanceof IncomingMessage && Number(source.headers["content-length"] ?? 0) > options.maximumBytes) {
        throw RequestError.create("body-too-large");
    }
    const chunks: Buffer[] = [];
    let size = 0;
    const iterator = source.iterator({ destroyOnReturn: false })[Symbol.asyncIterator]();
    for (;;) {
        const next = await readNext(iterator, options);
        if (next.done) {
            return { kind: "buffered", content: Buffer.concat(chunks) };
        }
        chunks.push(next.value);
        size += next.value.length;
        if (size > options.maximumBytes) {
            throw RequestError.create("body-too-large");
        }
        if (size > options.replayBytes) {
            return {
                kind: "streamed",
                stream: Readable.from(streamChunks(chunks, size, iterator, options.maximumBytes)),
            };
        }
    }
}

async function readNext(iterator: AsyncIterator<Buffer>, options: BodyOptions): Promise<IteratorResult<Buffer>> {
    try {
        return await iterator.next() as IteratorResult<Buffer>;
    }
    catch (error) {
        throw options.createReadError?.() ?? error;
    }
}

/** Yields the chunks that were already read, then the rest of the body. */
async function* streamChunks(
    chunks: readonly Buffer[],
    sizeSoFar: number,
    rest: AsyncIterator<Buffer>,
    maximumBytes: number,
): AsyncGenerator<Buffer> {
    yield* chunks;
    let size = sizeSoFar;
    for (let next = await rest.next(); !next.done; next = await rest.next()) {
        size += next.value.length;
        if (size > maximumBytes) {
            throw RequestError.create("body-too-large", { execution: "unknown" });
        }
        yield next.value;
    }
}

/** Returns a body in the form that the HTTP client accepts. */
export function toHttpClientBody(body: RequestBody): Buffer | Readable | undefined {
    switch (body.kind) {
        case "none":
            return undefined;
        case "buffered":
            return body.content;
        case "streamed":
            return body.stream;
    }
}

/**
 * Excludes the time that a caller takes to send a streamed body from the time for which the host of an attempt has not
 * responded. Otherwise a slow caller would make the host count as unresponsive.
 */
export function excludeUploadTime(attempt: PendingAttempt, body: RequestBody): void {
    if (body.kind === "streamed") {
        attempt.pause();
        body.stream.once("end", () => attempt.resume());
    }
}
