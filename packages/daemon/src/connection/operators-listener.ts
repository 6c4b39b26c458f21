/**
 * Listener for operators: health, status, report, metrics, configuration and audit trail. Listens on loopback only.
 */
import type {
    AuditTrail,
    ConfigurationVersion,
    LocalLoad,
    NodeReport,
    NodeStatus,
    OutcomeLedger,
} from "@radishrouter/core";
import express from "express";
import type { Server } from "node:http";
import { createServer } from "node:http";
import type { MetricsSnapshot } from "../process/metrics.js";
import { WaitingRequests } from "./waiting-requests.js";

/** Connections of operators at a time. */
const MAXIMUM_CONNECTIONS = 64;
/** Unanswered requests of one connection from which it is not read any more. */
const MAXIMUM_WAITING_REQUESTS = 4;
/** Time for a complete request, and for a response to make progress. */
const TIMEOUT_MS = 20_000;
const CHECK_INTERVAL_MS = 1_000;

/** Dependencies of the listener. */
export interface OperatorsListenerDependencies {
    readonly ledger: OutcomeLedger;
    readonly audit: AuditTrail;
    readonly load: () => LocalLoad;
    readonly status: () => NodeStatus;
    readonly version: () => ConfigurationVersion | undefined;
    readonly metrics: () => MetricsSnapshot;
}

/** Creates the HTTP server for operators. */
export function createOperatorsServer(dependencies: OperatorsListenerDependencies): Server {
    const application = express();
    application.get("/health", (_request, response) => {
        const status = dependencies.status();
        const isReady = status.state === "running" && status.configurationVersion !== undefined;
        response.status(isReady ? 200 : 503).json({ ready: isReady });
    });
    application.get("/status", (_request, response) => {
        response.json(dependencies.status());
    });
    application.get("/report", (_request, response) => {
        response.json(createReport(dependencies));
    });
    application.get("/metrics", (_request, response) => {
        response.json(dependencies.metrics());
    });
    application.get("/configuration", (_request, response) => {
        const version = dependencies.version();
        response.status(version ? 200 : 503).json(version?.configuration ?? {});
    });
    application.get("/audit", (request, response) => {
        response.json({ entries: dependencies.audit.since(Number(request.query["since"]) || 0) });
    });
    const waitingRequests = WaitingRequests.create(MAXIMUM_WAITING_REQUESTS);
    const options = {
        headersTimeout: TIMEOUT_MS,
        requestTimeout: TIMEOUT_MS,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
    };
    const server = createServer(options, (request, response) => {
        if (waitingRequests.admit(request, response)) {
            application(request, response);
        }
    });
    server.maxConnections = MAXIMUM_CONNECTIONS;
    // A response that is not read for this time closes its connection.
    server.timeout = TIMEOUT_MS;
    return server;
}

function createReport(dependencies: OperatorsListenerDependencies): NodeReport {
    const { host, startedAt } = dependencies.status();
    return {
        host,
        startedAt,
        time: new Date().toISOString(),
        openRequests: dependencies.ledger.openRequests,
        organisations: dependencies.ledger.snapshot(),
    };
}
