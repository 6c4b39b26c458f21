/**
 * Stand-in for a client: one request on a connection of its own, as the platform's clients send it.
 */
import { request as sendRequest } from "node:http";

/** Sends one request; resolves with its status, headers and body, or with the error that ended it. */
export function send({ host, port, method = "POST", path, hostName, id, deadlineMs = 5_000, headers = {}, body = "" }) {
    return new Promise(resolve => {
        const outgoing = sendRequest({
            host,
            port,
            method,
            path,
            agent: false,
            headers: {
                "Host": hostName,
                "Radishrouter-Attempt-Id": id,
                "Radishrouter-Deadline-Ms": String(deadlineMs),
                ...(body === "" ? {} : { "Content-Length": Buffer.byteLength(body) }),
                ...headers,
            },
        });
        const timer = setTimeout(() => outgoing.destroy(new Error("the client's deadline has passed")), deadlineMs);
        const end = result => {
            clearTimeout(timer);
            resolve({ id, ...result });
        };
        outgoing.on("error", error => end({ error: error.message }));
        outgoing.on("response", response => {
            let text = "";
            response.setEncoding("latin1");
            response.on("data", chunk => text += chunk);
            response.on("aborted", () => end({ error: "the answer broke off" }));
            response.on("end", () => end({ status: response.statusCode, headers: response.headers, body: text }));
        });
        outgoing.end(body);
    });
}
