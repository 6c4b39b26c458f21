/**
 * One measured scenario of the bench.
 */

/** Measures by name; each is a plain number. */
export type Measures = Readonly<Record<string, number>>;

/** One scenario; prints its progress to the error output and returns what it measured. */
export interface Scenario {
    readonly name: string;
    /** What the scenario measures, in one line. */
    readonly description: string;
    run(): Promise<Measures>;
}
