/**
 * Sends raw bytes over TCP, for requests that an HTTP client would refuse to make.
 */
import { connect } from "node:net";

/** Response received over a raw connection. */
export interface RawResponse {
    /** Status code; 0 when the bytes received are no HTTP/1.1 response. */
    readonly status: number;
    readonly body: string;
    /** All bytes received, also when they are no HTTP response. */
    readonly text: string;
}

/** Sends bytes and reads until the peer closes or `isComplete` returns true for the bytes received so far. */
export function sendRaw(
    address: string,
    port: number,
    text: string,
    isComplete: (received: string) => boolean = () => false,
): Promise<RawResponse> {
    return new Promise((resolve, reject) => {
        const socket = connect(port, address, () => socket.write(Buffer.from(text, "latin1")));
        let received = "";
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            if (isComplete(received)) {
                socket.destroy();
            }
        });
        socket.once("error", error => received === "" ? reject(error) : undefined);
        socket.once("close", () => resolve(parseRawResponse(received)));
    });
}

function parseRawResponse(text: string): RawResponse {
    const end = text.indexOf("\r\n\r\n");
    return { status: Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0), body: text.slice(end + 4), text };
}
