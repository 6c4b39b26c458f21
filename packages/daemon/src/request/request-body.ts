/**
 * Bodies of requests, kept when they are small enough to be sent again.
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
    /** Bytes up to which the body is kept so that it can be sent again. */
    readonly replayBytes: number;
    /** Bytes above which the body is refused. */
    readonly maximumBytes: number;
    /** Result of a request whose sender failed before anything was sent on. */
    readonly readFailure?: () => RequestError;
}

/**
 * Reads a body up to `replayBytes`; a longer one is passed on as a stream.
 *
 * @throws RequestError when the body is larger than `maximumBytes`.
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
                stream: Readable.from(joinChunks(chunks, size, iterator, options.maximumBytes)),
            };
        }
    }
}

async function readNext(iterator: AsyncIterator<Buffer>, options: BodyOptions): Promise<IteratorResult<Buffer>> {
    try {
        return await iterator.next() as IteratorResult<Buffer>;
    }
    catch (error) {
        throw options.readFailure?.() ?? error;
    }
}

async function* joinChunks(
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

/** Body in the form that the HTTP client takes. */
export function bodyContent(body: RequestBody): Buffer | Readable | undefined {
    switch (body.kind) {
        case "none":
            return undefined;
        case "buffered":
            return body.content;
        case "streamed":
            return body.stream;
    }
}

/** Keeps the time that a caller takes to send a body from counting as silence of the host that receives it. */
export function pauseWhileSending(open: PendingAttempt, body: RequestBody): void {
    if (body.kind === "streamed") {
        open.pause();
        body.stream.once("end", () => open.resume());
    }
}
