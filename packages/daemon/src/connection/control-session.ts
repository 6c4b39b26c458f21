/**
 * The HTTP/2 connection under one outgoing control stream.
 */
import { connect as connectSession } from "node:http2";
import type {
    ClientHttp2Session,
    ClientHttp2Stream,
    ClientSessionRequestOptions,
    OutgoingHttpHeaders,
} from "node:http2";
import { connect as connectSocket } from "node:net";
import type { Socket } from "node:net";

/** Addresses of a session, its connect timeout, and the callback that gets its socket. */
export interface ControlSessionOptions {
    readonly address: string;
    readonly port: number;
    readonly localAddress: string;
    readonly connectTimeoutMs: number;
    readonly onSocket: (socket: Socket) => void;
}

/**
 * Opens a connection for a stream. Its error listener stays until the connection is closed, because lost bytes can make
 * a session fail long after its stream was closed.
 */
export class ControlSession {
    readonly authority: string;
    private session: ClientHttp2Session | undefined;
    private aborted = false;

    private constructor(private readonly options: ControlSessionOptions) {
        this.authority = `http://${options.address}:${options.port}`;
    }

    static create(options: ControlSessionOptions): ControlSession {
        return new ControlSession(options);
    }

    /** Opens the stream; connect-es calls this once. */
    request(
        method: string,
        path: string,
        headers: OutgoingHttpHeaders,
        options: Omit<ClientSessionRequestOptions, "signal">,
    ): Promise<ClientHttp2Stream> {
        this.session = connectSession(this.authority, { createConnection: () => this.openSocket() });
        this.session.on("error", () => undefined);
        if (this.aborted) {
            this.session.destroy();
        }
        return Promise.resolve(this.session.request({ ...headers, ":method": method, ":path": path }, options));
    }

    /** Required by the interface of connect-es; the outbox of the stream detects that the peer stopped responding. */
    notifyResponseByteRead(): void {}

    /** Closes the connection at once. */
    abort(): void {
        this.aborted = true;
        this.session?.destroy();
    }

    private openSocket(): Socket {
        const { address, port, localAddress, connectTimeoutMs, onSocket } = this.options;
        const socket = connectSocket({ host: address, port, localAddress, noDelay: true });
        const timer = setTimeout(
            () => socket.destroy(new Error("connecting to the control listener timed out")),
            connectTimeoutMs,
        );
        socket.once("connect", () => clearTimeout(timer));
        socket.once("close", () => clearTimeout(timer));
        onSocket(socket);
        return socket;
    }
}
