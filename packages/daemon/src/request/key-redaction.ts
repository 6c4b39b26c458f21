/**
 * Finds keys in text that is about to be sent on, in whatever spelling they come.
 */

const MAXIMUM_DECODINGS = 3;
const keyShape = /rr_[a-z0-9]{8,32}_[a-z0-9_-]{16,128}/i;
const base64Token = /[a-z0-9+/_-]{40,}/gi;
/** Characters before a Base64 text that can belong to its first group of four. */
const alignments = [0, 1, 2, 3];
const encodedByte = /%[0-9a-f]{2}/gi;

/** Decodes percent-encoding wherever it is well formed, and leaves the rest. */
function decodePercent(text: string): string {
    return text.replace(encodedByte, encoded => String.fromCharCode(parseInt(encoded.slice(1), 16)));
}

/** Whether a text holds a key or anything of a key's shape, also when it is percent-encoded or in Base64. */
export function containsAccessKey(text: string, key?: string): boolean {
    let spelling = text;
    for (let decodings = 0; decodings <= MAXIMUM_DECODINGS; decodings++) {
        if (holds(spelling, key) || decodeTokens(spelling).some(decoded => holds(decoded, key))) {
            return true;
        }
        const decoded = decodePercent(spelling);
        if (decoded === spelling) {
            return false;
        }
        spelling = decoded;
    }
    return true;
}

function holds(text: string, key: string | undefined): boolean {
    return keyShape.test(text) || (key !== undefined && text.toLowerCase().includes(key.toLowerCase()));
}

function decodeTokens(text: string): string[] {
    return (text.match(base64Token) ?? []).flatMap(token =>
        alignments.map(start => Buffer.from(token.slice(start), "base64").toString("latin1"))
    );
}
