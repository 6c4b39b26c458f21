/**
 * How coordination parts reach other nodes.
 */
import type { ControlMessage } from "@radishrouter/protocol";

/** A message that came from another node. */
export interface ReceivedMessage {
    /** Name of the sending host. */
    readonly sender: string;
    /** Incarnation of the sending process. */
    readonly incarnation: bigint;
    readonly message: ControlMessage;
}

/** Sends messages to nodes by host name; a message may be lost, late or come twice. */
export interface ControlTransport {
    /** Queues a message; messages to one host are sent together at the next tick. */
    send(host: string, message: ControlMessage["body"]): void;
    /** Calls the listener for each message that arrives; returns a function that stops it. */
    subscribe(listener: (received: ReceivedMessage) => void): () => void;
}
