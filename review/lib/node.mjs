/**
 * Starts nodes of the project as processes, with the command of the deploy file and settings of a small deployment.
 */
import { spawn } from "node:child_process";
import { closeSync, mkdirSync, openSync, readFileSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const repository = fileURLToPath(new URL("../../", import.meta.url));

/** Words of the `run` line of the only role in the deploy file. */
function deployCommand() {
    const deployFile = readFileSync(join(repository, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(deployFile)[1].split(" ");
}

/** One node process. */
export class Node {
    constructor(directory, options) {
        this.directory = directory;
        this.options = options;
        this.starts = 0;
    }

    /** Settings lines, with the figures of the site `klw-windhoek`. */
    settings() {
        const { name, host, zone, service, ports, store } = this.options;
        return [
            `NodeName=${name}`,
            "Role=node",
            "MachineClass=side",
            "Serves=side",
            `Ip=${host}`,
            `Zone=${zone}`,
            "Region=khomas",
            "Zones.khomas-a=khomas",
            "Zones.khomas-b=khomas",
            "Zones.khomas-c=khomas",
            `ListenAddrs.Inbound=${host}:${ports.inbound}`,
            `ListenAddrs.Outbound=${host}:${ports.outbound}`,
            `ListenAddrs.Ready=${host}:${ports.ready}`,
            `PortRange=${ports.first},${ports.metrics}`,
            "Seeds=",
            "Bootstrap=true",
            "InFailureBudget=false",
            "Limits.CpuShare=0.54",
            "Limits.Cores=2",
            "Limits.MemoryMb=350",
            "Limits.MaxFds=4100",
            "Limits.LinkMbps=1000.0",
            "Limits.DiskMb=0",
            "Discovery=platform",
            "Entry=static",
            "Heartbeat=1500ms",
            "Contracts=base,drain,config,cost,retry,recover,pressure,tenants,quota,platform",
            "FaultTolerance.Machines=1",
            "FaultTolerance.Zones=1",
            "FaultTolerance.Regions=0",
            "Bounds.SeedLag=3s",
            "Bounds.AddrReuse=2s",
            "Bounds.Contact=3000ms",
            "Bounds.Ack=4000ms",
            "Bounds.Catchup=4s",
            "Bounds.Drain=2000ms",
            "Bounds.Grace=6s",
            "Bounds.LossSlack=200ms",
            "Bounds.ConfigApply=2000ms",
            "Bounds.RollbackSlack=250ms",
            "Bounds.MaxSkew=5000ms",
            "Bounds.RevokeFailClosed=true",
            "Bounds.Revoke=5000ms",
            "Bounds.RetryBudgetRatio=0.2",
            "Bounds.BudgetWindow=10s",
            "Bounds.RetrySlack=48",
            "Bounds.QuotaWindow=5s",
            "Bounds.QuotaOver=0.25",
            "Bounds.QuotaSlack=20",
            "Bounds.Recover=15s",
            `AppAddr=${host}:${ports.target}`,
            `Service=${service}`,
            `Platform.Address=${store.host}:${store.port}`,
            "Platform.form=read",
            "Platform.WritesPerS=400",
            "Platform.ReadsPerS=2000",
            "Platform.History=20s",
            "Platform.ValueBytes=1048576",
            "Platform.TtlMin=1000ms",
        ];
    }

    /** Writes the settings file, as the platform does at each start and whenever the settings change. */
    writeSettings() {
        const settingsFile = join(this.directory, `${this.options.name}.conf`);
        writeFileSync(settingsFile, `${this.settings().join("\n")}\n`);
        return settingsFile;
    }

    start() {
        mkdirSync(this.directory, { recursive: true });
        const { name } = this.options;
        const settingsFile = this.writeSettings();
        const log = openSync(join(this.directory, `${name}-${++this.starts}.log`), "w");
        const [program, ...words] = deployCommand();
        const { PATH, HOME, LANG } = process.env;
        this.child = spawn(program, words, {
            cwd: repository,
            env: { PATH, HOME, LANG, RADISHROUTER_SETTINGS: settingsFile },
            stdio: ["ignore", log, log],
        });
        closeSync(log);
        this.exited = new Promise(resolve => {
            this.child.once("exit", (code, signal) => {
                this.ended = { code, signal };
                resolve(this.ended);
            });
        });
        this.ended = undefined;
    }

    signal(name) {
        this.child.kill(name);
    }

    async kill() {
        if (!this.ended) {
            this.child.kill("SIGKILL");
            await this.exited;
        }
    }

    /** Status of the readiness question; undefined without a response. */
    readiness() {
        const { host, ports } = this.options;
        return new Promise(resolve => {
            const request = get({ host, port: ports.ready, path: "/ready", agent: false, timeout: 1_000 }, response => {
                response.resume();
                resolve(response.statusCode);
            });
            request.on("timeout", () => request.destroy());
            request.on("error", () => resolve(undefined));
        });
    }
}
