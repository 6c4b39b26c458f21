/**
 * Stand-in for an application target, on a plain socket so that a case decides which bytes it sends.
 */
import { createServer } from "node:net";

const HEARTBEAT_MS = 1_500;
/** Time from a write of a target until the store shows it. */
const DISCOVERY_LAG_MS = 800;

const REASONS = { 200: "OK", 400: "Bad Request", 421: "Misdirected Request", 503: "Service Unavailable" };

/** Bytes of one response. */
export function formatResponse(status, headers, body = "") {
    const lines = [`HTTP/1.1 ${status} ${REASONS[status] ?? "Status"}`];
    for (const [name, value] of Object.entries(headers)) {
        lines.push(`${name}: ${value}`);
    }
    lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
    return `${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Target that runs each request for some time and answers it. */
export class Target {
    /**
     * `options.onRun(run)` is called when a request begins to run, `options.onRejected(request)` when one is rejected.
     * `options.crashesOn(request)` says whether a request crashes the target, `options.onCrash(target)` has it crash.
     */
    constructor(store, options) {
        this.store = store;
        this.options = {
            workMs: 40,
            crashesOn: () => false,
            onRun: () => undefined,
            onRejected: () => undefined,
            ...options,
        };
        this.starts = 0;
        this.sockets = new Set();
        this.answers = 0;
    }

    /** Starts the target as a new incarnation; it registers itself after the usual lag. */
    async start(lagMs = DISCOVERY_LAG_MS) {
        const { name, host, port } = this.options;
        this.id = `i-${name}-${++this.starts}`;
        this.bornMs = Date.now();
        this.sequence = 0;
        this.server = createServer(socket => this.accept(socket));
        await new Promise(resolve => this.server.listen(port, host, resolve));
        const { id } = this;
        const beat = () => {
            this.sequence++;
            this.store.put(`servers/${id}`, this.entry("ready"));
        };
        this.beatTimer = setTimeout(() => {
            beat();
            this.beatTimer = setInterval(beat, HEARTBEAT_MS);
        }, lagMs);
    }

    /** Registers itself in another store from now on. */
    useStore(store) {
        this.store = store;
    }

    entry(state) {
        const { service, host, port, zone, slots = 100 } = this.options;
        return {
            Service: service,
            Address: `${host}:${port}`,
            Zone: zone,
            ConfigVersion: "v1",
            Slots: slots,
            State: state,
            ColdLeft: "0ms",
            Sequence: this.sequence,
            born: this.bornMs,
        };
    }

    /** Ends at once, as by a crash. Its entry goes after three heartbeats of silence. */
    async crash() {
        clearTimeout(this.beatTimer);
        clearInterval(this.beatTimer);
        const { id } = this;
        this.expiry = setTimeout(() => this.store.remove(`servers/${id}`), 3 * HEARTBEAT_MS + DISCOVERY_LAG_MS);
        const closed = new Promise(resolve => this.server.close(resolve));
        this.sockets.forEach(socket => socket.destroy());
        await closed;
    }

    /** Reports that it leaves; it goes on serving until {@link leave}. */
    drain() {
        clearTimeout(this.beatTimer);
        clearInterval(this.beatTimer);
        this.sequence++;
        this.store.put(`servers/${this.id}`, this.entry("draining"));
    }

    /** Ends as planned; its entry is removed at once. */
    async leave() {
        await this.crash();
        clearTimeout(this.expiry);
        this.store.remove(`servers/${this.id}`);
    }

    async close() {
        await this.crash();
        clearTimeout(this.expiry);
    }

    accept(socket) {
        this.sockets.add(socket);
        socket.setNoDelay(true);
        const connection = { socket, chunks: [], input: Buffer.alloc(0), neededBytes: 0, isBusy: false };
        let receivedBytes = 0;
        socket.on("data", chunk => {
            connection.chunks.push(chunk);
            receivedBytes += chunk.length;
            if (connection.input.length + receivedBytes >= connection.neededBytes) {
                connection.input = Buffer.concat([connection.input, ...connection.chunks.splice(0)]);
                receivedBytes = 0;
                this.read(connection);
            }
        });
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
    }

    read(connection) {
        const headEnd = connection.input.indexOf("\r\n\r\n");
        if (connection.isBusy || headEnd < 0) {
            return;
        }
        const [requestLine, ...fields] = connection.input.subarray(0, headEnd).toString("latin1").split("\r\n");
        const headers = {};
        for (const field of fields) {
            const separator = field.indexOf(":");
            headers[field.slice(0, separator).toLowerCase()] = field.slice(separator + 1).trim();
        }
        const bodyStart = headEnd + 4;
        const bodyEnd = bodyStart + Number(headers["content-length"] ?? 0);
        if (connection.input.length < bodyEnd) {
            connection.neededBytes = bodyEnd;
            return;
        }
        connection.neededBytes = 0;
        const [method, path] = requestLine.split(" ");
        const body = connection.input.subarray(bodyStart, bodyEnd).toString("latin1");
        connection.input = connection.input.subarray(bodyEnd);
        connection.isBusy = true;
        this.serve(connection, { id: headers["radishrouter-attempt-id"], method, path, headers, body });
    }

    serve(connection, request) {
        const expected = request.headers["radishrouter-expect-instance"];
        const base = { "Radishrouter-Attempt-Id": request.id ?? "" };
        if (expected !== undefined && expected !== this.id) {
            const headers = { ...base, "Radishrouter-Instance-Id": this.id, "Radishrouter-Not-Executed": "1" };
            this.options.onRejected({ ...request, instance: this.id, expected, service: this.options.service });
            this.respond(connection, 421, headers, "");
            return;
        }
        const { name, service } = this.options;
        this.options.onRun({ ...request, target: name, instance: this.id, service });
        if (this.options.crashesOn(request)) {
            this.crashLater(this.id);
            return;
        }
        const headers = { ...base, "Radishrouter-Response-Stamp": `stamp.${this.id}.${++this.answers}` };
        setTimeout(() => this.respond(connection, 200, headers, `answer to ${request.id}`), this.options.workMs);
    }

    /** Crashes soon, unless it has crashed before. */
    crashLater(id) {
        const { crashAfterMs, onCrash } = this.options;
        setTimeout(() => {
            if (this.id === id && this.crashedId !== id) {
                this.crashedId = id;
                onCrash(this);
            }
        }, crashAfterMs);
    }

    respond(connection, status, headers, body) {
        if (!connection.socket.destroyed) {
            connection.socket.write(formatResponse(status, headers, body));
        }
        connection.isBusy = false;
        this.read(connection);
    }
}
