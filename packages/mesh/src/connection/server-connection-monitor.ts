/**
 * Notices when no connection to the local backend server is left: what is connected to next may be another start of the
 * server, whose connections end all at once. While an older connection is open, a new one leads to the same start.
 */

/** What the monitor needs of a socket. */
export interface MonitoredConnection {
    once(event: "end" | "close", listener: () => void): unknown;
    once(event: "error", listener: (error: NodeJS.ErrnoException) => void): unknown;
}

/** What the monitor reports. */
export interface ConnectionEvents {
    /** A connection was opened while no other one was open; called before anything is written on it. */
    readonly onFirstOpened: () => void;
    /** The last open connection was closed; `isLost` tells that the server ended it, or that it broke. */
    readonly onLastClosed: (isLost: boolean) => void;
}

/** Connections of one pool. */
export class ServerConnectionMonitor {
    private open = 0;

    private constructor(private readonly events: ConnectionEvents) {}

    static create(events: ConnectionEvents): ServerConnectionMonitor {
        return new ServerConnectionMonitor(events);
    }

    /** Records a connection that was opened. */
    add(socket: MonitoredConnection): void {
        if (this.open++ === 0) {
            this.events.onFirstOpened();
        }
        let isLost = false;
        socket.once("end", () => {
            isLost = true;
        });
        socket.once("error", error => {
            // Other errors are those with which this node closes the connection of a request that is given up.
            isLost ||= error.syscall !== undefined;
        });
        socket.once("close", () => {
            if (--this.open === 0) {
                this.events.onLastClosed(isLost);
            }
        });
    }
}
