/**
 * A client that reads its answers at a constant rate, on one connection that it keeps for several requests.
 */
import { connect } from "node:net";

const MILLISECONDS = 1_000;

/** One connection of a client. */
export class SlowReader {
    received = [];
    receivedBytes = 0;
    end = undefined;

    /** Without a rate, the client reads as fast as it can. */
    constructor({ address, port, bytesPerS, record }) {
        this.address = address;
        this.record = record;
        this.bytesPerS = bytesPerS;
        this.onChange = () => undefined;
        this.socket = connect(port, address);
        this.socket.on("data", part => this.receive(part));
        this.socket.on("error", error => this.finish(String(error)));
        this.socket.on("close", () => this.finish("closed by the node"));
    }

    receive(part) {
        this.firstAtMs ??= performance.now();
        this.received.push(part);
        this.receivedBytes += part.length;
        this.onChange();
        if (this.bytesPerS !== undefined) {
            this.socket.pause();
            const dueAtMs = this.firstAtMs + this.receivedBytes / this.bytesPerS * MILLISECONDS;
            setTimeout(() => this.socket.resume(), Math.max(0, dueAtMs - performance.now()));
        }
    }

    finish(end) {
        this.end ??= end;
        this.onChange();
    }

    /** Sends one request; resolves with what was read of its answer when that is whole, broke off, or took too long. */
    request({ id, method, host, path, key, body, deadlineMs }) {
        const sentAtMs = performance.now();
        this.record?.write(`sent: ${id}, ${method} ${path}, to ${this.address}`);
        this.received = [];
        this.receivedBytes = 0;
        this.firstAtMs = undefined;
        return new Promise(resolve => {
            const settle = end => {
                clearTimeout(timer);
                this.onChange = () => undefined;
                const tookMs = Math.round(performance.now() - sentAtMs);
                const { status, length, bodyBytes } = this.readHead();
                this.record?.write(
                    `answered: ${id}, ${status ?? "no answer"}, ${bodyBytes} of ${length ?? "?"} bytes, ${end}`,
                );
                resolve({ id, status, length, bodyBytes, end, tookMs });
            };
            const timer = setTimeout(() => settle("deadline"), deadlineMs);
            this.onChange = () => {
                const { length, bodyBytes } = this.readHead();
                if (bodyBytes === length) {
                    settle("whole");
                }
                else if (this.end !== undefined) {
                    settle(this.end);
                }
            };
            this.socket.write(
                `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nRadishrouter-Attempt-Id: ${id}\r\n` +
                    `Radishrouter-Deadline-Ms: ${deadlineMs}\r\nApi-Key: ${key}\r\n` +
                    `Content-Length: ${body.length}\r\n\r\n${body}`,
            );
            this.onChange();
        });
    }

    readHead() {
        const [first] = this.received;
        const headEnd = first === undefined ? -1 : first.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return { status: undefined, length: undefined, bodyBytes: 0 };
        }
        const head = first.subarray(0, headEnd).toString("latin1");
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? NaN);
        return { status: Number(head.split(" ")[1]), length, bodyBytes: this.receivedBytes - headEnd - 4 };
    }

    close() {
        this.socket.destroy();
    }
}
