/**
 * The node side of a backend server for tests, with a clock and turns of the event loop that the test moves.
 */
import { BacklogMonitor, ManualClock } from "@radishrouter/core";
import { createServer, get } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { ServerClient } from "../connection/server-client.js";
import { DownstreamPressure, LocalInstance, ServerGate } from "../index.js";
import type { HeaderNames } from "../index.js";

const POLL_MS = 5;
const headerNames: HeaderNames = {
    attemptId: "x-attempt",
    deadline: "x-deadline",
    key: "x-key",
    organisation: "x-organisation",
    callerService: "x-caller",
    expectedInstance: "x-expected",
    instance: "x-instance",
    notRun: "x-not-run",
    signature: "x-signature",
};

/** Waits until a condition holds. */
export async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}

/** A client of a backend server that answers when the test says so; the gate has one slot. */
export class ServerRig {
    readonly clock = ManualClock.create(1_000);
    readonly gate = ServerGate.create(this.clock);
    readonly onwardPressure = DownstreamPressure.create(this.clock);
    readonly backlog: BacklogMonitor;
    readonly client: ServerClient;
    /** Names of the requests that the server has seen. */
    readonly seen: string[] = [];
    private readonly open: ServerResponse[] = [];
    private turnEnds: (() => void)[] = [];

    private constructor(private readonly server: Server) {
        this.backlog = BacklogMonitor.create(this.clock, {
            wallClock: () => this.clock.nowMs(),
            afterPollPhase: callback => void this.turnEnds.push(callback),
        });
        this.gate.setSlots(1);
        this.client = ServerClient.create({
            clock: this.clock,
            backlog: this.backlog,
            gate: this.gate,
            headerNames,
            hostAddress: "127.0.0.1",
            port: this.port,
            ownService: "catalogue",
            ownInstance: LocalInstance.create(),
            onwardPressure: this.onwardPressure,
        });
    }

    static async create(): Promise<ServerRig> {
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const rig = new ServerRig(server);
        server.on("request", (request, response) => {
            const id = String(request.headers[headerNames.attemptId]);
            rig.seen.push(id);
            response.setHeader(headerNames.attemptId, id);
            response.setHeader(headerNames.signature, "s");
            rig.open.push(response);
        });
        return rig;
    }

    /** Answers the last request that was seen. */
    answerLast(): void {
        this.open.pop()?.end("answer");
    }

    /** Ends a turn of the event loop, as the code under test sees it. */
    async endTurn(): Promise<void> {
        this.turnEnds.splice(0).forEach(callback => callback());
        await new Promise(resolve => setImmediate(resolve));
    }

    /** Waits for a request on a connection of the test's own: what was sent before it would be seen by then. */
    async untilSomethingElseIsSeen(): Promise<void> {
        const headers = { [headerNames.attemptId]: "something-else" };
        get({ port: this.port, headers, agent: false }).on("error", () => undefined);
        await until(() => this.seen.includes("something-else"));
        this.open.pop();
    }

    async close(): Promise<void> {
        await this.client.close();
        this.server.closeAllConnections();
        this.server.close();
    }

    private get port(): number {
        return (this.server.address() as AddressInfo).port;
    }
}
