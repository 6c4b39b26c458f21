/**
 * Reads the complete body of a request.
 */
import type { Clock, Timer } from "@radishrouter/core";
import type { IncomingMessage } from "node:http";
import type { BodyReservation } from "../process/body-budget.js";
import type { ListenerLimits } from "../process/listener-limits.js";
import type { SenderProgress, StalledSenders } from "../process/stalled-senders.js";
import { CollectedBody } from "./collected-body.js";
import { CHUNK_FRAMING_BYTES } from "./early-body.js";
import type { EarlyBody } from "./early-body.js";
import { SizedBody } from "./sized-body.js";

/** Outcome of reading a body. */
export type BodyResult =
    | { readonly kind: "whole"; readonly body: Buffer | undefined; }
    | { readonly kind: "too-large"; }
    /** The process holds too many bodies now; a later try may fit. */
    | { readonly kind: "no-room"; }
    /** The body came too slowly, or stopped half-way. */
    | { readonly kind: "too-slow"; }
    | { readonly kind: "aborted"; };

/** How slowly a body may come. */
export interface BodyPace {
    readonly clock: Clock;
    readonly limits: Pick<ListenerLimits, "stallTimeoutMs" | "minimumBytesPerSecond">;
    readonly stalled: StalledSenders;
    /** Time from which the complete body would be of no use any more. */
    readonly deadlineAtMs: number;
}

/** Where the body of a request is taken from, and how it is read. */
export interface BodySource {
    readonly request: IncomingMessage;
    readonly maximumBytes: number;
    readonly reservation: BodyReservation;
    /** What has been collected already. */
    readonly early?: EarlyBody | undefined;
    /** Without it a body may come as slowly as it likes. */
    readonly pace?: BodyPace;
}

const SECOND_MS = 1_000;
const MINIMUM_CHECK_INTERVAL_MS = 10;
const PROGRESS_INTERVAL_MS = 100;

/** Reads a body of at most `maximumBytes`. A length that is stated is reserved before the body is read. */
export function readBody(
    request: IncomingMessage,
    maximumBytes: number,
    reservation: BodyReservation,
    further: Pick<BodySource, "early" | "pace"> = {},
): Promise<BodyResult> {
    const { headers } = request;
    const length = Number(headers["content-length"] ?? 0);
    if (length > maximumBytes) {
        return Promise.resolve({ kind: "too-large" });
    }
    if (length === 0 && headers["transfer-encoding"] === undefined) {
        return Promise.resolve({ kind: "whole", body: undefined });
    }
    if (further.early?.isTooLarge) {
        return Promise.resolve({ kind: "too-large" });
    }
    if (further.early?.hasRoom === false || !reservation.tryAdd(length)) {
        return Promise.resolve({ kind: "no-room" });
    }
    return new BodyReader({ request, maximumBytes, reservation, ...further }, length).result;
}

/** Reads one body. */
class BodyReader {
    readonly result: Promise<BodyResult>;
    private resolve: (result: BodyResult) => void = () => undefined;
    private readonly body: SizedBody | CollectedBody;
    private reservedBytes: number;
    /** Bytes that chunks took beside their content, which may be more. */
    private framingBytes: number;
    private readonly framingBytesPerChunk: number;
    private readonly startedAtMs: number;
    private progressAtMs: number;
    private progress: SenderProgress | undefined;
    private timer: Timer | undefined;
    private hasEnded = false;

    constructor(private readonly source: BodySource, statedBytes: number) {
        const { early, request, pace } = source;
        const isSized = statedBytes > 0;
        this.body = isSized ? SizedBody.create(statedBytes) : early?.body ?? CollectedBody.create();
        this.framingBytesPerChunk = isSized ? 0 : CHUNK_FRAMING_BYTES;
        this.framingBytes = early?.framingBytes ?? 0;
        this.reservedBytes = statedBytes + (early?.reservedBytes ?? 0);
        this.startedAtMs = pace?.clock.nowMs() ?? 0;
        this.progressAtMs = this.startedAtMs;
        this.result = new Promise(resolve => {
            this.resolve = resolve;
        });
        early?.handOver();
        if (this.isTooLarge(this.body.length)) {
            this.end({ kind: "too-large" });
        }
        else if (early?.hasEnded) {
            this.end({ kind: "whole", body: this.body.toBuffer() });
        }
        else {
            request.on("data", (chunk: Buffer) => this.add(chunk));
            request.on("end", () => this.end({ kind: "whole", body: this.body.toBuffer() }));
            request.on("close", () => this.end({ kind: "aborted" }));
            this.progress = pace?.stalled.watch(() => this.end({ kind: "no-room" }));
            this.scheduleCheck();
        }
    }

    private add(chunk: Buffer): void {
        if (this.hasEnded) {
            return;
        }
        const { reservation } = this.source;
        const size = this.body.length + chunk.length;
        this.framingBytes += this.framingBytesPerChunk;
        if (this.isTooLarge(size)) {
            this.end({ kind: "too-large" });
            return;
        }
        // Before the reservation, which may give up the sender that has made no progress for longest.
        this.recordProgress();
        if (size > this.reservedBytes) {
            if (!reservation.tryAdd(size - this.reservedBytes)) {
                this.end({ kind: "no-room" });
                return;
            }
            this.reservedBytes = size;
        }
        this.body.add(chunk);
    }

    /** Records progress, at most ten times a second: chunks may be tiny. */
    private recordProgress(): void {
        const nowMs = this.source.pace?.clock.nowMs() ?? 0;
        if (nowMs - this.progressAtMs >= PROGRESS_INTERVAL_MS) {
            this.progressAtMs = nowMs;
            this.progress?.record();
        }
    }

    private isTooLarge(contentBytes: number): boolean {
        const { maximumBytes, early } = this.source;
        return contentBytes > maximumBytes || early?.haveTooMuchFraming(this.framingBytes, contentBytes) === true;
    }

    private end(result: BodyResult): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        this.timer?.cancel();
        this.progress?.end();
        if (result.kind !== "whole") {
            this.source.request.removeAllListeners("data");
            this.body.clear();
            this.source.reservation.release();
        }
        this.resolve(result);
    }

    private scheduleCheck(): void {
        const { pace } = this.source;
        if (!pace) {
            return;
        }
        const nowMs = pace.clock.nowMs();
        const dueAtMs = Math.min(pace.deadlineAtMs, this.progressAtMs + pace.limits.stallTimeoutMs);
        this.timer = pace.clock.setTimer(
            Math.max(MINIMUM_CHECK_INTERVAL_MS, dueAtMs - nowMs),
            () => this.check(pace),
        );
    }

    private check({ clock, limits, deadlineAtMs }: BodyPace): void {
        const nowMs = clock.nowMs();
        const isStalled = nowMs - this.progressAtMs >= limits.stallTimeoutMs;
        const elapsedMs = nowMs - this.startedAtMs;
        const isSlow = elapsedMs >= limits.stallTimeoutMs &&
            this.body.length < limits.minimumBytesPerSecond * elapsedMs / SECOND_MS;
        if (isStalled || isSlow || nowMs >= deadlineAtMs) {
            this.end({ kind: "too-slow" });
            return;
        }
        this.scheduleCheck();
    }
}
