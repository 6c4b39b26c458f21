/**
 * Plays a host that joins and takes over the tokens of an organisation, while the host that held them may be cut off.
 */
import { ManualClock } from "@radishrouter/core";
import assert from "node:assert/strict";
import { test } from "node:test";
import { OrganisationQuota, TokenBroker } from "../index.js";
import { QuotaHandover } from "../process/quota-handover.js";
import type { FleetHost } from "../process/relay-tree.js";
import { createOrganisation, toFleetHost } from "./example-values.js";
import { assertWithinTolerance, TOLERANCE } from "./quota-tolerance.js";

const SECOND_MS = 1_000;
const TICK_MS = 10;

/** A host that joins a fleet and takes over the tokens of one organisation, while the host that held them may be cut off. */
class JoiningFleet {
    readonly clock = ManualClock.create();
    readonly organisation = createOrganisation({ name: "large", ratePerSecond: 96, burst: 15 });
    /** Whether the old holder is cut off from the others, and learns of no join. */
    isHolderCutOff = false;
    private readonly listed = ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"].map(toFleetHost);
    readonly oldHolder = this.holderAmong(this.listed);
    private readonly joining = toFleetHost(this.findJoiningAddress());
    private all = [...this.listed];
    private readonly knowing = new Set<string>();
    private readonly quotas = new Map<string, OrganisationQuota>();
    private readonly brokers = new Map<string, TokenBroker>();

    constructor() {
        this.all.forEach(host => this.add(host.address));
    }

    get others(): string[] {
        return this.listed.map(({ address }) => address).filter(address => address !== this.oldHolder);
    }

    /** Lets a host join; all but a holder that is cut off learn of it. */
    join(): void {
        this.all = [...this.listed, this.joining];
        this.knowing.add(this.joining.address);
        this.add(this.joining.address);
        this.learnJoin(this.listed.map(({ address }) => address).filter(address => !this.isCutOff(address)));
    }

    learnJoin(addresses: readonly string[]): void {
        addresses.forEach(address => {
            this.knowing.add(address);
            this.quotas.get(address)!.updateShares();
        });
    }

    async take(address: string): Promise<boolean> {
        return (await this.brokers.get(address)!.take(this.organisation)).kind === "within";
    }

    private isCutOff(address: string): boolean {
        return this.isHolderCutOff && address === this.oldHolder;
    }

    private findJoiningAddress(): string {
        for (let last = 5;; last++) {
            const address = `10.0.0.${last}`;
            if (this.holderAmong([...this.listed, toFleetHost(address)]) === address) {
                return address;
            }
        }
    }

    private holderAmong(hosts: readonly FleetHost[]): string {
        const quota = OrganisationQuota.create(this.clock, hosts[0]!.address, () => hosts, SECOND_MS);
        quota.setOrganisations([this.organisation]);
        return quota.holdersOf(this.organisation).addresses[0]!;
    }

    private add(address: string): void {
        const isReachable = (other: string) => this.isCutOff(address) === this.isCutOff(other);
        const handover = QuotaHandover.create({
            clock: this.clock,
            limitMs: 5_000,
            previousHolders: name => quota.replacedHolders(name),
            askIsGenerating: async (other, name) =>
                isReachable(other) ? this.quotas.get(other)!.grant(name, 0).isGenerating : undefined,
            onTakenOver: name => quota.updateShareOf(name),
        });
        const hosts = () => this.knowing.has(address) ? this.all : this.listed;
        const quota: OrganisationQuota = OrganisationQuota.create(
            this.clock,
            address,
            hosts,
            SECOND_MS,
            TOLERANCE,
            handover,
        );
        quota.setOrganisations([this.organisation]);
        if (address === this.joining.address) {
            handover.begin();
        }
        this.quotas.set(address, quota);
        this.brokers.set(
            address,
            TokenBroker.create({
                clock: this.clock,
                quota,
                localAddress: address,
                isReachable,
                requestTokens: async (other, { organisation, wanted, isReserve }) => {
                    const there = this.quotas.get(other)!;
                    return isReserve ? there.grantReserve(organisation, wanted) : there.grant(organisation, wanted);
                },
                random: () => 0.5,
            }),
        );
    }
}

/** Sends 120 requests a second at the old holder and 120 at the others for `durationMs`; returns when they were admitted. */
async function playJoiningFleet(fleet: JoiningFleet, durationMs: number): Promise<number[]> {
    const admittedAtMs: number[] = [];
    const senders = fleet.others;
    for (let atMs = 0; atMs < durationMs; atMs += TICK_MS) {
        for (const address of atMs % 25 < TICK_MS ? [fleet.oldHolder, senders[atMs / TICK_MS % senders.length]!] : []) {
            for (let request = 0; request < 3; request++) {
                if (await fleet.take(address)) {
                    admittedAtMs.push(fleet.clock.nowMs());
                }
            }
        }
        fleet.clock.advance(TICK_MS);
        await new Promise(resolve => setImmediate(resolve));
    }
    return admittedAtMs;
}

// Guards against two hosts that hold the tokens of an organisation: the one that joins, and the one that it replaces, which
// cannot learn of it. The key lease ends the use of tokens at the one that is cut off, here after 5 s.
test("a host that joins while the holder that it replaces is cut off does not generate its tokens beside it", async () => {
    const fleet = new JoiningFleet();
    const before = await playJoiningFleet(fleet, 6_000);
    fleet.isHolderCutOff = true;
    fleet.join();
    const after = await playJoiningFleet(fleet, 4_900);
    assertWithinTolerance([...before, ...after], fleet.organisation);
});

test("a host that joins takes over as soon as the holder that it replaces knows of it, and callers get their rate", async () => {
    const fleet = new JoiningFleet();
    await playJoiningFleet(fleet, 6_000);
    fleet.join();
    const durationMs = 6_000;
    const after = await playJoiningFleet(fleet, durationMs);
    const expected = fleet.organisation.ratePerSecond * durationMs / SECOND_MS;
    assert.ok(after.length >= 0.95 * expected, `${after.length} admitted, the rate allows ${expected}`);
    assertWithinTolerance(after, fleet.organisation);
});
