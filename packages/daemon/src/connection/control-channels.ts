/**
 * Control streams to and from other nodes: one long-lived stream for each peer, everything for it in one batch a tick.
 */
import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { connectNodeAdapter, createConnectTransport } from "@connectrpc/connect-node";
import type { Clock, ControlTransport, Host, ReceivedMessage, Timer } from "@radishrouter/core";
import { ControlBatchSchema, ControlMessageSchema, ControlService } from "@radishrouter/protocol";
import type { ControlBatch, ControlMessage } from "@radishrouter/protocol";
import { createServer } from "node:http2";
import type { Http2Server } from "node:http2";
import type { DeploymentProof } from "../process/deployment-proof.js";

/** Parts and settings of the channels. */
export interface ControlChannelsOptions {
    readonly clock: Clock;
    readonly ownName: string;
    readonly ownAddress: string;
    readonly incarnation: bigint;
    readonly proof: DeploymentProof;
    readonly findHost: (name: string) => Host | undefined;
}

const TICK_MS = 50;
const IDLE_CLOSE_MS = 60_000;
const CONNECT_TIMEOUT_MS = 2_000;

/** Messages that wait for the next tick of one stream. */
class Outbox {
    private messages: ControlMessage[] = [];
    private wake: (() => void) | undefined;
    private closed = false;
    lastUsedMs: number;

    private constructor(private readonly clock: Clock) {
        this.lastUsedMs = clock.nowMs();
    }

    static create(clock: Clock): Outbox {
        return new Outbox(clock);
    }

    push(message: ControlMessage): void {
        this.messages.push(message);
        this.lastUsedMs = this.clock.nowMs();
        this.wake?.();
    }

    close(): void {
        this.closed = true;
        this.wake?.();
    }

    /** Yields what has gathered, at most once a tick, until closed. */
    async *batches(): AsyncGenerator<ControlMessage[]> {
        while (!this.closed) {
            if (this.messages.length === 0) {
                await new Promise<void>(resolve => (this.wake = resolve));
            }
            await new Promise<void>(resolve => this.clock.setTimer(TICK_MS, resolve));
            const batch = this.messages;
            this.messages = [];
            if (batch.length > 0) {
                yield batch;
            }
        }
    }
}

/** Sends and receives control messages over connect-es streams. */
export class ControlChannels implements ControlTransport {
    private readonly outboxes = new Map<string, Outbox>();
    private readonly listeners = new Set<(received: ReceivedMessage) => void>();
    private readonly controller = new AbortController();
    private readonly idleTimer: Timer;
    /** Bytes of batches sent and received, without HTTP/2 framing. */
    readonly traffic = { sentBatches: 0, receivedBatches: 0, sentMessages: 0, receivedMessages: 0 };

    private constructor(private readonly options: ControlChannelsOptions) {
        this.idleTimer = options.clock.setTimer(IDLE_CLOSE_MS, () => this.closeIdle());
    }

    static create(options: ControlChannelsOptions): ControlChannels {
        return new ControlChannels(options);
    }

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
            router.service(ControlService, { exchange: requests => this.receiveAll(requests) });
        };
        return createServer(connectNodeAdapter({ routes }));
    }

    /** Ends all streams. */
    close(): void {
        this.controller.abort();
        this.idleTimer.cancel();
        for (const outbox of this.outboxes.values()) {
            outbox.close();
        }
        this.outboxes.clear();
    }

    private outboxTo(name: string): Outbox | undefined {
        const existing = this.outboxes.get(name);
        const host = this.options.findHost(name);
        if (existing || !host) {
            return existing;
        }
        const outbox = Outbox.create(this.options.clock);
        this.outboxes.set(name, outbox);
        void this.runStream(host, outbox);
        return outbox;
    }

    /** Task of one peer: sends its batches until the stream fails or is closed. */
    private async runStream(host: Host, outbox: Outbox): Promise<void> {
        const transport = createConnectTransport({
            baseUrl: `http://${host.address}:${host.controlPort}`,
            httpVersion: "2",
            nodeOptions: { localAddress: this.options.ownAddress, timeout: CONNECT_TIMEOUT_MS } as object,
        });
        const client = createClient(ControlService, transport);
        try {
            const answers = client.exchange(this.createBatches(outbox), { signal: this.controller.signal });
            for await (const batch of answers) {
                this.deliver(batch);
            }
        }
        catch {
            // A lost stream is not an error: whoever needs the peer sends again, which opens a new one.
        }
        finally {
            outbox.close();
            if (this.outboxes.get(host.name) === outbox) {
                this.outboxes.delete(host.name);
            }
        }
    }

    private async *createBatches(outbox: Outbox): AsyncGenerator<ControlBatch> {
        const { ownName, incarnation, proof } = this.options;
        for await (const messages of outbox.batches()) {
            this.traffic.sentBatches++;
            this.traffic.sentMessages += messages.length;
            yield create(ControlBatchSchema, { sender: ownName, incarnation, proof: proof.proofOf(ownName), messages });
        }
    }

    /** Task of one incoming stream; answers go out on this node's own stream to the sender. */

    private async *receiveAll(requests: AsyncIterable<ControlBatch>): AsyncGenerator<ControlBatch> {
        for await (const batch of requests) {
            if (!this.options.proof.verify(batch.sender, batch.proof)) {
                throw new ConnectError("the sender is not a node of this deployment", Code.PermissionDenied);
            }
            this.deliver(batch);
        }
    }

    private deliver(batch: ControlBatch): void {
        this.traffic.receivedBatches++;
        this.traffic.receivedMessages += batch.messages.length;
        for (const message of batch.messages) {
            const received = { sender: batch.sender, incarnation: batch.incarnation, message };
            for (const listener of this.listeners) {
                listener(received);
            }
        }
    }

    private closeIdle(): void {
        const oldestMs = this.options.clock.nowMs() - IDLE_CLOSE_MS;
        for (const [name, outbox] of this.outboxes) {
            if (outbox.lastUsedMs < oldestMs) {
                this.outboxes.delete(name);
                outbox.close();
            }
        }
    }
}
