/**
 * Reads the complete body of a request.
 */
import type { IncomingMessage } from "node:http";
import type { BodyReservation } from "../process/body-budget.js";
import { CollectedBody } from "./collected-body.js";
import { SizedBody } from "./sized-body.js";

/** Outcome of reading a body. */
export type BodyResult =
    | { readonly kind: "whole"; readonly body: Buffer | undefined; }
    | { readonly kind: "too-large"; }
    /** The process holds too many bodies now; a later try may fit. */
    | { readonly kind: "no-room"; }
    | { readonly kind: "aborted"; };

/** Reads a body of at most `maximumBytes`. A length that is stated is reserved before the body is read. */
export function readBody(
    request: IncomingMessage,
    maximumBytes: number,
    reservation: BodyReservation,
): Promise<BodyResult> {
    const { headers } = request;
    const length = Number(headers["content-length"] ?? 0);
    if (length > maximumBytes) {
        return Promise.resolve({ kind: "too-large" });
    }
    if (length === 0 && headers["transfer-encoding"] === undefined) {
        return Promise.resolve({ kind: "whole", body: undefined });
    }
    if (!reservation.tryAdd(length)) {
        return Promise.resolve({ kind: "no-room" });
    }
    return collect(request, maximumBytes, length, reservation);
}

function collect(
    request: IncomingMessage,
    maximumBytes: number,
    statedBytes: number,
    reservation: BodyReservation,
): Promise<BodyResult> {
    return new Promise(resolve => {
        const body = statedBytes > 0 ? SizedBody.create(statedBytes) : CollectedBody.create();
        let reservedBytes = statedBytes;
        const giveUp = (result: BodyResult) => {
            request.removeAllListeners("data");
            body.clear();
            resolve(result);
        };
        request.on("data", (chunk: Buffer) => {
            const size = body.length + chunk.length;
            if (size > maximumBytes) {
                giveUp({ kind: "too-large" });
                return;
            }
            if (size > reservedBytes) {
                if (!reservation.tryAdd(size - reservedBytes)) {
                    giveUp({ kind: "no-room" });
                    return;
                }
                reservedBytes = size;
            }
            body.add(chunk);
        });
        request.on("end", () => resolve({ kind: "whole", body: body.toBuffer() }));
        request.on("close", () => {
            body.clear();
            resolve({ kind: "aborted" });
        });
    });
}
