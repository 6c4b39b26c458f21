/**
 * How hard it was for one request to be admitted by the services that it met.
 */

/** Admission of one request by one service. */
export interface AdmissionLevel {
    readonly service: string;
    /**
     * Part of its share of the queue that the request's organisation used: 0 when the request did not wait, up to 1.
     * When the request was shed, 1 is added.
     */
    readonly pressure: number;
}

/** Keeps the tightest admission level that a request met, over its whole call graph. */
export class ChainPressure {
    private level: AdmissionLevel | undefined;
    private depth = 0;

    private constructor() {}

    static create(): ChainPressure {
        return new ChainPressure();
    }

    /** Tightest level so far; undefined when no service told one. */
    get highest(): AdmissionLevel | undefined {
        return this.level;
    }

    /** Calls that stand below the request one under the other. */
    get downstreamDepth(): number {
        return this.depth;
    }

    /** Records that an answer came back from a call with so many calls below it. */
    recordDownstreamDepth(callsBelow: number): void {
        this.depth = Math.max(this.depth, callsBelow + 1);
    }

    /** Records the level that a service told. */
    observe(level: AdmissionLevel): void {
        if (!this.level || level.pressure >= this.level.pressure) {
            this.level = level;
        }
    }
}

const PRESSURE_AT_MOST = 2;
const levelPattern = /^([a-z0-9][a-z0-9-]{0,62})=([012](?:\.[0-9]{1,3})?)$/;

/** Writes a level as the value of a header. */
export function formatAdmissionLevel(level: AdmissionLevel): string {
    return `${level.service}=${Math.min(PRESSURE_AT_MOST, Math.max(0, level.pressure)).toFixed(2)}`;
}

/** Reads a level; undefined when the text holds none. */
export function parseAdmissionLevel(text: string): AdmissionLevel | undefined {
    const match = levelPattern.exec(text);
    return match ? { service: match[1]!, pressure: Math.min(PRESSURE_AT_MOST, Number(match[2])) } : undefined;
}
