import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { DocumentReplica } from "../process/document-replica.js";
import { hostListFormat } from "../version/document-format.js";
import type { Host, HostList } from "../version/host-list.js";
import { createHosts } from "./simulated-fleet.js";

const hosts = createHosts({ a: 6 });

interface RecordingReplica {
    readonly replica: DocumentReplica<HostList>;
    readonly contents: HostList[];
    readonly refusals: string[];
}

function createReplica(): RecordingReplica {
    const contents: HostList[] = [];
    const refusals: string[] = [];
    const replica = DocumentReplica.create({
        format: hostListFormat,
        onAdopted: content => contents.push(content),
        onRefused: (_source, problem) => refusals.push(problem),
    });
    return { replica, contents, refusals };
}

const hostList = fc.array(fc.constantFrom("absent", "live", "leaving"), { minLength: 6, maxLength: 6 }).map(states =>
    hosts.flatMap((host, index): Host[] => {
        const state = states[index]!;
        return state === "absent" ? [] : [{ ...host, state: state as Host["state"] }];
    })
);

function byName(left: Host, right: Host): number {
    return left.name < right.name ? -1 : 1;
}

describe("a replica that is updated by changes", () => {
    test("has the same content as the published document, regardless of which versions it missed", () => {
        fc.assert(
            fc.property(fc.array(fc.tuple(hostList, fc.boolean()), { minLength: 1, maxLength: 40 }), steps => {
                const reader = createReplica();
                const follower = createReplica();
                for (const [index, [list, isSent]] of steps.entries()) {
                    reader.replica.offerDocument({ revision: index + 1, hosts: list }, "platform");
                    if (isSent || index === steps.length - 1) {
                        const change = reader.replica.changeFrom(follower.replica.version);
                        assert.equal(follower.replica.offerChange(change, "reader"), "adopted");
                        assert.deepEqual([...follower.contents.at(-1)!.hosts].sort(byName), [...list].sort(byName));
                    }
                }
                assert.deepEqual(follower.refusals, []);
            }),
            { seed: 20_261_204, numRuns: 200 },
        );
    });

    test("refuses a change whose records are incomplete and do not result in the hash that was sent with it", () => {
        const reader = createReplica();
        const follower = createReplica();
        reader.replica.offerDocument({ revision: 1, hosts }, "platform");
        follower.replica.offerChange(reader.replica.changeFrom(0), "reader");
        reader.replica.offerDocument({ revision: 2, hosts: hosts.slice(1) }, "platform");
        const change = reader.replica.changeFrom(1);
        assert.equal(follower.replica.offerChange({ ...change, records: [] }, "peer"), "base-differs");
        const whole = reader.replica.changeFrom(0);
        assert.equal(follower.replica.offerChange({ ...whole, records: whole.records.slice(1) }, "peer"), "invalid");
        assert.equal(follower.replica.version, 1);
        assert.equal(follower.refusals.length, 1);
        assert.equal(follower.replica.offerChange(change, "reader"), "adopted");
    });
});
