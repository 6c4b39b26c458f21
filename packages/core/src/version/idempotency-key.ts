/**
 * Idempotency keys, and which process may authorise the request with a key.
 */
import { createHash, randomBytes } from "node:crypto";
import type { Configuration } from "./configuration.js";

/** The one process, or the one seat, that may authorise a key. */
export type IdempotencyKeyOwner =
    | { readonly kind: "seat"; readonly failureDomain: string; readonly seat: number; }
    /** A key that a node issued; only the process that issued it may authorise it. */
    | { readonly kind: "process"; readonly host: string; readonly incarnation: bigint; readonly issuedAtMs: number; };

const keyPattern = /^[\x21-\x7e]{1,200}$/;
const issuedKeyPattern = /^rr1\.([a-z0-9-]{1,63})\.(\d{1,20})\.(\d{1,15})\.[A-Za-z0-9_-]{16}$/;
const KEY_RANDOM_BYTES = 12;

/** Whether a text is a valid idempotency key: 1 to 200 visible ASCII characters. */
export function isIdempotencyKey(text: string): boolean {
    return keyPattern.test(text);
}

/** Issues a key that only the named process may authorise; `issuedAtMs` is a time of the clock of that process. */
export function issueIdempotencyKey(process: { host: string; incarnation: bigint; issuedAtMs: number; }): string {
    const random = randomBytes(KEY_RANDOM_BYTES).toString("base64url");
    return `rr1.${process.host}.${process.incarnation}.${Math.floor(process.issuedAtMs)}.${random}`;
}

/**
 * Finds the owner of a key; undefined when the configuration has no seats.
 *
 * A key that a node issued contains the host and incarnation of its process, and is owned by that process. A key that
 * starts with the name of a failure domain and a colon is owned by a seat of that failure domain, so that it can be
 * used there during a partition. Any other key is owned by a seat of the whole fleet. Seats are those that the
 * configuration publishes, whether or not a live host occupies them.
 */
export function findIdempotencyKeyOwner(
    key: string,
    failureDomains: Configuration["failureDomains"],
): IdempotencyKeyOwner | undefined {
    const issued = issuedKeyPattern.exec(key);
    if (issued) {
        const [, host, incarnation, issuedAtMs] = issued;
        return {
            kind: "process",
            host: host!,
            incarnation: BigInt(incarnation!),
            issuedAtMs: Number(issuedAtMs),
        };
    }
    const prefix = key.slice(0, Math.max(0, key.indexOf(":")));
    const names = Object.hasOwn(failureDomains, prefix) ? [prefix] : Object.keys(failureDomains);
    return chooseSeat(key, names, failureDomains);
}

/**
 * Rendezvous hashing in two steps, over failure domains weighted by their seats and then over the seats of one, so that
 * not every seat of the fleet has to be hashed.
 */
function chooseSeat(
    key: string,
    names: readonly string[],
    failureDomains: Configuration["failureDomains"],
): IdempotencyKeyOwner | undefined {
    const failureDomain = itemWithHighestScore(
        names,
        name => uniformScore(`${name}/${key}`) ** (1 / failureDomains[name]!.seats),
    );
    if (failureDomain === undefined) {
        return undefined;
    }
    const seats = Array.from({ length: failureDomains[failureDomain]!.seats }, (_, seat) => seat);
    const seat = itemWithHighestScore(seats, number => uniformScore(`${failureDomain}/${number}/${key}`));
    return seat === undefined ? undefined : { kind: "seat", failureDomain, seat };
}

/** Uniform number above 0 and below 1. */
function uniformScore(text: string): number {
    return (createHash("sha256").update(text).digest().readUInt32BE(0) + 1) / (0xffff_ffff + 2);
}

function itemWithHighestScore<Item>(items: readonly Item[], scoreOf: (item: Item) => number): Item | undefined {
    let best: Item | undefined;
    let bestScore = -1;
    for (const item of items) {
        const itemScore = scoreOf(item);
        if (itemScore > bestScore) {
            best = item;
            bestScore = itemScore;
        }
    }
    return best;
}
