/**
 * Which nodes read the platform: a few in each failure domain watch it; the others learn from peers, and read for
 * themselves only when they start with nothing to go by.
 */
import type { Clock, MembershipView, Timer } from "@radishrouter/core";
import { CONFIGURATION_KEY, highestScores, HOST_LIST_KEY, setRepeatingTimer } from "@radishrouter/core";
import type { PlatformReader, PlatformValue } from "./platform-reader.js";

/** Parts and settings of the documents. */
export interface PlatformDocumentsOptions {
    readonly clock: Clock;
    readonly reader: PlatformReader;
    readonly view: MembershipView;
    readonly ownName: string;
    readonly ownFailureDomain: string;
    /** Whether a configuration is in force. */
    readonly hasConfiguration: () => boolean;
    readonly onConfiguration: (value: unknown) => void;
    readonly onHostList: (value: unknown) => void;
    /** Called when the platform sent something torn. */
    readonly onCorrupt: (key: string, problem: string) => void;
    readonly random?: () => number;
}

/** Readers in each failure domain. */
export const READERS_PER_FAILURE_DOMAIN = 3;

const ROLE_INTERVAL_MS = 500;
const START_SPREAD_MS = 1_000;
const MINIMUM_FALLBACK_MS = 5_000;
const FALLBACK_MS_PER_HOST = 50;

/** Watches the platform while this node has reason to. */
export class PlatformDocuments {
    private readonly random: () => number;
    private readonly timers: Timer[] = [];
    private watching: AbortController | undefined;
    private startMs = 0;
    private fallbackMs = 0;

    private constructor(private readonly options: PlatformDocumentsOptions) {
        this.random = options.random ?? Math.random;
    }

    static create(options: PlatformDocumentsOptions): PlatformDocuments {
        return new PlatformDocuments(options);
    }

    /** Starts; nodes that start together are spread so that they do not read all at once. */
    start(): void {
        const { clock } = this.options;
        this.startMs = clock.nowMs() + this.random() * START_SPREAD_MS;
        this.timers.push(setRepeatingTimer(clock, ROLE_INTERVAL_MS / 2, () => this.chooseRole()));
    }

    /** Ends all watches. */
    stop(): void {
        this.timers.forEach(timer => timer.cancel());
        this.watching?.abort();
    }

    private chooseRole(): void {
        const shouldWatch = this.isReader() || this.isWithoutPeers();
        if (shouldWatch && !this.watching) {
            this.watch();
        }
        else if (!shouldWatch && this.watching) {
            this.watching.abort();
            this.watching = undefined;
        }
    }

    private isReader(): boolean {
        const { view, ownName, ownFailureDomain } = this.options;
        const names = view.hostsOf(ownFailureDomain).map(host => host.name);
        const eligible = names.filter(name => view.isEligible(name));
        return highestScores("configuration reader", eligible, READERS_PER_FAILURE_DOMAIN).includes(ownName);
    }

    /** Whether this node knows no hosts, or its peers have left it without a configuration for long. */
    private isWithoutPeers(): boolean {
        const { clock, view, ownFailureDomain, hasConfiguration } = this.options;
        const nowMs = clock.nowMs();
        if (!view.hasList) {
            return nowMs >= this.startMs;
        }
        if (hasConfiguration()) {
            return false;
        }
        const spreadMs = Math.max(MINIMUM_FALLBACK_MS, view.hostsOf(ownFailureDomain).length * FALLBACK_MS_PER_HOST);
        this.fallbackMs ||= nowMs + spreadMs * (1 + this.random());
        return nowMs >= this.fallbackMs;
    }

    private watch(): void {
        const { reader, onConfiguration, onHostList, onCorrupt } = this.options;
        this.watching = new AbortController();
        const { signal } = this.watching;
        const follow = (key: string, handle: (value: unknown) => void) => {
            const onValue = ({ value }: PlatformValue) => handle(value);
            void reader.watch(key, { onValue, onCorrupt: problem => onCorrupt(key, problem) }, signal);
        };
        follow(HOST_LIST_KEY, onHostList);
        follow(CONFIGURATION_KEY, onConfiguration);
    }
}
