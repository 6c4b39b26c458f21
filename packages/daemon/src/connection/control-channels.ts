/**
 * Control streams to and from other nodes. Each pair of nodes shares one long-lived stream for both directions; the
 * messages for a peer are sent in one batch per batch interval.
 */
import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { connectNodeAdapter, createConnectTransport } from "@connectrpc/connect-node";
import type { Clock, ControlTransport, ReceivedMessage, Timer } from "@radishrouter/core";
import { setRepeatingTimer } from "@radishrouter/core";
import { ControlBatchSchema, ControlMessageSchema, ControlService } from "@radishrouter/protocol";
import type { ControlBatch, ControlMessage } from "@radishrouter/protocol";
import { createServer } from "node:http2";
import type { Http2Server } from "node:http2";
import type { Socket } from "node:net";
import type { DeploymentProof } from "../process/deployment-proof.js";
import { ControlOutbox } from "./control-outbox.js";
import { ControlSession } from "./control-session.js";
import { ControlTraffic } from "./control-traffic.js";

/** Address of the control listener of a node. */
export interface ControlAddress {
    readonly address: string;
    readonly controlPort: number;
}

/** Dependencies and settings of the control channels. */
export interface ControlChannelsOptions {
    readonly clock: Clock;
    readonly localHostName: string;
    readonly localAddress: string;
    readonly incarnation: bigint;
    readonly proof: DeploymentProof;
    readonly findHost: (name: string) => ControlAddress | undefined;
}

/** Backoff before a stream to a host is opened again. */
interface ReconnectDelay {
    readonly notBeforeMs: number;
    readonly delayMs: number;
}

const INACTIVITY_CHECK_INTERVAL_MS = 1_000;
/** Time without messages in either direction after which a stream is closed. */
const IDLE_CLOSE_MS = 60_000;
/** Time without a batch from the peer, although messages were sent to it, after which a stream is closed. */
const UNANSWERED_CLOSE_MS = 8_000;
/** Time without a batch from the peer, although messages were sent to it, after which a stream it opened is not used. */
const MAXIMUM_INCOMING_UNANSWERED_MS = 5_000;
const CONNECT_TIMEOUT_MS = 2_000;
const FIRST_RECONNECT_DELAY_MS = 200;
const MAXIMUM_RECONNECT_DELAY_MS = 5_000;

/** Sends and receives control messages over connect-es streams. */
export class ControlChannels implements ControlTransport {
    /** Streams that this node opened, by host name. */
    private readonly outgoing = new Map<string, ControlOutbox>();
    /** Streams that peers opened, by host name; their response direction carries messages to the peer. */
    private readonly incoming = new Map<string, ControlOutbox>();
    private readonly reconnectDelays = new Map<string, ReconnectDelay>();
    private readonly listeners = new Set<(received: ReceivedMessage) => void>();
    private readonly closeController = new AbortController();
    private readonly inactivityTimer: Timer;
    /** Counters of batches, messages and bytes. */
    readonly traffic = ControlTraffic.create();

    private constructor(private readonly options: ControlChannelsOptions) {
        this.inactivityTimer = setRepeatingTimer(
            options.clock,
            INACTIVITY_CHECK_INTERVAL_MS,
            () => this.closeInactiveStreams(),
        );
    }

    static create(options: ControlChannelsOptions): ControlChannels {
        return new ControlChannels(options);
    }

    /** Queues a message for a host; the message is dropped while the host is unreachable. */
    send(host: string, body: ControlMessage["body"]): void {
        if (this.closeController.signal.aborted || host === this.options.localHostName) {
            return;
        }
        this.getOrOpenOutbox(host)?.push(create(ControlMessageSchema, { body }));
    }

