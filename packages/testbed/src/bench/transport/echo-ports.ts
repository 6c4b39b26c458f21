/**
 * Ports of the echo servers, counted from the first.
 */
export const echoPorts = { plain: 0, express: 1, connect: 2 } as const;
