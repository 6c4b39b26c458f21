/**
 * Holds back what the platform says to a process that has just started, until peers had the chance to say more: the
 * platform may be stale, and the process that ran here before may have had a newer version.
 */
import type { DocumentKind } from "@radishrouter/protocol";
import type { ControlTransport } from "../connection/control-transport.js";
import type { Clock, Timer } from "./clock.js";
import { setRepeatingTimer } from "./clock.js";

/** Parts of a gate. */
export interface StartupGateOptions {
    readonly clock: Clock;
    readonly transport: ControlTransport;
    readonly kind: DocumentKind;
    /** Peers to ask, by host name; undefined until hosts are known. */
    readonly peersToAsk: () => string[] | undefined;
    /** Sends the versions of this node to a peer and asks for those of the peer. */
    readonly exchangeDigests: (host: string) => void;
    /** Whether a version is in force already. */
    readonly hasVersion: () => boolean;
}

const ASK_INTERVAL_MS = 250;
const GRACE_MS = 3_000;

/** Lets answers of the platform through once all peers that were asked have answered, or a grace time has passed. */
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

    /** Starts asking peers. */
    start(): void {
        const { clock, transport, kind } = this.options;
        this.unsubscribe = transport.subscribe(({ sender, message }) => {
            if (message.body.case === "documentDigest" && message.body.value.kind === kind) {
                this.answered.add(sender);
            }
        });
        this.timer = setRepeatingTimer(clock, ASK_INTERVAL_MS, () => this.tick());
        this.tick();
    }

    /** Stops asking. */
    stop(): void {
        this.timer?.cancel();
        this.unsubscribe?.();
    }

    /** Runs an offer now or when the gate opens; a later offer replaces one that is held. */
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
        const isAnswered = this.options.peersToAsk()?.every(host => this.answered.has(host)) ?? false;
        return isAnswered || this.options.clock.nowMs() - this.heldSinceMs >= GRACE_MS;
    }

    private open(): void {
        this.isOpen = true;
        this.stop();
        this.held?.();
        this.held = undefined;
    }
}
