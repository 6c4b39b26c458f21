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
