/**
 * TCP proxy that stands for a link between machines: passes bytes on until it is cut, and then none, without a reset.
 */
import { connect, createServer } from "node:net";

/** One direction of links, from an address to another one. */
export class LinkProxy {
    constructor(from, to) {
        this.from = from;
        this.to = to;
        this.isCut = false;
        this.pairs = new Set();
    }

    async listen() {
        this.server = createServer(socket => this.accept(socket));
        await new Promise(resolve => this.server.listen(this.from.port, this.from.host, resolve));
    }

    /** From now on no byte passes in either direction; new connections get no reply. */
    cut() {
        this.isCut = true;
        for (const { near, far } of this.pairs) {
            near.pause();
            far?.pause();
        }
    }

    accept(near) {
        near.setNoDelay(true);
        near.on("error", () => near.destroy());
        if (this.isCut) {
            near.pause();
            this.pairs.add({ near });
            return;
        }
        const far = connect({ host: this.to.host, port: this.to.port, noDelay: true });
        const pair = { near, far };
        this.pairs.add(pair);
        this.join(pair, near, far);
        this.join(pair, far, near);
    }

    join(pair, source, sink) {
        source.on("data", chunk => {
            if (!this.isCut) {
                sink.write(chunk);
            }
        });
        source.on("error", () => source.destroy());
        source.on("close", () => {
            this.pairs.delete(pair);
            if (!this.isCut) {
                sink.destroy();
            }
        });
    }

    close() {
        this.pairs.forEach(({ near, far }) => {
            near.destroy();
            far?.destroy();
        });
        this.server.close();
    }
}
