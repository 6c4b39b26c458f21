/**
 * Detects access keys in text that is about to be forwarded, in plain or encoded form.
 */

/** Layers of percent-encoding that are decoded. */
const MAXIMUM_DECODINGS = 3;
const accessKeyPattern = /rr_[a-z0-9]{8,32}_[a-z0-9_-]{16,128}/i;
const base64TokenPattern = /[a-z0-9+/_-]{40,}/gi;
/** Offsets at which decoding starts: characters that stand before a Base64 text shift its groups of four. */
const base64Offsets = [0, 1, 2, 3];
const encodedBytePattern = /%[0-9a-f]{2}/gi;

/** Decodes well-formed percent-encoding and leaves all other text unchanged. */
function decodePercent(text: string): string {
    return text.replace(encodedBytePattern, encoded => String.fromCharCode(parseInt(encoded.slice(1), 16)));
}

/**
 * Whether a text contains the given key or anything in the format of a key, including percent-encoded or in Base64. A
 * text that is still percent-encoded after the maximum number of decodings counts as containing a key.
 */
export function containsAccessKey(text: string, key?: string): boolean {
    let candidate = text;
    for (let decodings = 0; decodings <= MAXIMUM_DECODINGS; decodings++) {
        if (
            containsDecodedKey(candidate, key) ||
            decodeBase64Tokens(candidate).some(decoded => containsDecodedKey(decoded, key))
        ) {
            return true;
        }
        const decoded = decodePercent(candidate);
        if (decoded === candidate) {
            return false;
        }
        candidate = decoded;
    }
    return true;
}

function containsDecodedKey(text: string, key: string | undefined): boolean {
    return accessKeyPattern.test(text) || (key !== undefined && text.toLowerCase().includes(key.toLowerCase()));
}

function decodeBase64Tokens(text: string): string[] {
    return (text.match(base64TokenPattern) ?? []).flatMap(token =>
        base64Offsets.map(start => Buffer.from(token.slice(start), "base64").toString("latin1"))
    );
}