    subscribe(listener: (received: ReceivedMessage) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** Creates the HTTP/2 server for streams that other nodes open. */
    createServer(): Http2Server {
        const routes = (router: ConnectRouter) => {
            router.service(ControlService, { exchange: requests => this.serveStream(requests) });
        };
        const server = createServer(connectNodeAdapter({ routes }));
        server.on("connection", (socket: Socket) => this.traffic.trackSocket(socket));
        server.on("sessionError", () => undefined);
        return server;
    }

    /** Closes all streams. */
    close(): void {
        this.closeController.abort();
        this.inactivityTimer.cancel();
        for (const outbox of [...this.outgoing.values(), ...this.incoming.values()]) {
            outbox.close();
        }
        this.outgoing.clear();
        this.incoming.clear();
    }

    /** Finds a usable stream to a host or opens one; undefined when the host is unknown or reconnecting has to wait. */
    private getOrOpenOutbox(name: string): ControlOutbox | undefined {
        const outgoing = this.outgoing.get(name);
        if (outgoing) {
            return outgoing;
        }
        const incoming = this.incoming.get(name);
        if (incoming && !incoming.isClosed && incoming.unansweredMs < MAXIMUM_INCOMING_UNANSWERED_MS) {
            return incoming;
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

    /** Runs an outgoing stream: exchanges batches with the peer until the stream fails or is closed. */
    private async runStream(name: string, host: ControlAddress, outbox: ControlOutbox): Promise<void> {
        const session = ControlSession.create({
            address: host.address,
            port: host.controlPort,
            localAddress: this.options.localAddress,
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
            onSocket: socket => this.traffic.trackSocket(socket),
        });
        const transport = createConnectTransport({
            baseUrl: session.authority,
            httpVersion: "2",
            sessionManager: session,
        });
        const client = createClient(ControlService, transport);
        outbox.onClose(() => session.abort());
        try {
            const signal = this.closeController.signal;
            for await (const batch of client.exchange(this.sendBatches(outbox), { signal })) {
                this.reconnectDelays.delete(name);
                outbox.received();
                this.deliver(batch);
            }
        }
        catch {
            // A lost stream is not an error: components that need the peer send again, which opens a new stream.
        }
        finally {
            outbox.close();
            this.delayReconnect(name);
            if (this.outgoing.get(name) === outbox) {
                this.outgoing.delete(name);
            }
        }
    }

    private delayReconnect(name: string): void {
        const lastMs = this.reconnectDelays.get(name)?.delayMs ?? 0;
        const delayMs = Math.min(Math.max(lastMs * 2, FIRST_RECONNECT_DELAY_MS), MAXIMUM_RECONNECT_DELAY_MS);
        const notBeforeMs = this.options.clock.nowMs() + delayMs * (0.5 + Math.random() / 2);
        this.reconnectDelays.set(name, { notBeforeMs, delayMs });
    }

    /** Yields the batches to send on a stream; the first one proves that this node belongs to the deployment. */
    private async *sendBatches(outbox: ControlOutbox): AsyncGenerator<ControlBatch> {
        const { localHostName: sender, incarnation, proof } = this.options;
        let isFirst = true;
        for await (const messages of outbox.batches()) {
            this.traffic.countSentBatch(messages.length);
            yield create(ControlBatchSchema, {
                sender,
                incarnation,
                proof: isFirst ? proof.proofOf(sender) : undefined,
                messages,
            });
            isFirst = false;
        }
    }

    /** Runs an incoming stream; its response direction carries the messages of this node to the sender. */
    private async *serveStream(requests: AsyncIterable<ControlBatch>): AsyncGenerator<ControlBatch> {
        const outbox = ControlOutbox.create(this.options.clock);
        let receiveError: unknown;
        this.receiveBatches(requests, outbox).catch(error => (receiveError = error));
        try {
            yield* this.sendBatches(outbox);
        }
        finally {
            outbox.close();
        }
        if (receiveError) {
            throw receiveError;
        }
    }

    /** Delivers the batches of an incoming stream, all of which must come from the sender that the first one proves. */
    private async receiveBatches(requests: AsyncIterable<ControlBatch>, outbox: ControlOutbox): Promise<void> {
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

    /**
     * Returns the sender of the first batch of a stream.
     *
     * @throws ConnectError when the batch does not prove that the sender belongs to this deployment.
     */
    private authenticate(batch: ControlBatch): string {
        if (!this.options.proof.verify(batch.sender, batch.proof)) {
            throw new ConnectError("the sender is not a node of this deployment", Code.PermissionDenied);
        }
        return batch.sender;
    }

    private deliver(batch: ControlBatch): void {
        this.traffic.countReceivedBatch(batch.messages.length);
        for (const message of batch.messages) {
            const received = { sender: batch.sender, incarnation: batch.incarnation, message };
            for (const listener of this.listeners) {
                listener(received);
            }
        }
    }

    /** Closes streams that are idle, and those whose peer sent no batch although messages were sent to it. */
    private closeInactiveStreams(): void {
        for (const streams of [this.outgoing, this.incoming]) {
            for (const [name, outbox] of streams) {
                if (outbox.idleMs > IDLE_CLOSE_MS || outbox.unansweredMs > UNANSWERED_CLOSE_MS) {
                    streams.delete(name);
                    outbox.close();
                }
            }
        }
    }
}
