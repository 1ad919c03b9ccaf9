const LONGEST_REMEMBERED = 400;
const MOST_REMEMBERED = 2048;
const REQUEST_LINE = /^(GET|POST) ([\x21-\x7e]+) HTTP\/1\.1$/;
const JSON_TYPE = /^application\/json(?:;\s*charset=utf-8)?$/i;

/** What matters of a request's head. */
export interface PlainRequest {
  method: string;
  path: string;
  /** Of the body; 0 if there is none. */
  length: number;
  /** Its sender wants the connection closed after the answer. */
  close: boolean;
}

/** Reads a head; null if it holds anything that a plain request does not: then a general server is to read it. */
export function parsePlainHead(text: string): PlainRequest | null {
  const lines = text.split('\r\n');
  const [, method, path] = REQUEST_LINE.exec(lines[0] ?? '') ?? [];
  if (method === undefined || path === undefined) return null;
  const request: PlainRequest = { method, path, length: 0, close: false };
  let hasLength = false;
  for (let i = 1; i < lines.length; i++) {
    const line = lines[i] as string;
    const colon = line.indexOf(':');
    if (colon <= 0) return null;
    const value = line.slice(colon + 1).trim();
    switch (line.slice(0, colon).toLowerCase()) {
      case 'content-length':
        if (!/^[0-9]{1,9}$/.test(value) || hasLength) return null;
        request.length = Number(value);
        hasLength = true;
        break;
      case 'content-type':
        if (!JSON_TYPE.test(value)) return null;
        break;
      case 'connection':
        request.close = value.toLowerCase() === 'close';
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
 * Remembers heads that come again and again: a machine sends the same few all day, and to take one apart costs a tenth of
 * what a report does.
 */
export class PlainHeads {
  private readonly known = new Map<string, PlainRequest>();

  parse(text: string): PlainRequest | null {
    const known = this.known.get(text);
    if (known) return known;
    const request = parsePlainHead(text);
    if (request?.method === 'POST' && text.length <= LONGEST_REMEMBERED) {
      if (this.known.size >= MOST_REMEMBERED) this.known.clear();
      this.known.set(text, request);
    }
    return request;
  }
}
