/**
 * HTTP calls to the control ports of stand-ins and to the operators' ports of nodes.
 */
import { request } from "undici";

/** Sends a value as JSON with PUT; throws unless the response has status 200. */
export async function put(url: string, value: unknown): Promise<void> {
    const response = await request(url, { method: "PUT", body: JSON.stringify(value) });
    await response.body.dump();
    if (response.statusCode !== 200) {
        throw new Error(`PUT ${url} returned status ${response.statusCode}, expected 200`);
    }
}

/** Fetches a JSON value with GET. */
export async function getJson(url: string): Promise<unknown> {
    const response = await request(url);
    return response.body.json();
}
