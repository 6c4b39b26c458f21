/**
 * Simulated fleet whose backend servers are ended by a request: real relays and their shared knowledge of ends, on a
 * clock that the test advances, with delays in place of a network.
 */
import { ManualClock, RequestError } from "@radishrouter/core";
import { CrashingRequests, ServerDirectory } from "../index.js";
import type { EndedRequest, QuarantineNotice } from "../index.js";
import type { Attempt, AttemptOutcome } from "../request/outcome.js";
import { Relay } from "../request/relay.js";
import type { RelayDependencies } from "../request/relay.js";
import type { RelayedRequest } from "../request/relayed-request.js";
import { createContent, createRoute, createServer } from "./example-values.js";
import { createRelayDependencies, createSilentLog } from "./relay-dependencies.js";
import { createSeededRandom } from "./seeded-random.js";
import { headerNames } from "./server-rig.js";

/** Size and times of a simulated fleet. */
export interface CrashFleetOptions {
    readonly nodes: number;
    readonly services: number;
    /** Time from when the fatal request begins to run until its server ends. */
    readonly endDelayMs: number;
    /** Time that a server takes for each request. */
    readonly serviceMs?: number;
    /** Time in which the caller of a popular request wants its answer. */
    readonly objectiveMs?: number;
    /** Number of different popular requests. */
    readonly popularTargets?: number;
    /** Services among which the fatal request's route splits its requests. */
    readonly splitServices?: number;
}

/** What happens in a play. */
export interface CrashPlay {
    readonly durationMs: number;
    readonly copyIntervalMs: number;
    /** Copies of the fatal request that are sent at one moment, each at another node. */
    readonly copiesAtOnce?: number;
    /** Time between two nodes that lose their memory. */
    readonly restartIntervalMs?: number;
    /** Time between two servers that end for another reason. */
    readonly externalEndIntervalMs?: number;
    /** Time at which the nodes are cut into two halves, and time at which the cut heals. */
    readonly cut?: { readonly fromMs: number; readonly toMs: number; };
}

const SERVICE_PREFIX = "service-";
const SERVICE = `${SERVICE_PREFIX}0`;
const FATAL_TARGET = "/fatal";
const DOWN_MS = 2_000;
const DEFAULT_SERVICE_MS = 20;
const DEADLINE_MS = 5_000;
const NETWORK_DELAY_MS = 5;
const POPULAR_INTERVAL_MS = 7;
const RETRY_AFTER_MS = 600;
/** Time after which a node gives up on one behind a cut. */
const CUT_NOTICE_MS = 300;
/** Attempts of a caller for one popular request, which it sends again after a failure, as callers do. */
const CALLER_ATTEMPTS = 3;
const SEED = 2_032;

type SentRequest = Pick<RelayedRequest, "content" | "softDeadlineAtMs">;

interface RunningRequest {
    readonly request: EndedRequest;
    readonly settle: (outcome: AttemptOutcome) => void;
}

interface SimulatedNode {
    readonly address: string;
    readonly service: string;
    readonly running: Set<RunningRequest>;
    crashing: CrashingRequests;
    isServerUp: boolean;
    run: number;
}

/** A fleet of simulated nodes, each with a server. */
export class SimulatedCrashFleet {
    /** Times at which servers ended. */
    readonly ends: number[] = [];
    /** Copies of the fatal request that began to run before the first end. */
    begunBeforeFirstEnd = 0;
    fatalRefusals = 0;
    popularSent = 0;
    popularServed = 0;
    /** Notices between nodes, but for the questions of nodes that start. */
    messages = 0;
    private readonly clock = ManualClock.create();
    private readonly random = createSeededRandom(SEED);
    private readonly directory = ServerDirectory.create(this.clock);
    private readonly log = createSilentLog(this.clock);
    private readonly nodes: SimulatedNode[];
    private readonly relays = new Map<SimulatedNode, RelayDependencies>();
    private sent = 0;
    private isCut = false;

    private constructor(private readonly options: CrashFleetOptions) {
        this.nodes = Array.from({ length: options.nodes }, (_, index) => this.createNode(index));
        for (const { address, service } of this.nodes) {
            this.directory.upsert(createServer(address, { hostAddress: address, service }), "test");
        }
        this.nodes.forEach(node => this.relays.set(node, this.createRelayDependencies(node)));
    }

    static create(options: CrashFleetOptions): SimulatedCrashFleet {
        return new SimulatedCrashFleet(options);
    }

