/**
 * Request targets in canonical form, so that a node and a backend server cannot interpret the same target differently.
 */

/** A parsed request target, or why it is not valid. */
export type RequestTarget =
    | {
        readonly kind: "valid";
        readonly serviceName: string;
        /** Path below the service; unreserved characters are never percent-encoded in it. */
        readonly path: string;
        /** Query with its question mark; empty when there is none. */
        readonly query: string;
    }
    | { readonly kind: "invalid"; readonly reason: string; };

const MAXIMUM_LENGTH = 8_192;
const targetPattern = /^(\/[^?#]*)(\?[^#]*)?$/;
const encodedUnreserved = /%(?:2[de]|3[0-9]|4[1-9a-f]|5[0-9af]|6[1-9a-f]|7[0-9ae])/gi;
const encodedSeparator = /%(?:2f|5c|00)/i;
const badEncoding = /%(?![0-9a-f]{2})/i;
const unsafeCharacter = /[^\x21-\x7e]|\\/;

/** Parses a request target such as `/items/search?q=1`. */
export function parseRequestTarget(target: string): RequestTarget {
    const match = target.length > MAXIMUM_LENGTH ? undefined : targetPattern.exec(target);
    const rawPath = match?.[1];
    if (rawPath === undefined) {
        return invalid("use a path and a query of at most 8192 characters, without a host or a fragment");
    }
    if (unsafeCharacter.test(target)) {
        return invalid("percent-encode backslashes and everything that is not printable ASCII");
    }
    if (badEncoding.test(rawPath)) {
        return invalid("write two hexadecimal digits after each %");
    }
    if (encodedSeparator.test(rawPath)) {
        return invalid("encoded slashes, backslashes and NUL are not allowed in the path");
    }
    const [, serviceName, ...segments] = decodeUnreserved(rawPath).split("/");
    if (serviceName === undefined || serviceName === "") {
        return invalid("start the path with the name of a service");
    }
    if ([serviceName, ...segments].some(isDotSegment) || segments.slice(0, -1).includes("")) {
        return invalid("dot segments and empty segments are not allowed in the path");
    }
    return { kind: "valid", serviceName, path: `/${segments.join("/")}`, query: match?.[2] ?? "" };
}

function invalid(reason: string): RequestTarget {
    return { kind: "invalid", reason };
}

function decodeUnreserved(path: string): string {
    return path.replace(encodedUnreserved, encoded => String.fromCharCode(parseInt(encoded.slice(1), 16)));
}

/** Also `..;a` counts as one, since some servers remove path parameters before they resolve dot segments. */
function isDotSegment(segment: string): boolean {
    const name = segment.split(";", 1)[0];
    return name === "." || name === "..";
}
