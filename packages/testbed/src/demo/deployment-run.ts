/**
 * One run of a deployment: normal traffic, a surge, a withdrawn key, a replaced host, and the report.
 */
import { collectReport, countEnded, createReport } from "@radishrouter/cli";
import type { FleetReport, NodeCounters } from "@radishrouter/cli";
import type { Configuration } from "@radishrouter/core";
import assert from "node:assert/strict";
import { Fleet } from "../fleet/fleet.js";
import { waitFor } from "../fleet/wait-for.js";
import { CallerTraffic } from "./caller-traffic.js";
import type { Deployment } from "./deployments.js";
import { OperatorWorkspace } from "./operator-workspace.js";

const NORMAL_TRAFFIC_MS = 1_500;
const SURGE_DURATION_MS = 2_500;
const AFTER_REPLACEMENT_MS = 1_000;
/** Fraction of its rate limit at which an organisation sends outside the surge. */
const NORMAL_RATE_FRACTION = 0.5;
const SURGE_FACTOR = 8;
const KEY_INVALID_CODE = 1003;
const RATE_EXCEEDED_CODE = 2001;

/** Reports the progress of the demo to the user. */
export type ReportProgress = (message: string) => void;

function delay(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Runs the demo phases on one deployment and checks their results. */
export class DeploymentRun {
    private readonly stopTraffic = new AbortController();
    private isSurging = false;

    private constructor(
        private readonly deployment: Deployment,
        private readonly workspace: OperatorWorkspace,
        private readonly fleet: Fleet,
        private readonly configuration: Configuration,
        private readonly traffic: CallerTraffic,
        private readonly reportProgress: ReportProgress,
    ) {}

    /** Compiles the files, starts the processes, and opens the callers' connections. */
    static async create(
        deployment: Deployment,
        addressSeed: number,
        reportProgress: ReportProgress,
    ): Promise<DeploymentRun> {
        const workspace = OperatorWorkspace.create(deployment.name);
        const configuration = workspace.compile();
        const organisations = Object.keys(configuration.organisations).length;
        reportProgress(
            `${deployment.name}: compiled version ${configuration.version} for ${organisations} organisations`,
        );
        const fleet = await Fleet.create({ hosts: deployment.hosts, configuration, addressSeed });
        reportProgress(`${deployment.name}: ${deployment.hosts.length} nodes and as many backend servers are ready`);
        const traffic = CallerTraffic.create([...fleet.hosts.keys()].map(name => fleet.callerUrl(name)));
        return new DeploymentRun(deployment, workspace, fleet, configuration, traffic, reportProgress);
    }

    /** Runs all phases, checks the result of each and returns the report. */
    async run(): Promise<FleetReport> {
        const sending = this.startTraffic();
        await delay(NORMAL_TRAFFIC_MS);
        await this.checkCallChain();
        await this.runSurge();
        await this.withdrawKey();
        const replacedCounters = await this.replaceHost();
        this.stopTraffic.abort();
        await Promise.all(sending);
        await this.traffic.waitForResponses();
        return this.checkReport(replacedCounters);
    }

    /** Ends all processes. */
    async stop(): Promise<void> {
        this.stopTraffic.abort();
        await this.traffic.close();
        await this.fleet.stop();
        this.workspace.close();
    }

    private startTraffic(): Promise<void>[] {
        return Object.entries(this.configuration.organisations).map(([name, { rate }]) => {
            const isSurging = () => this.isSurging && name === this.deployment.surgingOrganisation;
            return this.traffic.sendAtRate(name, {
                rate: () => rate * (isSurging() ? SURGE_FACTOR : NORMAL_RATE_FRACTION),
                create: index => ({
                    ...this.deployment.traffic[index % this.deployment.traffic.length]!,
                    key: this.workspace.keys.get(name),
                    requestId: `${name}-${index}`,
                }),
                signal: this.stopTraffic.signal,
            });
        });
    }

    private async checkCallChain(): Promise<void> {
        const { chain, chainTarget, hosts, name } = this.deployment;
        const organisation = Object.keys(this.configuration.organisations)[0]!;
        const key = this.workspace.keys.get(organisation);
        const url = this.fleet.callerUrl(hosts[0]!.name);
        let requestId = "";
        await waitFor(async () => {
            requestId = `chain-${this.traffic.sent}`;
            const request = { method: "GET", target: chainTarget, key, requestId } as const;
            const answer = await this.traffic.sendTo(url, organisation, request);
            return answer.kind === "answered" && answer.status === 200;
        }, `a request of ${organisation} passes through the call chain`);
        const services = this.fleet.runRecords()
            .filter(run => run.requestId === requestId && run.event === "start")
            .map(run => this.fleet.host(run.host).specification.service);
        assert.deepEqual(services.sort(), [...chain].sort(), "the request ran once on each service of the chain");
        this.reportProgress(`${name}: one request ran ${chain.length} services deep: ${chain.join(" -> ")}`);
    }

    private async runSurge(): Promise<void> {
        const { name, surgingOrganisation } = this.deployment;
        this.reportProgress(`${name}: ${surgingOrganisation} sends ${SURGE_FACTOR} times its rate`);
        this.isSurging = true;
        await delay(SURGE_DURATION_MS);
        this.isSurging = false;
        const refused = this.traffic.refusedCount(surgingOrganisation, RATE_EXCEEDED_CODE);
        assert.ok(refused > 0, `requests of ${surgingOrganisation} over its rate were refused`);
        this.reportProgress(`${name}: the surge is over, ${refused} requests were refused as over the rate`);
    }

    private async withdrawKey(): Promise<void> {
        const { name, withdrawnOrganisation } = this.deployment;
        this.workspace.withdrawKeys(withdrawnOrganisation);
        const configuration = this.workspace.compile();
        await this.fleet.publish(configuration);
        for (const host of this.fleet.hosts.keys()) {
            await waitFor(
                async () => (await this.fleet.status(host)).configurationVersion === configuration.version,
                `${host} has version ${configuration.version}`,
            );
        }
        const key = this.workspace.keys.get(withdrawnOrganisation);
        const target = this.deployment.chainTarget;
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
        this.reportProgress(`${name}: the key of ${withdrawnOrganisation} is withdrawn and refused by every node`);
    }

    private async replaceHost(): Promise<NodeCounters> {
        const { name, replacedHost, replacementHost } = this.deployment;
        const others = [...this.fleet.hosts.keys()].filter(host => host !== replacedHost);
        this.traffic.setNodes(others.map(host => this.fleet.callerUrl(host)));
        await this.fleet.publishHosts({ leaving: [replacedHost] });
        await waitFor(async () => {
            const statuses = await Promise.all(others.map(host => this.fleet.status(host)));
            return statuses.every(status => !status.livePeers.includes(replacedHost));
        }, `no node lists ${replacedHost}`);
        await waitFor(
            async () => (await this.fleet.report(replacedHost)).openRequests === 0,
            `${replacedHost} has no requests in flight`,
        );
        const counters = { ...await this.fleet.report(replacedHost), url: this.fleet.operatorsUrl(replacedHost) };
        await this.fleet.replaceHost(replacedHost, replacementHost);
        this.traffic.setNodes([...this.fleet.hosts.keys()].map(host => this.fleet.callerUrl(host)));
        await waitFor(
            () => this.fleet.runRecords().some(run => run.host === replacementHost.name && run.event === "end"),
            `${replacementHost.name} serves`,
        );
        this.reportProgress(`${name}: ${replacementHost.name} took the place of ${replacedHost} and serves`);
        await delay(AFTER_REPLACEMENT_MS);
        return counters;
    }

    private async checkReport(replacedCounters: NodeCounters): Promise<FleetReport> {
        const urls = [...this.fleet.hosts.keys()].map(host => this.fleet.operatorsUrl(host));
        let collected = await collectReport(urls);
        await waitFor(async () => {
            collected = await collectReport(urls);
            return collected.complete && collected.openRequests === 0;
        }, "every node responds and no request is in flight");
        const configuration = this.configuration;
        const report = createReport([...collected.nodes, replacedCounters], {
            unreachable: collected.unreachable,
            configuration,
        });
        this.checkRequestCounts(report);
        this.checkKeysNotForwarded();
        return report;
    }

    private checkRequestCounts(report: FleetReport): void {
        let offered = 0;
        for (const row of report.organisations) {
            assert.equal(countEnded(row), row.offered, `outcomes of ${row.organisation} sum up to what it offered`);
            const isPublished = Object.hasOwn(this.configuration.organisations, row.organisation);
            if (isPublished) {
                const seen = this.traffic.completedCount(row.organisation);
                assert.equal(row.completed, seen, `${row.organisation} got as many answers as were counted`);
            }
            offered += row.offered;
        }
        assert.equal(this.traffic.noResponseCount, 0, "every request got a response");
        assert.equal(offered, this.traffic.sent, "every request that callers sent was counted once");
        this.reportProgress(`${this.deployment.name}: all ${offered} requests are accounted for, once each`);
    }

    private checkKeysNotForwarded(): void {
        const runs = JSON.stringify(this.fleet.runRecords());
        for (const [organisation, key] of this.workspace.keys) {
            assert.ok(!runs.includes(key), `no backend server saw the key of ${organisation}`);
        }
    }
}
