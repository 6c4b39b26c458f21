/**
 * Checks a notice of another node about requests that end backend servers.
 */
import type { ServerEnd } from "@radishrouter/core";
import type { QuarantineNotice } from "../process/quarantine-exchange.js";

/** Thrown for a notice with fields that are missing or of another type. */
export class QuarantineNoticeError extends Error {
    private constructor(message: string) {
        super(message);
        this.name = "QuarantineNoticeError";
    }

    static create(field: string): QuarantineNoticeError {
        return new QuarantineNoticeError(`the field ${field} of a quarantine notice is missing or of another type`);
    }
}

/**
 * Returns the notice if its fields have the types that they should.
 *
 * @throws QuarantineNoticeError if they do not.
 */
export function decodeQuarantineNotice(notice: QuarantineNotice): QuarantineNotice {
    require(typeof notice === "object" && notice !== undefined, "notice");
    require(typeof notice.service === "string", "service");
    require(Array.isArray(notice.ends) && notice.ends.every(isServerEnd), "ends");
    return notice;
}

function require(isValid: boolean, field: string): void {
    if (!isValid) {
        throw QuarantineNoticeError.create(field);
    }
}

function isServerEnd(end: Partial<ServerEnd> | undefined): boolean {
    return typeof end === "object" && typeof end.id === "string" && isTextList(end.suspects) &&
        isTextList(end.cleared) &&
        (end.tried === undefined || typeof end.tried === "string") && isAge(end.ageMs) && isAge(end.idleMs);
}

function isAge(value: number | undefined): boolean {
    return Number.isFinite(value) && value! >= 0;
}

function isTextList(value: readonly string[] | undefined): boolean {
    return Array.isArray(value) && value.every(text => typeof text === "string");
}
