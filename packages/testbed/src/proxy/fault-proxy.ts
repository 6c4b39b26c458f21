/**
 * Fault-injecting TCP proxy: relays connections between addresses, and closes, silences or delays them on demand.
 */
import { createServer as createHttpServer } from "node:http";
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { z } from "zod";

/** One address on which the proxy listens, and where it relays to. */
export interface ProxyRoute {
    readonly address: string;
    readonly port: number;
    readonly toAddress: string;
    readonly toPort: number;
}

/** A fault on connections from some source addresses to some proxy addresses. */
export const proxyRuleSchema = z.object({
    /** Source addresses; all when empty. */
    from: z.array(z.string()).default([]),
    /** Proxy addresses; all when empty. */
    to: z.array(z.string()).default([]),
    /** Proxy ports; all when empty. */
    ports: z.array(z.number()).default([]),
    /**
     * `refuse`: closes new and existing connections; `silence`: existing connections relay nothing more while new
     * ones work; `drop`: relays no bytes and closes nothing; `delay`: relays `delayMs` later; `reset`: closes existing
     * connections once; `cut`: closes a connection after `afterBytes` bytes of requests or of responses; `repeat`: relays
     * each chunk of a response twice.
     */
    fault: z.enum(["refuse", "silence", "drop", "delay", "reset", "cut", "repeat"]),
    delayMs: z.number().default(0),
    afterBytes: z.number().int().min(0).default(0),
    /** Direction whose bytes count for `cut`. */
    direction: z.enum(["requests", "answers"]).default("answers"),
});

/** A fault on connections; see {@link proxyRuleSchema}. */
export type ProxyRule = z.input<typeof proxyRuleSchema>;

type ParsedRule = z.infer<typeof proxyRuleSchema>;

interface RelayedConnection {
    readonly from: string;
    readonly route: ProxyRoute;
    readonly client: Socket;
    readonly server: Socket;
    silenced: boolean;
    /** Bytes received for relaying in each direction since the connection was opened. */
    readonly relayedBytes: { requests: number; answers: number; };
}

type Direction = "requests" | "answers";

/** Relays connections and applies the active fault rules to them. */
export class FaultProxy {
    private rules: ParsedRule[] = [];
    private readonly connections = new Set<RelayedConnection>();

    private constructor() {}

    static create(): FaultProxy {
        return new FaultProxy();
    }

    /** Replaces all rules; `silence` and `reset` apply only to connections that exist at that time. */
    setRules(rules: readonly ProxyRule[]): void {
        const parsed = rules.map(rule => proxyRuleSchema.parse(rule));
        this.rules = parsed.filter(rule => rule.fault !== "silence" && rule.fault !== "reset");
        for (const connection of this.connections) {
            for (const rule of parsed.filter(rule => matches(rule, connection.from, connection.route))) {
                this.applyToExistingConnection(rule, connection);
            }
        }
    }

    /** Starts listening on one route. */
    async listen(route: ProxyRoute): Promise<void> {
        const server = createServer({ allowHalfOpen: true }, client => this.acceptConnection(client, route));
        await new Promise<void>(resolve => server.listen(route.port, route.address, resolve));
    }

    private applyToExistingConnection(rule: ParsedRule, connection: RelayedConnection): void {
        switch (rule.fault) {
            case "silence":
                connection.silenced = true;
                return;
            case "refuse":
            case "reset":
                connection.client.destroy();
                connection.server.destroy();
                return;
            case "drop":
            case "delay":
            case "cut":
            case "repeat":
                return;
        }
    }

    private acceptConnection(client: Socket, route: ProxyRoute): void {
        const from = client.remoteAddress ?? "";
        if (this.findRule(from, route)?.fault === "refuse") {
            client.destroy();
            return;
        }
        const server = connect({ host: route.toAddress, port: route.toPort, localAddress: from, allowHalfOpen: true });
        const connection: RelayedConnection = {
            from,
            route,
            client,
            server,
            silenced: false,
            relayedBytes: { requests: 0, answers: 0 },
        };
        this.connections.add(connection);
        this.relayDirection(connection, client, server, "requests");
        this.relayDirection(connection, server, client, "answers");
    }

    private relayDirection(connection: RelayedConnection, source: Socket, target: Socket, direction: Direction): void {
        source.on(
            "data",
            (chunk: Buffer) => this.relayEvent(connection, () => this.relayChunk(connection, target, chunk, direction)),
        );
        source.on("end", () => this.relayEvent(connection, () => target.end()));
        source.on("error", () => this.relayEvent(connection, () => target.destroy()));
        source.on("close", () => {
            this.relayEvent(connection, () => target.destroy());
            if (connection.client.destroyed && connection.server.destroyed) {
                this.connections.delete(connection);
            }
        });
    }

    private relayChunk(connection: RelayedConnection, target: Socket, chunk: Buffer, direction: Direction): void {
        const rule = this.findRule(connection.from, connection.route);
        const remainingBytes = (rule?.afterBytes ?? 0) - connection.relayedBytes[direction];
        connection.relayedBytes[direction] += chunk.length;
        if (rule?.fault === "cut" && rule.direction === direction && chunk.length > remainingBytes) {
            target.write(chunk.subarray(0, Math.max(0, remainingBytes)), () => {
                connection.client.destroy();
                connection.server.destroy();
            });
            return;
        }
        const isRepeated = rule?.fault === "repeat" && direction === "answers";
        target.write(isRepeated ? Buffer.concat([chunk, chunk]) : chunk);
    }

    private relayEvent(connection: RelayedConnection, action: () => void): void {
        const rule = this.findRule(connection.from, connection.route);
        if (connection.silenced || rule?.fault === "drop") {
            return;
        }
        if (rule?.fault === "delay") {
            setTimeout(action, rule.delayMs);
            return;
        }
        action();
    }

    private findRule(from: string, route: ProxyRoute): ParsedRule | undefined {
        return this.rules.find(rule => matches(rule, from, route));
    }
}

function matches(rule: ParsedRule, from: string, route: ProxyRoute): boolean {
    return (rule.from.length === 0 || rule.from.includes(from)) &&
        (rule.to.length === 0 || rule.to.includes(route.address)) &&
        (rule.ports.length === 0 || rule.ports.includes(route.port));
}

/** Starts a proxy for routes, and an HTTP listener through which tests set its rules. */
export async function startFaultProxy(options: {
    controlAddress: string;
    controlPort: number;
    routes: readonly ProxyRoute[];
}): Promise<void> {
    const proxy = FaultProxy.create();
    for (const route of options.routes) {
        await proxy.listen(route);
    }
    const control = createHttpServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", chunk => chunks.push(chunk as Buffer));
        request.on("end", () => {
            const rules = z.array(proxyRuleSchema).parse(JSON.parse(Buffer.concat(chunks).toString()));
            proxy.setRules(rules);
            response.end("{}");
        });
    });
    await new Promise<void>(resolve => control.listen(options.controlPort, options.controlAddress, resolve));
}
