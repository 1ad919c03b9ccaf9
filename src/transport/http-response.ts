const HEAD_END = Buffer.from('\r\n\r\n');
const LINE_END = Buffer.from('\r\n');
const MAX_HEAD_BYTES = 16 * 1024;
const MAX_CHUNK_LINE_BYTES = 1024;
/** Far more than the servers used here send. A faulty server must not exhaust the memory. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;
const STATUS_LINE_PATTERN = /^HTTP\/1\.([01]) ([1-5][0-9]{2})(?: |$)/;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/** `more`: bytes are missing. `complete`: `status` and `body` hold the response. `malformed`: the connection is unusable. */
export type ReadProgress = 'more' | 'complete' | 'malformed';

/** How the end of a body is determined. */
type Framing = { kind: 'length'; length: number } | { kind: 'chunked' } | { kind: 'until-close' };

interface Head {
  status: number;
  framing: Framing;
  keepAlive: boolean;
}

/**
 * Parses one HTTP/1.1 response from the bytes of a connection, however they are split. Supports what a JSON service may
 * send: bodies with a length, in chunks, or up to the end of the connection. Skips interim (1xx) responses.
 */
export class ResponseReader {
  status = 0;
  body: Buffer = Buffer.alloc(0);
  /** Whether the connection may carry another request after this response. */
  keepAlive = false;
  /** Whether bytes followed the response although no other request had been sent. */
  hasTrailingBytes = false;
  private head: Head | null = null;
  private buffered: Buffer = Buffer.alloc(0);
  private readonly chunks: Buffer[] = [];
  private chunksLength = 0;

  /** Parses the next bytes of the connection. Must not be called again after `complete` or `malformed`. */
  push(bytes: Buffer): ReadProgress {
    this.buffered = this.buffered.length === 0 ? bytes : Buffer.concat([this.buffered, bytes]);
    if (this.head === null) {
      const progress = this.readHead();
      if (progress !== 'complete') return progress;
    }
    return this.readBody(this.head as unknown as Head);
  }

  /** Handles the end of the connection by the server, which completes a body without a length. */
  end(): ReadProgress {
    if (this.head?.framing.kind !== 'until-close') return 'malformed';
    return this.finish(this.buffered, this.buffered.length);
  }

  private readHead(): ReadProgress {
    for (;;) {
      const end = this.buffered.indexOf(HEAD_END);
      if (end < 0) return this.buffered.length > MAX_HEAD_BYTES ? 'malformed' : 'more';
      const head = parseHead(this.buffered.toString('latin1', 0, end));
      if (head === null) return 'malformed';
      this.buffered = this.buffered.subarray(end + HEAD_END.length);
      // Interim responses precede the final one.
      if (head.status < 200) continue;
      this.head = head;
      return 'complete';
    }
  }

  private readBody({ framing }: Head): ReadProgress {
    switch (framing.kind) {
      case 'length':
        return this.buffered.length < framing.length ? 'more' : this.finish(this.buffered, framing.length);
      case 'chunked':
        return this.readChunks();
      case 'until-close':
        return this.buffered.length > MAX_BODY_BYTES ? 'malformed' : 'more';
    }
  }

  private readChunks(): ReadProgress {
    for (;;) {
      const lineEnd = this.buffered.indexOf(LINE_END);
      if (lineEnd < 0) return this.buffered.length > MAX_CHUNK_LINE_BYTES ? 'malformed' : 'more';
      const size = /^([0-9a-fA-F]{1,7})[ \t]*(?:;.*)?$/.exec(
        this.buffered.toString('latin1', 0, lineEnd),
      )?.[1];
      if (size === undefined) return 'malformed';
      const length = parseInt(size, 16);
      const start = lineEnd + LINE_END.length;
      if (length === 0) return this.readTrailer(start);
      const next = start + length + LINE_END.length;
      if (this.buffered.length < next) return 'more';
      if (!this.buffered.subarray(next - LINE_END.length, next).equals(LINE_END)) return 'malformed';
      this.chunks.push(this.buffered.subarray(start, start + length));
      this.chunksLength += length;
      if (this.chunksLength > MAX_BODY_BYTES) return 'malformed';
      this.buffered = this.buffered.subarray(next);
    }
  }

  /** Skips the fields after the last chunk, up to an empty line. */
  private readTrailer(start: number): ReadProgress {
    for (let from = start; ;) {
      const lineEnd = this.buffered.indexOf(LINE_END, from);
      if (lineEnd < 0) return this.buffered.length - start > MAX_HEAD_BYTES ? 'malformed' : 'more';
      if (lineEnd === from) {
        this.hasTrailingBytes = this.buffered.length > lineEnd + LINE_END.length;
        return this.finish(Buffer.concat(this.chunks), this.chunksLength);
      }
      from = lineEnd + LINE_END.length;
    }
  }

  private finish(bytes: Buffer, length: number): 'complete' {
    const head = this.head as Head;
    this.hasTrailingBytes ||= bytes.length > length;
    this.status = head.status;
    this.body = bytes.subarray(0, length);
    this.keepAlive = head.keepAlive && head.framing.kind !== 'until-close' && !this.hasTrailingBytes;
    return 'complete';
  }
}

function parseHead(text: string): Head | null {
  const lines = text.split('\r\n');
  const statusLine = STATUS_LINE_PATTERN.exec(lines[0] ?? '');
  if (!statusLine) return null;
  const status = Number(statusLine[2]);
  let keepAlive = statusLine[1] === '1';
  let length: number | null = null;
  let chunked = false;
  for (const line of lines.slice(1)) {
    const colon = line.indexOf(':');
    if (colon <= 0) return null;
    const value = line.slice(colon + 1).trim();
    switch (line.slice(0, colon).toLowerCase()) {
      case 'content-length':
        // Two different lengths make it ambiguous where the next response begins.
        if (!/^[0-9]{1,8}$/.test(value) || (length !== null && length !== Number(value))) return null;
        length = Number(value);
        break;
      case 'transfer-encoding':
        if (value.toLowerCase() !== 'chunked') return null;
        chunked = true;
        break;
      case 'connection':
        keepAlive = value.toLowerCase() === 'keep-alive' || (keepAlive && value.toLowerCase() !== 'close');
    }
  }
  if (length !== null && length > MAX_BODY_BYTES) return null;
  return { status, keepAlive, framing: framingOf(status, length, chunked) };
}

function framingOf(status: number, length: number | null, chunked: boolean): Framing {
  if (status < 200 || status === STATUS_NO_CONTENT || status === STATUS_NOT_MODIFIED)
    return { kind: 'length', length: 0 };
  if (chunked) return { kind: 'chunked' };
  return length === null ? { kind: 'until-close' } : { kind: 'length', length };
}
