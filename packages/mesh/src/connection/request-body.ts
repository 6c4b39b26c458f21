/**
 * Reads the complete body of a request.
 */
import type { IncomingMessage } from "node:http";

/** Outcome of reading a body. */
export type BodyResult =
    | { readonly kind: "whole"; readonly body: Buffer | undefined; }
    | { readonly kind: "too-large"; }
    | { readonly kind: "aborted"; };

/** Reads a body of at most `maximumBytes`. */
export function readBody(request: IncomingMessage, maximumBytes: number): Promise<BodyResult> {
    const { headers } = request;
    const length = Number(headers["content-length"] ?? 0);
    if (length > maximumBytes) {
        return Promise.resolve({ kind: "too-large" });
    }
    if (length === 0 && headers["transfer-encoding"] === undefined) {
        return Promise.resolve({ kind: "whole", body: undefined });
    }
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        request.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > maximumBytes) {
                resolve({ kind: "too-large" });
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => resolve({ kind: "whole", body: Buffer.concat(chunks) }));
        request.on("close", () => resolve({ kind: "aborted" }));
    });
}
