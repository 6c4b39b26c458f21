/**
 * One run of a deployment: calm traffic, a surge, a withdrawn key, a replaced host, and the report.
 */
import { collectReport, countEnded, createReport } from "@radishrouter/cli";
import type { FleetReport, NodeCounters } from "@radishrouter/cli";
import type { Configuration } from "@radishrouter/core";
import assert from "node:assert/strict";
import { Fleet } from "../fleet/fleet.js";
import { waitFor } from "../fleet/wait-for.js";
import { CallerTraffic } from "./caller-traffic.js";
import type { Mesh } from "./meshes.js";
import { OperatorsDesk } from "./operators-desk.js";

const CALM_MS = 1_500;
const SURGE_MS = 2_500;
const AFTER_REPLACEMENT_MS = 1_000;
/** Part of its rate that an organisation sends while it does not surge. */
const CALM_PART = 0.5;
const SURGE_FACTOR = 8;
const KEY_INVALID_CODE = 1003;
const RATE_EXCEEDED_CODE = 2001;

/** Tells the user what happens. */
export type Progress = (message: string) => void;

function delay(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** A deployment while the demo runs it. */
export class MeshRun {
    private readonly stopTraffic = new AbortController();
    private isSurging = false;

    private constructor(
        private readonly mesh: Mesh,
        private readonly desk: OperatorsDesk,
        private readonly fleet: Fleet,
        private readonly configuration: Configuration,
        private readonly traffic: CallerTraffic,
        private readonly progress: Progress,
    ) {}

    /** Compiles the files, starts the processes, and opens the callers' connections. */
    static async create(mesh: Mesh, addressSeed: number, progress: Progress): Promise<MeshRun> {
        const desk = OperatorsDesk.create(mesh.name);
        const configuration = desk.compile();
        const organisations = Object.keys(configuration.organisations).length;
        progress(`${mesh.name}: compiled version ${configuration.version} for ${organisations} organisations`);
        const fleet = await Fleet.create({ hosts: mesh.hosts, configuration, addressSeed });
        progress(`${mesh.name}: ${mesh.hosts.length} nodes and as many backend servers are ready`);
        const traffic = CallerTraffic.create([...fleet.hosts.keys()].map(name => fleet.callerUrl(name)));
        return new MeshRun(mesh, desk, fleet, configuration, traffic, progress);
    }

    /** Runs all phases and checks what they claim. */
    async run(): Promise<FleetReport> {
        const sending = this.startTraffic();
        await delay(CALM_MS);
        await this.checkChain();
        await this.surge();
        await this.withdrawKey();
        const replacedCounters = await this.replaceHost();
        this.stopTraffic.abort();
        await Promise.all(sending);
        await this.traffic.settle();
        return this.checkReport(replacedCounters);
    }

    /** Ends all processes. */
    async stop(): Promise<void> {
        this.stopTraffic.abort();
        await this.traffic.close();
        await this.fleet.stop();
        this.desk.close();
    }

    private startTraffic(): Promise<void>[] {
        return Object.entries(this.configuration.organisations).map(([name, { rate }]) => {
            const isSurging = () => this.isSurging && name === this.mesh.surgingOrganisation;
            return this.traffic.keepSending(name, {
                rate: () => rate * (isSurging() ? SURGE_FACTOR : CALM_PART),
                create: index => ({
                    ...this.mesh.traffic[index % this.mesh.traffic.length]!,
                    key: this.desk.keys.get(name),
                    requestId: `${name}-${index}`,
                }),
                signal: this.stopTraffic.signal,
            });
        });
    }

    private async checkChain(): Promise<void> {
        const { chain, chainTarget, hosts, name } = this.mesh;
        const organisation = Object.keys(this.configuration.organisations)[0]!;
        const key = this.desk.keys.get(organisation);
        const url = this.fleet.callerUrl(hosts[0]!.name);
        let requestId = "";
        await waitFor(async () => {
            requestId = `chain-${this.traffic.sent}`;
            const request = { method: "GET", target: chainTarget, key, requestId } as const;
            const answer = await this.traffic.sendTo(url, organisation, request);
            return answer.kind === "answered" && answer.status === 200;
        }, `a request of ${organisation} runs down the chain`);
        const services = this.fleet.runRecords()
            .filter(run => run.requestId === requestId && run.event === "start")
            .map(run => this.fleet.host(run.host).specification.service);
        assert.deepEqual(services.sort(), [...chain].sort(), "the request ran once on each service of the chain");
        this.progress(`${name}: one request ran ${chain.length} services deep: ${chain.join(" -> ")}`);
    }

    private async surge(): Promise<void> {
        const { name, surgingOrganisation } = this.mesh;
        this.progress(`${name}: ${surgingOrganisation} sends ${SURGE_FACTOR} times its rate`);
        this.isSurging = true;
        await delay(SURGE_MS);
        this.isSurging = false;
        const refused = this.traffic.refusedOf(surgingOrganisation, RATE_EXCEEDED_CODE);
        assert.ok(refused > 0, `requests of ${surgingOrganisation} over its rate were refused`);
        this.progress(`${name}: the surge is over, ${refused} requests were refused as over the rate`);
    }

    private async withdrawKey(): Promise<void> {
        const { name, withdrawnOrganisation } = this.mesh;
        this.desk.withdrawKeys(withdrawnOrganisation);
        const configuration = this.desk.compile();
        await this.fleet.publish(configuration);
        for (const host of this.fleet.hosts.keys()) {
            await waitFor(
                async () => (await this.fleet.status(host)).configurationVersion === configuration.version,
                `${host} has version ${configuration.version}`,
            );
        }
        const key = this.desk.keys.get(withdrawnOrganisation);
        const target = this.mesh.chainTarget;
        for (const host of this.fleet.hosts.keys()) {
            const answer = await this.traffic.sendTo(this.fleet.callerUrl(host), withdrawnOrganisation, {
                method: "GET",
                target,
                key,
                requestId: `withdrawn-${host}`,
            });
            assert.ok(
                answer.kind === "problem" && answer.code === KEY_INVALID_CODE,
                `${host} refuses the withdrawn key; it answered ${JSON.stringify(answer)}`,
            );
        }
        const ran = this.fleet.runRecords().filter(run => run.requestId.startsWith("withdrawn-"));
        assert.equal(ran.length, 0, "no request with the withdrawn key ran");
        this.progress(`${name}: the key of ${withdrawnOrganisation} is withdrawn and refused by every node`);
    }

    private async replaceHost(): Promise<NodeCounters> {
        const { name, replaced, replacement } = this.mesh;
        const others = [...this.fleet.hosts.keys()].filter(host => host !== replaced);
        this.traffic.setNodes(others.map(host => this.fleet.callerUrl(host)));
        await this.fleet.publishHosts({ leaving: [replaced] });
        await waitFor(async () => {
            const statuses = await Promise.all(others.map(host => this.fleet.status(host)));
            return statuses.every(status => !status.livePeers.includes(replaced));
        }, `no node uses ${replaced}`);
        await waitFor(
            async () => (await this.fleet.report(replaced)).openRequests === 0,
            `${replaced} has ended its work`,
        );
        const counters = { ...await this.fleet.report(replaced), url: this.fleet.operatorsUrl(replaced) };
        await this.fleet.replaceHost(replaced, replacement);
        this.traffic.setNodes([...this.fleet.hosts.keys()].map(host => this.fleet.callerUrl(host)));
        await waitFor(
            () => this.fleet.runRecords().some(run => run.host === replacement.name && run.event === "end"),
            `${replacement.name} serves`,
        );
        this.progress(`${name}: ${replacement.name} took the place of ${replaced} and serves`);
        await delay(AFTER_REPLACEMENT_MS);
        return counters;
    }

    private async checkReport(replacedCounters: NodeCounters): Promise<FleetReport> {
        const urls = [...this.fleet.hosts.keys()].map(host => this.fleet.operatorsUrl(host));
        let collected = await collectReport(urls);
        await waitFor(async () => {
            collected = await collectReport(urls);
            return collected.complete && collected.openRequests === 0;
        }, "every node answers and no request is open");
        const configuration = this.configuration;
        const report = createReport([...collected.nodes, replacedCounters], {
            unreachable: collected.unreachable,
            configuration,
        });
        this.checkSums(report);
        this.checkSecrets();
        return report;
    }

    private checkSums(report: FleetReport): void {
        let offered = 0;
        for (const row of report.organisations) {
            assert.equal(countEnded(row), row.offered, `outcomes of ${row.organisation} sum up to what it offered`);
            const isPublished = Object.hasOwn(this.configuration.organisations, row.organisation);
            if (isPublished) {
                const seen = this.traffic.completedOf(row.organisation);
                assert.equal(row.completed, seen, `${row.organisation} got as many answers as were counted`);
            }
            offered += row.offered;
        }
        assert.equal(this.traffic.unansweredCount, 0, "every request was answered");
        assert.equal(offered, this.traffic.sent, "every request that callers sent was counted once");
        this.progress(`${this.mesh.name}: all ${offered} requests are accounted for, once each`);
    }

    private checkSecrets(): void {
        const runs = JSON.stringify(this.fleet.runRecords());
        for (const [organisation, key] of this.desk.keys) {
            assert.ok(!runs.includes(key), `no backend server saw the key of ${organisation}`);
        }
    }
}
