import { create } from "@bufbuild/protobuf";
import {
    GrantAnswerSchema,
    GrantDemandSchema,
    GrantRequestSchema,
    GrantSchema,
    LeaseAnswerSchema,
    LeasedRangeSchema,
    LeaseRequestSchema,
    LeaseReturnSchema,
    ShareDemandSchema,
} from "@radishrouter/protocol";
import type { ControlMessage, GrantRequest, LeaseAnswer, LeaseRequest } from "@radishrouter/protocol";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
    AuditTrail,
    configurationSchema,
    ConfigurationVersion,
    defaultShareTimings,
    LeasedShareLimiter,
    ManualClock,
} from "../index.js";
import type { ReceivedMessage } from "../index.js";
import { CollectorAssignment, rangeOf } from "../process/rate-share/share-range.js";

const OWN = "khomas-a-0";
const PEER = "khomas-a-1";
const OWN_INCARNATION = 5n;
const PEER_INCARNATION = 9n;
const READY_MS = 4_000;
const { leaseMs, grantMs } = defaultShareTimings;
const hosts = [{ name: OWN, failureDomain: "khomas-a" }, { name: PEER, failureDomain: "khomas-a" }];

/** An organisation that a host is the collector for. */
function organisationCollectedBy(host: string): string {
    const assignment = CollectorAssignment.create(hosts);
    const names = Array.from({ length: 1_000 }, (_, index) => `organisation-${index}`);
    return names.find(name => assignment.collectorOf("khomas-a", rangeOf(name)) === host)!;
}

const ownOrganisation = organisationCollectedBy(OWN);
const peerOrganisation = organisationCollectedBy(PEER);

class TestNode {
    readonly clock = ManualClock.create();
    readonly sent: ControlMessage["body"][] = [];
    readonly limiter: LeasedShareLimiter;
    /** Live hosts that the node knows of. */
    knownHosts = hosts;
    private listener: ((received: ReceivedMessage) => void) | undefined;

    constructor() {
        this.limiter = LeasedShareLimiter.create({
            clock: this.clock,
            transport: {
                send: (_, body) => this.sent.push(body),
                subscribe: listener => {
                    this.listener = listener;
                    return () => (this.listener = undefined);
                },
            },
            audit: AuditTrail.create(),
            ownName: OWN,
            incarnation: OWN_INCARNATION,
            seat: { failureDomain: "khomas-a", number: 0 },
            liveHosts: () => this.knownHosts,
        });
        const limits = { rate: 100, burst: 100, keys: [] };
        this.limiter.setConfiguration(ConfigurationVersion.create(configurationSchema.parse({
            version: 1,
            organisations: { [ownOrganisation]: limits, [peerOrganisation]: limits },
            services: {},
            failureDomains: { "khomas-a": { region: "khomas", seats: 2 } },
        })));
        this.clock.advance(READY_MS);
    }

    receive(body: ControlMessage["body"]): void {
        const message = { body } as ControlMessage;
        this.listener?.({ sender: PEER, incarnation: PEER_INCARNATION, message });
    }

    fractionOf(organisation: string): number {
        return this.limiter.holdingOf(organisation)?.fraction ?? 0;
    }

    lastLeaseAnswer(): LeaseAnswer {
        const body = this.sent.findLast(body => body.case === "leaseAnswer");
        return body!.value as LeaseAnswer;
    }

    lastLeaseRequest(): LeaseRequest {
        const body = this.sent.findLast(body => body.case === "leaseRequest");
        return body!.value as LeaseRequest;
    }

    grantRequests(): GrantRequest[] {
        return this.sent.flatMap(body => body.case === "grantRequest" ? [body.value] : []);
    }
}

const claim = { failureDomain: "khomas-a", seat: 1 };

function leaseRequest(requestId: bigint, organisation = peerOrganisation): ControlMessage["body"] {
    const ranges = [rangeOf(organisation)];
    return {
        case: "leaseRequest",
        value: create(LeaseRequestSchema, { requestId, claim, ranges, durationMs: leaseMs, grantMs }),
    };
}

/** A lease request from the collector of another failure domain. */
function shareRequest(requestId: bigint, fraction: number): ControlMessage["body"] {
    const value = create(LeaseRequestSchema, {
        requestId,
        claim: { failureDomain: "khomas-b", seat: 0 },
        demands: [create(ShareDemandSchema, { organisation: ownOrganisation, fraction, demandPerSecond: 100 })],
        durationMs: defaultShareTimings.subleaseMs,
        grantMs,
    });
    return { case: "leaseRequest", value };
}

function grantRequest(requestId: bigint, tokens: number): ControlMessage["body"] {
    const demands = [create(GrantDemandSchema, {
        organisation: ownOrganisation,
        tokens,
        waiting: tokens,
        demandPerSecond: 1,
    })];
    return {
        case: "grantRequest",
        value: create(GrantRequestSchema, { requestId, claim, demands, durationMs: grantMs }),
    };
}

function leaseAnswer(request: LeaseRequest, askerIncarnation: bigint): ControlMessage["body"] {
    const ranges = request.ranges.map(range => create(LeasedRangeSchema, { range, fraction: 0.5 }));
    return {
        case: "leaseAnswer",
        value: create(LeaseAnswerSchema, { requestId: request.requestId, askerIncarnation, ranges }),
    };
}

