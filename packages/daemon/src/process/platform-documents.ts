/**
 * Which nodes read the platform: a few in each failure domain watch it; the others learn from peers, and read for
 * themselves only when they start with nothing to go by.
 */
import type { Clock, MembershipView, Timer } from "@radishrouter/core";
import { CONFIGURATION_KEY, highestScoringNames, HOST_LIST_KEY, setRepeatingTimer } from "@radishrouter/core";
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
    /** Time that seeds get to answer before the platform is asked for hosts, in milliseconds. */
    readonly startDelayMs: number;
    readonly onConfiguration: (value: unknown) => void;
    readonly onHostList: (value: unknown) => void;
    /** Called when the platform sent something torn. */
    readonly onCorrupt: (key: string, problem: string) => void;
    readonly random?: () => number;
}

/** Readers in each failure domain. */
export const READERS_PER_FAILURE_DOMAIN = 3;

const ROLE_INTERVAL_MS = 250;
const START_SPREAD_MS = 2_000;
const MINIMUM_FALLBACK_MS = 5_000;
const FALLBACK_MS_PER_HOST = 50;

/** Watches the platform while this node has reason to. */
export class PlatformDocuments {
    private readonly random: () => number;
    private readonly timers: Timer[] = [];
    private readonly watches = new Map<string, AbortController>();
    private startMs = 0;
    private fallbackMs: number | undefined;

    private constructor(private readonly options: PlatformDocumentsOptions) {
        this.random = options.random ?? Math.random;
    }

    static create(options: PlatformDocumentsOptions): PlatformDocuments {
        return new PlatformDocuments(options);
    }

    /** Starts; nodes that start together are spread so that they do not read all at once. */
    start(): void {
        const { clock } = this.options;
        this.startMs = clock.nowMs() + this.options.startDelayMs + this.random() * START_SPREAD_MS;
        this.timers.push(setRepeatingTimer(clock, ROLE_INTERVAL_MS, () => this.chooseRole()));
    }

    /** Ends all watches. */
    stop(): void {
        this.timers.forEach(timer => timer.cancel());
        this.watches.forEach(watch => watch.abort());
    }

    private chooseRole(): void {
        const isReader = this.isReader();
        this.follow(HOST_LIST_KEY, isReader || this.isWithoutHosts(), this.options.onHostList);
        this.follow(CONFIGURATION_KEY, isReader || this.isLeftAlone(), this.options.onConfiguration);
    }

    private isReader(): boolean {
        const { view, ownName, ownFailureDomain } = this.options;
        const names = view.hostsInFailureDomain(ownFailureDomain).map(host => host.name);
        const eligible = names.filter(name => view.isEligible(name));
        return highestScoringNames("configuration reader", eligible, READERS_PER_FAILURE_DOMAIN).includes(ownName);
    }

    /** Whether this node has to ask the platform for a first list of hosts. */
    private isWithoutHosts(): boolean {
        return !this.options.view.hasHostList && this.options.clock.nowMs() >= this.startMs;
    }

    /** Whether peers have left this node without a configuration for long. */
    private isLeftAlone(): boolean {
        const { clock, view, ownFailureDomain, hasConfiguration } = this.options;
        if (hasConfiguration() || !view.hasHostList) {
            return false;
        }
        const spreadMs = Math.max(
            MINIMUM_FALLBACK_MS,
            view.hostsInFailureDomain(ownFailureDomain).length * FALLBACK_MS_PER_HOST,
        );
        this.fallbackMs ??= this.startMs + spreadMs * (1 + this.random());
        return clock.nowMs() >= this.fallbackMs;
    }

    private follow(key: string, wanted: boolean, handle: (value: unknown) => void): void {
        const watch = this.watches.get(key);
        if (wanted && !watch) {
            const { reader, onCorrupt } = this.options;
            const controller = new AbortController();
            const onValue = ({ value }: PlatformValue) => handle(value);
            this.watches.set(key, controller);
            void reader.watch(key, { onValue, onCorrupt: problem => onCorrupt(key, problem) }, controller.signal);
        }
        else if (!wanted && watch) {
            this.watches.delete(key);
            watch.abort();
        }
    }
}
