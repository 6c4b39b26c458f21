/**
 * Control streams to and from other nodes: one long-lived stream for each pair of nodes, which carries both directions,
 * and everything for a peer in one batch a tick.
 */
import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { connectNodeAdapter, createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import type { Clock, ControlTransport, ReceivedMessage, Timer } from "@radishrouter/core";
import { setRepeatingTimer } from "@radishrouter/core";
import { ControlBatchSchema, ControlMessageSchema, ControlService } from "@radishrouter/protocol";
import type { ControlBatch, ControlMessage } from "@radishrouter/protocol";
import { createServer } from "node:http2";
import type { ClientSessionOptions, Http2Server } from "node:http2";
import { connect } from "node:net";
import type { Socket } from "node:net";
import type { DeploymentProof } from "../process/deployment-proof.js";
import { ControlOutbox } from "./control-outbox.js";
import { ControlTraffic } from "./control-traffic.js";

/** Where the control listener of a node is. */
export interface ControlAddress {
    readonly address: string;
    readonly controlPort: number;
}

/** Parts and settings of the channels. */
export interface ControlChannelsOptions {
    readonly clock: Clock;
    readonly ownName: string;
    readonly ownAddress: string;
    readonly incarnation: bigint;
    readonly proof: DeploymentProof;
    readonly findHost: (name: string) => ControlAddress | undefined;
}

/** Delay before a stream to a host is opened again. */
interface ReconnectDelay {
    readonly notBeforeMs: number;
    readonly delayMs: number;
}

const CHECK_INTERVAL_MS = 1_000;
const IDLE_CLOSE_MS = 60_000;
const SILENT_CLOSE_MS = 8_000;
const INCOMING_FRESH_MS = 5_000;
const CONNECT_TIMEOUT_MS = 2_000;
const FIRST_RECONNECT_DELAY_MS = 200;
const MAXIMUM_RECONNECT_DELAY_MS = 5_000;

/** Sends and receives control messages over connect-es streams. */
export class ControlChannels implements ControlTransport {
    /** Streams that this node opened, by host name. */
    private readonly outgoing = new Map<string, ControlOutbox>();
    /** Streams that peers opened, by host name; their answering direction carries messages to the peer. */
    private readonly incoming = new Map<string, ControlOutbox>();
    private readonly reconnectDelays = new Map<string, ReconnectDelay>();
    private readonly listeners = new Set<(received: ReceivedMessage) => void>();
    private readonly controller = new AbortController();
    private readonly checkTimer: Timer;
    /** Counts batches, messages and bytes. */
    readonly traffic = ControlTraffic.create();

    private constructor(private readonly options: ControlChannelsOptions) {
        this.checkTimer = setRepeatingTimer(options.clock, CHECK_INTERVAL_MS, () => this.closeUnused());
    }

    static create(options: ControlChannelsOptions): ControlChannels {
        return new ControlChannels(options);
    }

    /** Queues a message for a host; it is dropped while the host cannot be reached. */
    send(host: string, body: ControlMessage["body"]): void {
        if (this.controller.signal.aborted || host === this.options.ownName) {
            return;
        }
        this.outboxTo(host)?.push(create(ControlMessageSchema, { body }));
    }

    subscribe(listener: (received: ReceivedMessage) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** Creates the server for streams of other nodes. */
    createServer(): Http2Server {
        const routes = (router: ConnectRouter) => {
            router.service(ControlService, { exchange: requests => this.serveStream(requests) });
        };
        const server = createServer(connectNodeAdapter({ routes }));
        server.on("connection", (socket: Socket) => this.traffic.add(socket));
        server.on("sessionError", () => undefined);
        return server;
    }

    /** Ends all streams. */
    close(): void {
        this.controller.abort();
        this.checkTimer.cancel();
        for (const outbox of [...this.outgoing.values(), ...this.incoming.values()]) {
            outbox.close();
        }
        this.outgoing.clear();
        this.incoming.clear();
    }

    private outboxTo(name: string): ControlOutbox | undefined {
        const own = this.outgoing.get(name);
        if (own) {
            return own;
        }
        const theirs = this.incoming.get(name);
        if (theirs && !theirs.isClosed && theirs.silentMs < INCOMING_FRESH_MS) {
            return theirs;
        }
        const host = this.options.findHost(name);
        const delay = this.reconnectDelays.get(name);
        if (!host || (delay && this.options.clock.nowMs() < delay.notBeforeMs)) {
            return undefined;
        }
        const outbox = ControlOutbox.create(this.options.clock);
        this.outgoing.set(name, outbox);
        void this.runStream(name, host, outbox);
        return outbox;
    }

    /** Task of one peer: exchanges batches until the stream fails or is closed. */
    private async runStream(name: string, host: ControlAddress, outbox: ControlOutbox): Promise<void> {
        const baseUrl = `http://${host.address}:${host.controlPort}`;
        const sessionManager = new Http2SessionManager(baseUrl, {}, this.createSessionOptions(host));
        const transport = createConnectTransport({ baseUrl, httpVersion: "2", sessionManager });
        const client = createClient(ControlService, transport);
        outbox.whenClosed(() => sessionManager.abort());
        try {
            const signal = this.controller.signal;
            for await (const batch of client.exchange(this.createBatches(outbox), { signal })) {
                this.reconnectDelays.delete(name);
                outbox.received();
                this.deliver(batch);
            }
        }
        catch {
            // A lost stream is not an error: whoever needs the peer sends again, which opens a new one.
        }
        finally {
            outbox.close();
            this.delayReconnect(name);
            if (this.outgoing.get(name) === outbox) {
                this.outgoing.delete(name);
            }
        }
    }

    private createSessionOptions(host: ControlAddress): ClientSessionOptions {
        return {
            createConnection: () => {
                const localAddress = this.options.ownAddress;
                const socket = connect({ host: host.address, port: host.controlPort, localAddress, noDelay: true });
                const timer = this.options.clock.setTimer(
                    CONNECT_TIMEOUT_MS,
                    () => socket.destroy(new Error("timed out")),
                );
                socket.once("connect", () => timer.cancel());
                this.traffic.add(socket);
                return socket;
            },
        };
    }

    private delayReconnect(name: string): void {
        const lastMs = this.reconnectDelays.get(name)?.delayMs ?? 0;
        const delayMs = Math.min(Math.max(lastMs * 2, FIRST_RECONNECT_DELAY_MS), MAXIMUM_RECONNECT_DELAY_MS);
        const notBeforeMs = this.options.clock.nowMs() + delayMs * (0.5 + Math.random() / 2);
        this.reconnectDelays.set(name, { notBeforeMs, delayMs });
    }

    private async *createBatches(outbox: ControlOutbox): AsyncGenerator<ControlBatch> {
        const { ownName, incarnation, proof } = this.options;
        let isFirst = true;
        for await (const messages of outbox.batches()) {
            this.traffic.countSent(messages.length);
            yield create(ControlBatchSchema, {
                sender: ownName,
                incarnation,
                proof: isFirst ? proof.proofOf(ownName) : undefined,
                messages,
            });
            isFirst = false;
        }
    }

    /** Task of one incoming stream: its answering direction carries what this node has for the sender. */
    private async *serveStream(requests: AsyncIterable<ControlBatch>): AsyncGenerator<ControlBatch> {
        const outbox = ControlOutbox.create(this.options.clock);
        let failure: unknown;
        this.consume(requests, outbox).catch(error => (failure = error));
        try {
            yield* this.createBatches(outbox);
        }
        finally {
            outbox.close();
        }
        if (failure) {
            throw failure;
        }
    }

    private async consume(requests: AsyncIterable<ControlBatch>, outbox: ControlOutbox): Promise<void> {
        let sender: string | undefined;
        try {
            for await (const batch of requests) {
                if (outbox.isClosed) {
                    return;
                }
                sender ??= this.authenticate(batch);
                if (batch.sender !== sender) {
                    throw new ConnectError("one stream carries batches of one sender", Code.PermissionDenied);
                }
                this.incoming.set(sender, outbox);
                outbox.received();
                this.deliver(batch);
            }
        }
        finally {
            outbox.close();
            if (sender !== undefined && this.incoming.get(sender) === outbox) {
                this.incoming.delete(sender);
            }
        }
    }

    /** Name of the sender that a first batch proves. */
    private authenticate(batch: ControlBatch): string {
        if (!this.options.proof.verify(batch.sender, batch.proof)) {
            throw new ConnectError("the sender is not a node of this deployment", Code.PermissionDenied);
        }
        return batch.sender;
    }

    private deliver(batch: ControlBatch): void {
        this.traffic.countReceived(batch.messages.length);
        for (const message of batch.messages) {
            const received = { sender: batch.sender, incarnation: batch.incarnation, message };
            for (const listener of this.listeners) {
                listener(received);
            }
        }
    }

    /** Closes streams that nobody uses, and those that carry nothing back although the peer should have answered. */
    private closeUnused(): void {
        for (const streams of [this.outgoing, this.incoming]) {
            for (const [name, outbox] of streams) {
                if (outbox.idleMs > IDLE_CLOSE_MS || outbox.silentMs > SILENT_CLOSE_MS) {
                    streams.delete(name);
                    outbox.close();
                }
            }
        }
    }
}