function grantAnswer(request: GrantRequest, tokens: number): ControlMessage["body"] {
    const grants = [create(GrantSchema, { organisation: peerOrganisation, tokens, collecting: true })];
    return {
        case: "grantAnswer",
        value: create(GrantAnswerSchema, {
            requestId: request.requestId,
            askerIncarnation: OWN_INCARNATION,
            grants,
        }),
    };
}

describe("rate share messages", () => {
    test("a lender does not use a lent share until the lease and the grants made from it have expired", () => {
        const node = new TestNode();
        assert.equal(node.fractionOf(peerOrganisation), 0.5);
        node.receive(leaseRequest(1n));
        node.clock.advance(leaseMs + grantMs);
        assert.equal(node.fractionOf(peerOrganisation), 0);
        node.clock.advance(200);
        assert.equal(node.fractionOf(peerOrganisation), 0.5);
    });

    test("a duplicate request does not lend again after the lease was returned", () => {
        const node = new TestNode();
        node.receive(leaseRequest(1n));
        const ranges = [rangeOf(peerOrganisation)];
        const value = create(LeaseReturnSchema, { upToRequestId: 2n, ranges, remainingMs: 500 });
        node.receive({ case: "leaseReturn", value });
        node.receive(leaseRequest(1n));
        node.clock.advance(500);
        assert.equal(node.fractionOf(peerOrganisation), 0);
        node.clock.advance(200);
        assert.equal(node.fractionOf(peerOrganisation), 0.5);
    });

    test("a collector that stops returns its leases with the time until its grants expire", () => {
        const node = new TestNode();
        node.receive(leaseAnswer(node.lastLeaseRequest(), OWN_INCARNATION));
        assert.equal(node.fractionOf(ownOrganisation), 1);
        node.clock.advance(500);
        node.receive(grantRequest(1n, 10));
        node.clock.advance(100);
        node.limiter.close();
        const returned = node.sent.findLast(body => body.case === "leaseReturn");
        assert.ok(returned?.case === "leaseReturn" && returned.value.remainingMs >= grantMs - 100);
    });

    test("a seat's share is not lent while grants use it", () => {
        const node = new TestNode();
        node.clock.advance(1_000);
        node.receive(grantRequest(1n, 10));
        node.knownHosts = hosts.filter(host => host.name === PEER);
        node.clock.advance(200);
        node.receive(leaseRequest(2n, ownOrganisation));
        assert.equal(node.lastLeaseAnswer().ranges[0]!.fraction, 0);
        node.clock.advance(grantMs);
        node.receive(leaseRequest(3n, ownOrganisation));
        assert.equal(node.lastLeaseAnswer().ranges[0]!.fraction, 0.5);
    });

    test("a loan to another failure domain is limited to leases that outlast it", () => {
        const node = new TestNode();
        node.receive(leaseAnswer(node.lastLeaseRequest(), OWN_INCARNATION));
        node.clock.advance(leaseMs * 0.8);
        assert.equal(node.fractionOf(ownOrganisation), 1);
        node.receive(shareRequest(1n, 0.9));
        assert.equal(node.lastLeaseAnswer().shares[0]!.fraction, 0.5);
    });

    test("a loan to another failure domain does not include the burst of outstanding grants", () => {
        const node = new TestNode();
        node.clock.advance(2_000);
        node.receive(grantRequest(1n, 45));
        node.receive(shareRequest(2n, 0.4));
        const { fraction } = node.lastLeaseAnswer().shares[0]!;
        assert.ok(fraction > 0 && fraction <= 0.05 + 1e-9, `${fraction}`);
    });

    test("an answer to the previous process of the requester is ignored", () => {
        const node = new TestNode();
        node.receive(leaseAnswer(node.lastLeaseRequest(), OWN_INCARNATION - 1n));
        assert.equal(node.fractionOf(ownOrganisation), 0.5);
        node.receive(leaseAnswer(node.lastLeaseRequest(), OWN_INCARNATION));
        assert.equal(node.fractionOf(ownOrganisation), 1);
    });

    test("a borrower times its lease from before it sent the request", () => {
        const node = new TestNode();
        const request = node.lastLeaseRequest();
        node.clock.advance(leaseMs / 3);
        node.receive(leaseAnswer(request, OWN_INCARNATION));
        node.clock.advance(leaseMs * 2 / 3);
        assert.equal(node.fractionOf(ownOrganisation), 0.5);
    });

    test("a duplicate grant request is answered once", () => {
        const node = new TestNode();
        node.clock.advance(1_000);
        node.receive(grantRequest(1n, 10));
        node.receive(grantRequest(1n, 10));
        const answers = node.sent.flatMap(body => body.case === "grantAnswer" ? [body.value] : []);
        assert.deepEqual(answers.map(answer => answer.grants[0]!.tokens), [10]);
    });

    test("a grant whose answer arrives after a later one is ignored", async () => {
        const node = new TestNode();
        node.receive(leaseRequest(1n));
        void node.limiter.acquire(peerOrganisation);
        node.clock.advance(200);
        const [first, second] = node.grantRequests();
        node.receive(grantAnswer(second!, 4));
        const granted = node.limiter.holdingOf(peerOrganisation)?.granted;
        node.receive(grantAnswer(first!, 4));
        assert.equal(node.limiter.holdingOf(peerOrganisation)?.granted, granted);
    });
});
