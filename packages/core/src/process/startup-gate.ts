/**
 * Delays documents from the platform at process start until peers had the chance to send newer versions: the platform
 * may be stale, and the previous process on this host may have had a newer version.
 */
import type { DocumentKind } from "@radishrouter/protocol";
import type { ControlTransport } from "../connection/control-transport.js";
import type { Clock, Timer } from "./clock.js";
import { setRepeatingTimer } from "./clock.js";

/** Dependencies of a startup gate. */
export interface StartupGateOptions {
    readonly clock: Clock;
    readonly transport: ControlTransport;
    readonly kind: DocumentKind;
    /** Host names of the peers to ask; undefined until the host list is known. */
    readonly peersToAsk: () => string[] | undefined;
    /** Sends the versions of this node to a peer and requests those of the peer. */
    readonly exchangeDigests: (host: string) => void;
    /** Whether a version is already active. */
    readonly hasVersion: () => boolean;
}

const REQUEST_INTERVAL_MS = 250;
/** Longest time for which a document is held while peers have not answered. */
const GRACE_PERIOD_MS = 3_000;

/** Passes documents from the platform on once all peers have answered, or a grace period has passed. */
export class StartupGate {
    private readonly answered = new Set<string>();
    private held: (() => void) | undefined;
    private heldSinceMs = 0;
    private timer: Timer | undefined;
    private unsubscribe: (() => void) | undefined;
    private isOpen = false;

    private constructor(private readonly options: StartupGateOptions) {}

    static create(options: StartupGateOptions): StartupGate {
        return new StartupGate(options);
    }

    /** Starts requesting digests from peers. */
    start(): void {
        const { clock, transport, kind } = this.options;
        this.unsubscribe = transport.subscribe(({ sender, message }) => {
            if (message.body.case === "documentDigest" && message.body.value.kind === kind) {
                this.answered.add(sender);
            }
        });
        this.timer = setRepeatingTimer(clock, REQUEST_INTERVAL_MS, () => this.tick());
        this.tick();
    }

    /** Stops requesting digests. */
    stop(): void {
        this.timer?.cancel();
        this.unsubscribe?.();
    }

    /** Runs an action now or when the gate opens; a later action replaces one that is held. */
    offer(action: () => void): void {
        if (this.isOpen) {
            action();
            return;
        }
        if (!this.held) {
            this.heldSinceMs = this.options.clock.nowMs();
        }
        this.held = action;
    }

    private tick(): void {
        if (this.options.hasVersion() || this.mayOpen()) {
            this.open();
            return;
        }
        for (const host of this.options.peersToAsk() ?? []) {
            if (!this.answered.has(host)) {
                this.options.exchangeDigests(host);
            }
        }
    }

    private mayOpen(): boolean {
        if (!this.held) {
            return false;
        }
        const haveAllAnswered = this.options.peersToAsk()?.every(host => this.answered.has(host)) ?? false;
        return haveAllAnswered || this.options.clock.nowMs() - this.heldSinceMs >= GRACE_PERIOD_MS;
    }

    private open(): void {
        this.isOpen = true;
        this.stop();
        this.held?.();
        this.held = undefined;
    }
}
