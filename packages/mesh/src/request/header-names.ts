/**
 * Names of the headers between callers, nodes and backend servers.
 */

/** Headers of the caller interface; all names in lower case. A deployment hands them in. */
export interface HeaderNames {
    /** Names one attempt of a caller; backend servers repeat it in their answers. */
    readonly attemptId: string;
    /** Milliseconds for which the caller waits. */
    readonly deadline: string;
    /** Key of the caller's organisation. */
    readonly key: string;
    /** Organisation, as told to backend servers. */
    readonly organisation: string;
    /** Service at whose host the request began, as told to backend servers. */
    readonly callerService: string;
    /** Backend server that is to run the request. */
    readonly expectedInstance: string;
    /** Backend server that answered. */
    readonly instance: string;
    /** Says in an answer that the request was not run. */
    readonly notRun: string;
    /** Mark of a backend server on its answers. */
    readonly signature: string;
}

const CONNECTION_HEADERS = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "http2-settings",
]);

/** Fields of a message that may be passed on: none that concern one connection only, and none that `isDropped` names. */
export function passOn(fields: readonly string[], isDropped: (lowerCaseName: string) => boolean): string[] {
    const named = connectionOptions(fields);
    const kept: string[] = [];
    for (let index = 0; index < fields.length; index += 2) {
        const name = fields[index]!.toLowerCase();
        if (!CONNECTION_HEADERS.has(name) && !named?.has(name) && !isDropped(name)) {
            kept.push(fields[index]!, fields[index + 1]!);
        }
    }
    return kept;
}

/** Headers that the `Connection` header names. */
function connectionOptions(fields: readonly string[]): Set<string> | undefined {
    let named: Set<string> | undefined;
    for (let index = 0; index < fields.length; index += 2) {
        const value = fields[index + 1]!;
        if (fields[index]!.toLowerCase() === "connection" && value.toLowerCase() !== "keep-alive") {
            named ??= new Set();
            value.split(",").forEach(option => named!.add(option.trim().toLowerCase()));
        }
    }
    return named;
}
