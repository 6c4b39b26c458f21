/**
 * Admission pressure of the services along the call graph of one request.
 */

/** Pressure that one request had at one service. */
export interface AdmissionLevel {
    readonly service: string;
    /**
     * Fraction of its share of the queue that the request's organisation used: 0 when the request did not wait, up to
     * 1. When the request was shed, 1 is added.
     */
    readonly pressure: number;
}

/** Keeps the admission level with the highest pressure over the complete call graph of a request. */
export class ChainPressure {
    private level: AdmissionLevel | undefined;
    private depth = 0;

    private constructor() {}

    static create(): ChainPressure {
        return new ChainPressure();
    }

    /** Level with the highest pressure so far; undefined when no service reported one. */
    get highest(): AdmissionLevel | undefined {
        return this.level;
    }

    /** Depth of the downstream calls of the request: 0 without calls, 1 when no call makes further calls. */
    get downstreamDepth(): number {
        return this.depth;
    }

    /** Records a response to a downstream call whose own downstream calls have the given depth. */
    recordDownstreamDepth(depthBelowCall: number): void {
        this.depth = Math.max(this.depth, depthBelowCall + 1);
    }

    /** Records the level that a service reported. */
    observe(level: AdmissionLevel): void {
        if (!this.level || level.pressure >= this.level.pressure) {
            this.level = level;
        }
    }
}

const MAXIMUM_PRESSURE = 2;
const levelPattern = /^([a-z0-9][a-z0-9-]{0,62})=([012](?:\.[0-9]{1,3})?)$/;

/** Formats a level as a header value. */
export function formatAdmissionLevel(level: AdmissionLevel): string {
    return `${level.service}=${Math.min(MAXIMUM_PRESSURE, Math.max(0, level.pressure)).toFixed(2)}`;
}

/** Parses a level from a header value; returns undefined when the value is malformed. */
export function parseAdmissionLevel(text: string): AdmissionLevel | undefined {
    const match = levelPattern.exec(text);
    return match ? { service: match[1]!, pressure: Math.min(MAXIMUM_PRESSURE, Number(match[2])) } : undefined;
}
