/**
 * Sends bytes as they are, for requests that no HTTP client would make.
 */
import { connect } from "node:net";

/** An answer as it came from a raw connection. */
export interface RawAnswer {
    readonly status: number;
    readonly body: string;
    /** Everything that came, also when it was no answer. */
    readonly text: string;
}

/** Sends bytes and reads until the other side closes, or until `isEnough` is content with what came. */
export function sendRaw(
    address: string,
    port: number,
    text: string,
    isEnough: (received: string) => boolean = () => false,
): Promise<RawAnswer> {
    return new Promise((resolve, reject) => {
        const socket = connect(port, address, () => socket.write(Buffer.from(text, "latin1")));
        let received = "";
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            if (isEnough(received)) {
                socket.destroy();
            }
        });
        socket.once("error", error => received === "" ? reject(error) : undefined);
        socket.once("close", () => resolve(parseAnswer(received)));
    });
}

function parseAnswer(text: string): RawAnswer {
    const end = text.indexOf("\r\n\r\n");
    return { status: Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0), body: text.slice(end + 4), text };
}
