/**
 * Names of the headers between callers, nodes and backend servers.
 */

/** Names of the headers that callers and backend servers use, in lower case. Each deployment configures its own. */
export interface HeaderNames {
    /** Identifies one attempt of a caller; backend servers copy it into their responses. */
    readonly attemptId: string;
    /** Milliseconds for which the caller waits for the response. */
    readonly deadline: string;
    /** Key of the caller's organisation. */
    readonly key: string;
    /** Organisation of the caller, sent to backend servers. */
    readonly organisation: string;
    /** Service on whose host the request originated, sent to backend servers. */
    readonly callerService: string;
    /** Instance of the backend server that is to run the request. */
    readonly expectedInstance: string;
    /** Instance of the backend server that responded. */
    readonly instance: string;
    /** States in a response that the request was not run. */
    readonly notRun: string;
    /** Marks a response as coming from a backend server. */
    readonly signature: string;
}
