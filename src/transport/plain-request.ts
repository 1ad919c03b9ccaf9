const MAX_CACHED_HEAD_LENGTH = 400;
const MAX_CACHED_HEADS = 2048;
const REQUEST_LINE_PATTERN = /^(GET|POST) ([\x21-\x7e]+) HTTP\/1\.1$/;
const JSON_CONTENT_TYPE_PATTERN = /^application\/json(?:;\s*charset=utf-8)?$/i;

/**
 * Head of a plain request. A request is plain if it is simple enough to be parsed in this file: a GET or POST of HTTP/1.1 with a
 * JSON body of known length or none, and without transfer or content encoding, `Expect` or `Upgrade`.
 */
export interface PlainRequest {
  method: string;
  path: string;
  /** Length of the body in bytes; 0 if there is none. */
  contentLength: number;
  /** Whether the sender wants the connection closed after the response. */
  closeConnection: boolean;
}

/** Parses a head. Returns null if the request is not plain; a general HTTP server must then parse it. */
export function parsePlainHead(text: string): PlainRequest | null {
  const lines = text.split('\r\n');
  const [, method, path] = REQUEST_LINE_PATTERN.exec(lines[0] ?? '') ?? [];
  if (method === undefined || path === undefined) return null;
  const request: PlainRequest = { method, path, contentLength: 0, closeConnection: false };
  let hasLength = false;
  for (let i = 1; i < lines.length; i++) {
    const line = lines[i] as string;
    const colon = line.indexOf(':');
    if (colon <= 0) return null;
    const value = line.slice(colon + 1).trim();
    switch (line.slice(0, colon).toLowerCase()) {
      case 'content-length':
        if (!/^[0-9]{1,9}$/.test(value) || hasLength) return null;
        request.contentLength = Number(value);
        hasLength = true;
        break;
      case 'content-type':
        if (!JSON_CONTENT_TYPE_PATTERN.test(value)) return null;
        break;
      case 'connection':
        request.closeConnection = value.toLowerCase() === 'close';
        break;
      case 'transfer-encoding':
      case 'expect':
      case 'content-encoding':
      case 'upgrade':
        return null;
    }
  }
  return request;
}

/**
 * Caches parsed heads of POST requests, since a worker always sends the same few and parsing is a large part of the cost of a
 * heartbeat.
 */
export class PlainHeadCache {
  private readonly cached = new Map<string, PlainRequest>();

  /** Same as `parsePlainHead`. The result may be shared with other calls and must not be modified. */
  parse(text: string): PlainRequest | null {
    const cachedRequest = this.cached.get(text);
    if (cachedRequest) return cachedRequest;
    const request = parsePlainHead(text);
    if (request?.method === 'POST' && text.length <= MAX_CACHED_HEAD_LENGTH) {
      if (this.cached.size >= MAX_CACHED_HEADS) this.cached.clear();
      this.cached.set(text, request);
    }
    return request;
  }
}
