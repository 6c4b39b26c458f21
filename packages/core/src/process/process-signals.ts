/**
 * Signals that ask a process to stop or to read its settings again.
 *
 * The listeners stay for the life of the process: without one, the runtime ends the process at the signal, and with it
 * the requests that it serves. A stop is begun once; further signals do not shorten it.
 */

/** Signals that ask for an orderly stop. */
export type StopSignal = "SIGTERM" | "SIGINT";

/** Signal that says that the settings file has changed. */
export type ReloadSignal = "SIGHUP";

/** Object that reports signals, such as `process`. */
export interface SignalSource {
    on(signal: StopSignal | ReloadSignal, listener: () => void): unknown;
}

/** What a program does at a signal. */
export interface SignalHandlers {
    /** Begins the stop; called for the first signal that asks for one. */
    readonly stop: (signal: StopSignal) => void;
    /** Called for each further signal that asks for a stop, while the stop runs. */
    readonly stopAgain: (signal: StopSignal) => void;
    /** Called when the settings file has changed. */
    readonly reload: () => void;
}

const STOP_SIGNALS: readonly StopSignal[] = ["SIGTERM", "SIGINT"];
const RELOAD_SIGNAL: ReloadSignal = "SIGHUP";

/** Receives signals from its creation on, and hands them to the program as soon as that can handle them. */
export class ProcessSignals {
    private handlers: SignalHandlers | undefined;
    private hasStopped = false;
    /** Signals that came before the program could handle them. */
    private readonly pending = new Set<StopSignal | ReloadSignal>();

    private constructor(source: SignalSource) {
        [...STOP_SIGNALS, RELOAD_SIGNAL].forEach(signal => source.on(signal, () => this.receive(signal)));
    }

    /** Registers the listeners. A program calls this before it loads the rest of its code. */
    static create(source: SignalSource = process): ProcessSignals {
        return new ProcessSignals(source);
    }

    /** Sets what the program does at a signal; signals that came before are handled now. */
    handle(handlers: SignalHandlers): void {
        this.handlers = handlers;
        const pending = [...this.pending];
        this.pending.clear();
        pending.forEach(signal => this.receive(signal));
    }

    private receive(signal: StopSignal | ReloadSignal): void {
        if (!this.handlers) {
            this.pending.add(signal);
            return;
        }
        if (signal === RELOAD_SIGNAL) {
            this.handlers.reload();
            return;
        }
        if (this.hasStopped) {
            this.handlers.stopAgain(signal);
            return;
        }
        this.hasStopped = true;
        this.handlers.stop(signal);
    }
}
