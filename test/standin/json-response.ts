import type { HttpResponse } from '../../src/transport/http-client';

/** A response whose body was encoded as JSON and decoded again, as on the wire. */
export function jsonResponse(status: number, content: unknown): Promise<HttpResponse> {
  return Promise.resolve({ status, body: JSON.parse(JSON.stringify(content)) as unknown });
}
