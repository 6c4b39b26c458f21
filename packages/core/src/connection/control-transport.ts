/**
 * Transport for control messages between nodes.
 */
import type { ControlMessage } from "@radishrouter/protocol";

/** A control message received from another node. */
export interface ReceivedMessage {
    /** Name of the sending host. */
    readonly sender: string;
    /** Incarnation of the sending process. */
    readonly incarnation: bigint;
    readonly message: ControlMessage;
}

/** Sends messages to nodes by host name; a message may be lost, delayed or duplicated. */
export interface ControlTransport {
    /** Queues a message; messages to one host are sent together at the next tick. */
    send(host: string, message: ControlMessage["body"]): void;
    /** Calls the listener for each received message; returns a function that unsubscribes it. */
    subscribe(listener: (received: ReceivedMessage) => void): () => void;
}
