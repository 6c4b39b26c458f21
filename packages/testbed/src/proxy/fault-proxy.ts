/**
 * Fault-injecting TCP proxy: relays connections between addresses, and cuts, silences or delays them on demand.
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
     * `refuse`: new connections are closed and open ones cut; `silence`: open connections carry nothing more while new
     * ones work; `drop`: nothing passes and nothing is closed; `delay`: bytes come `delayMs` later; `reset`: cuts open
     * connections once; `cut`: cuts a connection after `afterBytes` bytes of requests or of answers; `repeat`: passes
     * each piece of an answer twice.
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
    /** Bytes that passed since the connection was opened. */
    readonly passed: { requests: number; answers: number; };
}

type Direction = "requests" | "answers";

/** Relays connections under the rules in force. */
export class FaultProxy {
    private rules: ParsedRule[] = [];
    private readonly connections = new Set<RelayedConnection>();

    private constructor() {}

    static create(): FaultProxy {
        return new FaultProxy();
    }

    /** Replaces all rules; `silence` and `reset` act on the connections that are open now. */
    setRules(rules: readonly ProxyRule[]): void {
        const parsed = rules.map(rule => proxyRuleSchema.parse(rule));
        this.rules = parsed.filter(rule => rule.fault !== "silence" && rule.fault !== "reset");
        for (const connection of this.connections) {
            for (const rule of parsed.filter(rule => matches(rule, connection.from, connection.route))) {
                this.applyToOpen(rule, connection);
            }
        }
    }

    /** Starts listening on one route. */
    async listen(route: ProxyRoute): Promise<void> {
        const server = createServer({ allowHalfOpen: true }, client => this.relay(client, route));
        await new Promise<void>(resolve => server.listen(route.port, route.address, resolve));
    }

    private applyToOpen(rule: ParsedRule, connection: RelayedConnection): void {
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

    private relay(client: Socket, route: ProxyRoute): void {
        const from = client.remoteAddress ?? "";
        if (this.faultOn(from, route)?.fault === "refuse") {
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
            passed: { requests: 0, answers: 0 },
        };
        this.connections.add(connection);
        this.pump(connection, client, server, "requests");
        this.pump(connection, server, client, "answers");
    }

    private pump(connection: RelayedConnection, source: Socket, target: Socket, direction: Direction): void {
        source.on(
            "data",
            (chunk: Buffer) => this.pass(connection, () => this.write(connection, target, chunk, direction)),
        );
        source.on("end", () => this.pass(connection, () => target.end()));
        source.on("error", () => this.pass(connection, () => target.destroy()));
        source.on("close", () => {
            this.pass(connection, () => target.destroy());
            if (connection.client.destroyed && connection.server.destroyed) {
                this.connections.delete(connection);
            }
        });
    }

    private write(connection: RelayedConnection, target: Socket, chunk: Buffer, direction: Direction): void {
        const rule = this.faultOn(connection.from, connection.route);
        const room = (rule?.afterBytes ?? 0) - connection.passed[direction];
        connection.passed[direction] += chunk.length;
        if (rule?.fault === "cut" && rule.direction === direction && chunk.length > room) {
            target.write(chunk.subarray(0, Math.max(0, room)), () => {
                connection.client.destroy();
                connection.server.destroy();
            });
            return;
        }
        const isRepeated = rule?.fault === "repeat" && direction === "answers";
        target.write(isRepeated ? Buffer.concat([chunk, chunk]) : chunk);
    }

    private pass(connection: RelayedConnection, action: () => void): void {
        const rule = this.faultOn(connection.from, connection.route);
        if (connection.silenced || rule?.fault === "drop") {
            return;
        }
        if (rule?.fault === "delay") {
            setTimeout(action, rule.delayMs);
            return;
        }
        action();
    }

    private faultOn(from: string, route: ProxyRoute): ParsedRule | undefined {
        return this.rules.find(rule => matches(rule, from, route));
    }
}

function matches(rule: ParsedRule, from: string, route: ProxyRoute): boolean {
    return (rule.from.length === 0 || rule.from.includes(from)) &&
        (rule.to.length === 0 || rule.to.includes(route.address)) &&
        (rule.ports.length === 0 || rule.ports.includes(route.port));
}

/** Starts a proxy for routes, and a listener on which tests set its rules. */
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
