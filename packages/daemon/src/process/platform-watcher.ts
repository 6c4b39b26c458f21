/**
 * Decides whether this node reads the platform. A few nodes in each failure domain watch it. The others get documents
 * from peers and read the platform only if they have started without a host list or a configuration.
 */
import type { Clock, MembershipView, Timer } from "@radishrouter/core";
import { CONFIGURATION_KEY, highestScoringNames, HOST_LIST_KEY, setRepeatingTimer } from "@radishrouter/core";
import type { PlatformReader, PlatformValue } from "./platform-reader.js";

/** Collaborators, identity and settings of a platform watcher. */
export interface PlatformWatcherOptions {
    readonly clock: Clock;
    readonly reader: PlatformReader;
    readonly view: MembershipView;
    readonly localHostName: string;
    readonly localFailureDomain: string;
    /** Whether a configuration is active. */
    readonly hasConfiguration: () => boolean;
    /** Time that seeds have to respond before the platform is asked for hosts. */
    readonly startDelayMs: number;
    readonly onConfiguration: (value: unknown) => void;
    readonly onHostList: (value: unknown) => void;
    /** Called when the platform sent a value that cannot be parsed, such as an incomplete document. */
    readonly onInvalid: (key: string, problem: string) => void;
    readonly random?: () => number;
}

/** Nodes in each failure domain that watch the platform. */
export const READERS_PER_FAILURE_DOMAIN = 3;

const ROLE_CHECK_INTERVAL_MS = 250;
/** Nodes delay their first read by a random time up to this, so that a fleet does not read all at once. */
const MAXIMUM_START_JITTER_MS = 2_000;
/** Minimum delay before a node without a configuration reads it from the platform; the random maximum is twice that. */
const MINIMUM_FALLBACK_MS = 5_000;
/** The delay grows with the number of hosts in the failure domain, so that they do not read all at once. */
const FALLBACK_MS_PER_HOST = 50;

/** Watches the host list and the configuration on the platform while this node has to. */
export class PlatformWatcher {
    private readonly random: () => number;
    private readonly timers: Timer[] = [];
    private readonly watchControllers = new Map<string, AbortController>();
    private firstReadMs = 0;
    private fallbackReadMs: number | undefined;

    private constructor(private readonly options: PlatformWatcherOptions) {
        this.random = options.random ?? Math.random;
    }

    static create(options: PlatformWatcherOptions): PlatformWatcher {
        return new PlatformWatcher(options);
    }

    /** Starts to check at an interval which documents to watch. */
    start(): void {
        const { clock } = this.options;
        this.firstReadMs = clock.nowMs() + this.options.startDelayMs + this.random() * MAXIMUM_START_JITTER_MS;
        this.timers.push(setRepeatingTimer(clock, ROLE_CHECK_INTERVAL_MS, () => this.updateWatches()));
    }

    /** Ends all watches. */
    stop(): void {
        this.timers.forEach(timer => timer.cancel());
        this.watchControllers.forEach(controller => controller.abort());
    }

    private updateWatches(): void {
        const isReader = this.isReader();
        this.setWatched(HOST_LIST_KEY, isReader || this.needsHostList(), this.options.onHostList);
        this.setWatched(CONFIGURATION_KEY, isReader || this.needsConfiguration(), this.options.onConfiguration);
    }

    private isReader(): boolean {
        const { view, localHostName, localFailureDomain } = this.options;
        const names = view.hostsInFailureDomain(localFailureDomain).map(host => host.name);
        const eligible = names.filter(name => view.isEligible(name));
        return highestScoringNames("configuration reader", eligible, READERS_PER_FAILURE_DOMAIN).includes(
            localHostName,
        );
    }

    /** Whether this node has to read its first host list from the platform. */
    private needsHostList(): boolean {
        return !this.options.view.hasHostList && this.options.clock.nowMs() >= this.firstReadMs;
    }

    /** Whether this node has to read the configuration itself, since peers have not sent one in time. */
    private needsConfiguration(): boolean {
        const { clock, view, localFailureDomain, hasConfiguration } = this.options;
        if (hasConfiguration() || !view.hasHostList) {
            return false;
        }
        const spreadMs = Math.max(
            MINIMUM_FALLBACK_MS,
            view.hostsInFailureDomain(localFailureDomain).length * FALLBACK_MS_PER_HOST,
        );
        this.fallbackReadMs ??= this.firstReadMs + spreadMs * (1 + this.random());
        return clock.nowMs() >= this.fallbackReadMs;
    }

    private setWatched(key: string, wanted: boolean, handle: (value: unknown) => void): void {
        const activeController = this.watchControllers.get(key);
        if (wanted && !activeController) {
            const { reader, onInvalid } = this.options;
            const controller = new AbortController();
            const onValue = ({ value }: PlatformValue) => handle(value);
            this.watchControllers.set(key, controller);
            void reader.watch(key, { onValue, onInvalid: problem => onInvalid(key, problem) }, controller.signal);
        }
        else if (!wanted && activeController) {
            this.watchControllers.delete(key);
            activeController.abort();
        }
    }
}