    /** Plays some simulated time. */
    async play(play: CrashPlay): Promise<void> {
        const { copyIntervalMs, copiesAtOnce = 1, restartIntervalMs, externalEndIntervalMs, cut } = play;
        for (let atMs = 1; atMs <= play.durationMs; atMs++) {
            if (atMs === cut?.fromMs) {
                this.isCut = true;
            }
            if (atMs === cut?.toMs) {
                this.healCut();
            }
            if (atMs % copyIntervalMs === 0) {
                this.shuffledNodes().slice(0, copiesAtOnce).forEach(node => void this.sendFatal(node));
            }
            if (atMs % POPULAR_INTERVAL_MS === 0 && atMs < play.durationMs - DEADLINE_MS) {
                void this.sendPopular(this.pickNode());
            }
            if (restartIntervalMs !== undefined && atMs % restartIntervalMs === 0) {
                this.restart(this.nodes[Math.floor(atMs / restartIntervalMs) % this.nodes.length]!);
            }
            if (externalEndIntervalMs !== undefined && atMs % externalEndIntervalMs === 0) {
                this.endServer(this.pickNode(this.nodes.filter(({ service }) => service === SERVICE)));
            }
            this.clock.advance(1);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    private createNode(index: number): SimulatedNode {
        const address = `10.0.${Math.floor(index / 250)}.${index % 250 + 1}`;
        const service = `${SERVICE_PREFIX}${index % Math.floor(this.options.services)}`;
        return {
            address,
            service,
            running: new Set(),
            crashing: this.createCrashingRequests(address, service),
            isServerUp: true,
            run: 1,
        };
    }

    private createCrashingRequests(address: string, service: string): CrashingRequests {
        const { clock, log, directory } = this;
        return CrashingRequests.create({
            clock,
            log,
            headerNames,
            hostAddress: address,
            service,
            siblingServices: () =>
                this.splitServices.includes(service) ?
                    this.splitServices.filter(name => name !== service) :
                    [],
            hostsOf: name => directory.hostsOf(name),
            allHosts: () => this.nodes.map(node => node.address),
            readyServers: name => directory.readyServers(name),
            send: (receiver, notice) => this.sendNotice(address, receiver, notice),
        });
    }

    /** Heals the cut; each node learns that it reaches the nodes of the other half again. */
    private healCut(): void {
        this.isCut = false;
        for (const node of this.nodes) {
            const others = this.nodes.filter(other => this.halfOf(other.address) !== this.halfOf(node.address));
            others.forEach(({ address }) => node.crashing.exchange.tellRegained(address));
        }
    }

    private halfOf(address: string): number {
        return this.nodes.findIndex(node => node.address === address) < this.nodes.length / 2 ? 0 : 1;
    }

    private areCutOff(left: string, right: string): boolean {
        return this.isCut && this.halfOf(left) !== this.halfOf(right);
    }

    private sendNotice(sender: string, receiver: string, notice: QuarantineNotice): void {
        this.messages++;
        if (this.areCutOff(sender, receiver)) {
            return;
        }
        this.clock.setTimer(this.networkDelayMs(), () => {
            const reply = this.findNode(receiver).crashing.receive(notice, sender);
            if (reply) {
                this.sendNotice(receiver, sender, reply);
            }
        });
    }

    private createRelayDependencies(node: SimulatedNode): RelayDependencies {
        const { clock, random, directory, log } = this;
        return createRelayDependencies({
            clock,
            random,
            hostAddress: node.address,
            directory,
            crashing: node.crashing,
            log,
            server: { send: request => toAttempt(this.runAt(node, request, request.isTrial === true)) },
            peers: {
                send: (target, request, isTrial) =>
                    toAttempt(
                        this.areCutOff(node.address, target.hostAddress) ?
                            this.loseBehindCut() :
                            this.forward(this.findNode(target.hostAddress), request, isTrial),
                    ),
            },
        });
    }

    private async loseBehindCut(): Promise<AttemptOutcome> {
        await this.delay(CUT_NOTICE_MS);
        return { kind: "unknown", reason: "silent", detail: "" };
    }

    private async forward(node: SimulatedNode, request: SentRequest, isTrial: boolean): Promise<AttemptOutcome> {
        await this.delay(this.networkDelayMs());
        const outcome = await this.runAt(node, request, isTrial);
        await this.delay(this.networkDelayMs());
        return outcome;
    }

    /** What the node beside a server does with a request. */
    private async runAt(
        node: SimulatedNode,
        { content, softDeadlineAtMs }: SentRequest,
        isTrial: boolean,
    ): Promise<AttemptOutcome> {
        await node.crashing.exchange.whenInformed();
        const admission = node.crashing.admit(content, isTrial, softDeadlineAtMs - this.clock.nowMs() - this.serviceMs);
        switch (admission.kind) {
            case "refused":
                return refuse(admission.reason);
            case "free":
                return await this.run(node, { content, isTried: false });
            case "suspect": {
                await admission.turn.granted;
                const refusal = node.crashing.refusalOf(content, admission.turn);
                if (refusal === "suspected") {
                    admission.turn.end();
                    return await this.runAt(node, { content, softDeadlineAtMs }, true);
                }
                const { isAlone } = admission.turn;
                const outcome = refusal ? refuse(refusal) : await this.run(node, { content, isTried: isAlone });
                admission.turn.end();
                return outcome;
            }
        }
    }

    private run(node: SimulatedNode, request: EndedRequest): Promise<AttemptOutcome> {
        if (!node.isServerUp) {
            return Promise.resolve(refuse("not-connected"));
        }
        return new Promise(resolve => {
            const running: RunningRequest = { request, settle: resolve };
            node.running.add(running);
            if (request.content.target === FATAL_TARGET) {
                this.begunBeforeFirstEnd += this.ends.length === 0 ? 1 : 0;
                this.endLater(node);
                return;
            }
            this.clock.setTimer(this.serviceMs, () => {
                if (node.running.delete(running)) {
                    node.crashing.recordCompletion(request.content);
                    resolve(ANSWER);
                }
            });
        });
    }

    private get splitServices(): string[] {
        return Array.from({ length: this.options.splitServices ?? 1 }, (_, index) => `${SERVICE_PREFIX}${index}`);
    }

    private get serviceMs(): number {
        return this.options.serviceMs ?? DEFAULT_SERVICE_MS;
    }

    private endLater(node: SimulatedNode): void {
        const { run } = node;
        this.clock.setTimer(this.options.endDelayMs, () => {
            if (node.run === run) {
                this.endServer(node);
            }
        });
    }

    private endServer(node: SimulatedNode): void {
        if (!node.isServerUp) {
            return;
        }
        this.ends.push(this.clock.nowMs());
        node.isServerUp = false;
        const lost = [...node.running];
        node.running.clear();
        if (lost.length > 0) {
            node.crashing.recordEnd(node.run, lost.map(({ request }) => request));
        }
        node.run++;
        lost.forEach(({ request, settle }) => {
            const reason = request.isTried ? "server-ended-in-trial" : "server-ended";
            settle({ kind: "unknown", reason, detail: "" });
        });
        this.clock.setTimer(DOWN_MS, () => {
            node.isServerUp = true;
        });
    }

    private restart(node: SimulatedNode): void {
        node.crashing = this.createCrashingRequests(node.address, node.service);
        this.relays.set(node, this.createRelayDependencies(node));
        node.crashing.exchange.startWaitingForOthers();
        node.crashing.exchange.askOthers();
    }

    private async sendFatal(node: SimulatedNode): Promise<void> {
        const service = this.splitServices[Math.floor(this.random() * this.splitServices.length)]!;
        const result = await this.relay(node, FATAL_TARGET, DEADLINE_MS, service);
        this.fatalRefusals += result === "request-quarantined" ? 1 : 0;
    }

    private async sendPopular(node: SimulatedNode): Promise<void> {
        const { objectiveMs = DEADLINE_MS, popularTargets = 1 } = this.options;
        const target = `/popular-${this.popularSent % popularTargets}`;
        const deadlineAtMs = this.clock.nowMs() + objectiveMs;
        this.popularSent++;
        for (let attempt = 0; attempt < CALLER_ATTEMPTS && this.clock.nowMs() < deadlineAtMs; attempt++) {
            if (await this.relay(node, target, deadlineAtMs - this.clock.nowMs()) === "answered") {
                this.popularServed += this.clock.nowMs() <= deadlineAtMs ? 1 : 0;
                return;
            }
            await this.delay(RETRY_AFTER_MS);
        }
    }

    private async relay(
        node: SimulatedNode,
        target: string,
        deadlineMs: number,
        service = SERVICE,
    ): Promise<string> {
        const nowMs = this.clock.nowMs();
        const request: RelayedRequest = {
            content: createContent({ id: String(++this.sent), target }),
            route: createRoute({ maximumAttempts: 3 }),
            deadlineAtMs: nowMs + deadlineMs,
            softDeadlineAtMs: nowMs + deadlineMs,
        };
        try {
            await Relay.create(this.relays.get(node)!, request, service, () => false).run();
            return "answered";
        }
        catch (error) {
            return error instanceof RequestError ? error.result.name : String(error);
        }
    }

    private findNode(address: string): SimulatedNode {
        return this.nodes.find(node => node.address === address)!;
    }

    private pickNode(nodes = this.nodes): SimulatedNode {
        return nodes[Math.floor(this.random() * nodes.length)]!;
    }

    private shuffledNodes(): SimulatedNode[] {
        const ranked = this.nodes.map(node => ({ node, rank: this.random() }));
        return ranked.sort((left, right) => left.rank - right.rank).map(({ node }) => node);
    }

    private networkDelayMs(): number {
        return NETWORK_DELAY_MS * (1 + this.random());
    }

    private delay(durationMs: number): Promise<void> {
        return new Promise(resolve => void this.clock.setTimer(durationMs, resolve));
    }
}

const ANSWER: AttemptOutcome = {
    kind: "answered",
    response: { status: 200, headers: { fields: [], get: () => undefined } as never, body: Buffer.alloc(0) },
};

function refuse(reason: "quarantined" | "suspected" | "not-connected"): AttemptOutcome {
    return { kind: "not-run", reason, reached: false, retryAfterMs: 0 };
}

function toAttempt(outcome: Promise<AttemptOutcome>): Attempt {
    const result = outcome.then(settled => ({ outcome: settled, onwardPressure: 0, timing: undefined }));
    return { result, abort: () => undefined };
}
