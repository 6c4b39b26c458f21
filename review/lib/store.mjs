/**
 * Stand-in for the platform's metadata store: range reads, watches with history, and an era header.
 */
import { createServer } from "node:http";

const PAGE_SIZE = 500;

/** Store in memory; the cases write to it as the operator and the targets do. */
export class Store {
    constructor() {
        this.items = new Map();
        this.history = [];
        this.revision = 1;
        this.era = 1;
        this.isAway = false;
        this.waiting = new Set();
    }

    async listen(host, port) {
        this.host = host;
        this.port = port;
        this.server = createServer((request, response) => this.answer(request, response));
        await new Promise(resolve => this.server.listen(port, host, resolve));
    }

    /** Serves what another store holds, in its place. */
    takeOver(other) {
        this.items = new Map(other.items);
        this.history = [...other.history];
        this.revision = other.revision;
        this.era = other.era;
    }

    put(key, value) {
        const text = typeof value === "string" ? value : JSON.stringify(value);
        const before = this.items.get(key);
        const Rev = ++this.revision;
        const item = {
            Key: key,
            Value: Buffer.from(text).toString("base64"),
            Rev,
            CreatedRev: before?.CreatedRev ?? Rev,
            Lease: 0,
        };
        this.items.set(key, item);
        this.record(item);
    }

    remove(key) {
        if (this.items.delete(key)) {
            this.record({ Key: key, Rev: ++this.revision, Removed: true });
        }
    }

    record(event) {
        this.history.push(event);
        for (const watch of [...this.waiting]) {
            if (event.Key.startsWith(watch.prefix)) {
                this.endWatch(watch);
            }
        }
    }

    /** Goes away: open calls and new ones get no response. */
    leave() {
        this.isAway = true;
        this.waiting.forEach(watch => clearTimeout(watch.timer));
        this.waiting.clear();
        this.server.closeAllConnections();
    }

    close() {
        this.leave();
        this.server.close();
    }

    answer(request, response) {
        if (this.isAway) {
            request.socket.destroy();
            return;
        }
        const url = new URL(request.url, "http://store");
        const prefix = url.searchParams.get("PathPrefix") ?? "";
        response.setHeader("Content-Type", "application/json");
        response.setHeader("Store-Era", String(this.era));
        switch (url.pathname) {
            case "/kv-range":
                this.range(prefix, url.searchParams.get("after") ?? "", response);
                return;
            case "/kv-watch":
                this.watch(
                    prefix,
                    Number(url.searchParams.get("after")),
                    Number(url.searchParams.get("WaitMs")),
                    response,
                );
                return;
            default:
                response.writeHead(404).end();
        }
    }

    range(prefix, after, response) {
        const found = [...this.items.values()]
            .filter(item => item.Key.startsWith(prefix) && item.Key > after)
            .sort((left, right) => left.Key < right.Key ? -1 : 1);
        const items = found.slice(0, PAGE_SIZE);
        response.end(JSON.stringify({ items, HasMore: found.length > items.length, StoreRevision: this.revision }));
    }

    watch(prefix, after, waitMs, response) {
        if (after > this.revision) {
            response.writeHead(410).end();
            return;
        }
        const watch = { prefix, after, response };
        if (this.eventsFor(watch).length > 0 || waitMs <= 0) {
            this.endWatch(watch);
            return;
        }
        watch.timer = setTimeout(() => this.endWatch(watch), waitMs);
        this.waiting.add(watch);
        response.once("close", () => this.waiting.delete(watch));
    }

    eventsFor({ prefix, after }) {
        return this.history.filter(event => event.Rev > after && event.Key.startsWith(prefix));
    }

    endWatch(watch) {
        clearTimeout(watch.timer);
        this.waiting.delete(watch);
        watch.response.end(JSON.stringify({ events: this.eventsFor(watch), StoreRevision: this.revision }));
    }
}
