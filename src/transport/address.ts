/** The address on which a server listens or is reached. */
export interface SocketAddress {
  host: string;
  port: number;
}

/** Parses `host:port`, a form that the settings have already checked. */
export function parseAddress(address: string): SocketAddress {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
