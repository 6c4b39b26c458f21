/**
 * Chooses what a message tells of all ends that a node knows, where it does not hold everything.
 */
import type { ServerEnd } from "@radishrouter/core";

/** Fingerprints in one message, about 12 KB. */
export const MAXIMUM_FINGERPRINTS_IN_NOTICE = 512;

interface Entry {
    readonly end: ServerEnd;
    readonly kind: "suspect" | "cleared";
    readonly fingerprint: string;
}

/**
 * Parts of the ends that fit into one message, in the order of the ends: first of all what ran alone or was in flight at
 * several ends, then other suspects, then what was cleared.
 */
export function selectForNotice(ends: readonly ServerEnd[]): readonly ServerEnd[] {
    const entries = ends.flatMap(end => [
        ...end.suspects.map((fingerprint): Entry => ({ end, kind: "suspect", fingerprint })),
        ...end.cleared.map((fingerprint): Entry => ({ end, kind: "cleared", fingerprint })),
    ]);
    if (entries.length <= MAXIMUM_FINGERPRINTS_IN_NOTICE) {
        return ends;
    }
    const repeated = findRepeated(ends);
    const ranked = [...entries].sort((left, right) => rankOf(left, repeated) - rankOf(right, repeated));
    const first = new Set(ranked.slice(0, MAXIMUM_FINGERPRINTS_IN_NOTICE));
    const chosen = entries.filter(entry => first.has(entry));
    return ends.map(end => keepOnly(end, chosen.filter(entry => entry.end === end)))
        .filter(({ suspects, cleared }) => suspects.length + cleared.length > 0);
}

/** Fingerprints that are suspects of more than one of the ends. */
function findRepeated(ends: readonly ServerEnd[]): ReadonlySet<string> {
    const seen = new Set<string>();
    const repeated = new Set<string>();
    for (const fingerprint of ends.flatMap(({ suspects }) => suspects)) {
        (seen.has(fingerprint) ? repeated : seen).add(fingerprint);
    }
    return repeated;
}

function rankOf({ end, kind, fingerprint }: Entry, repeated: ReadonlySet<string>): number {
    switch (kind) {
        case "suspect":
            return fingerprint === end.tried || repeated.has(fingerprint) ? 0 : 1;
        case "cleared":
            return 2;
    }
}

function keepOnly(end: ServerEnd, entries: readonly Entry[]): ServerEnd {
    const namesOf = (kind: Entry["kind"]) =>
        entries.filter(entry => entry.kind === kind).map(({ fingerprint }) => fingerprint);
    return { ...end, suspects: namesOf("suspect"), cleared: namesOf("cleared") };
}
