/**
 * Calls to the control ports of stand-ins, and to nodes.
 */
import { request } from "undici";

/** Puts a value; throws unless the answer is a plain success. */
export async function put(url: string, value: unknown): Promise<void> {
    const answer = await request(url, { method: "PUT", body: JSON.stringify(value) });
    await answer.body.dump();
    if (answer.statusCode !== 200) {
        throw new Error(`${url} answered ${answer.statusCode}`);
    }
}

/** Gets a JSON value. */
export async function getJson(url: string): Promise<unknown> {
    const answer = await request(url);
    return answer.body.json();
}
