/**
 * What operators ask a node: health, status, report and audit trail. Listens on loopback only.
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

/** Parts that the listener works with. */
export interface OperatorsListenerParts {
    readonly ledger: OutcomeLedger;
    readonly audit: AuditTrail;
    readonly load: () => LocalLoad;
    readonly status: () => NodeStatus;
    readonly version: () => ConfigurationVersion | undefined;
    readonly metrics: () => MetricsSnapshot;
}

/** Creates the server for operators. */
export function createOperatorsServer(parts: OperatorsListenerParts): Server {
    const application = express();
    application.get("/health", (_request, response) => {
        const status = parts.status();
        const isReady = status.state === "running" && status.configurationVersion !== undefined;
        response.status(isReady ? 200 : 503).json({ ready: isReady });
    });
    application.get("/status", (_request, response) => {
        response.json(parts.status());
    });
    application.get("/report", (_request, response) => {
        response.json(createReport(parts));
    });
    application.get("/metrics", (_request, response) => {
        response.json(parts.metrics());
    });
    application.get("/configuration", (_request, response) => {
        const version = parts.version();
        response.status(version ? 200 : 503).json(version?.configuration ?? {});
    });
    application.get("/audit", (request, response) => {
        response.json({ entries: parts.audit.since(Number(request.query["since"]) || 0) });
    });
    return createServer(application);
}

function createReport(parts: OperatorsListenerParts): NodeReport {
    const { host, startedAt } = parts.status();
    return {
        host,
        startedAt,
        time: new Date().toISOString(),
        openRequests: parts.ledger.openRequests,
        organisations: parts.ledger.snapshot(),
    };
}
