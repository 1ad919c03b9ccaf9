import { createServer as createNetServer, type Server as NetServer } from 'node:net';
import { STATUS_CODES, type Server } from 'node:http';
import { NewestFirstQueue } from './fair-queue';

/** Takes the body of a request; answers once, at once or later. */
export type FastHandler = (body: string, answer: (status: number, body: string) => void) => void;

const HEAD_END = Buffer.from('\r\n\r\n');
const MAX_HEAD = 8 * 1024;

/**
 * Connections that may wait to be taken. They are taken in their order, so with more of them than a second's work each
 * would be given up by the time it is its turn; one that finds no place costs nothing and comes again.
 */
export const BACKLOG = 128;

interface Head {
  length: number;
  close: boolean;
}

/**
 * One port for two kinds of callers. Machines report hundreds of times a second with one and the same plain request:
 * that one is read here, straight from the socket, at a tenth of what a general HTTP server costs. A connection
 * whose next request is anything else, or not as plain, is handed to the general server with what was read of it.
 */
export function serveReports(path: string, handle: FastHandler, general: Server, maxBody: number): NetServer {
  const line = `POST ${path} HTTP/1.1\r\n`;
  const turns = new NewestFirstQueue(() => performance.now(), setImmediate);
  return createNetServer((socket) => {
    turns.arrived();
    let rest: Buffer = Buffer.alloc(0);
    let answering = false;
    let first = true;
    const onData = (chunk: Buffer): void => {
      rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      if (!answering) next();
    };
    const giveAway = (): void => {
      socket.off('data', onData);
      socket.off('error', onError);
      socket.pause();
      if (rest.length > 0) socket.unshift(rest);
      general.emit('connection', socket);
      socket.resume();
    };
    const onError = (): void => void socket.destroy();
    const next = (): void => {
      if (rest.length === 0) return;
      const seen = rest.toString('latin1', 0, Math.min(rest.length, line.length));
      if (seen !== line.slice(0, seen.length)) return giveAway();
      const end = rest.indexOf(HEAD_END);
      if (end < 0) return rest.length > MAX_HEAD ? giveAway() : undefined;
      const head = plainHead(rest.toString('latin1', line.length, end));
      if (!head || head.length > maxBody) return giveAway();
      const body = end + HEAD_END.length;
      // Bodies mostly come with their heads; else the head is read again once the rest is here.
      if (rest.length < body + head.length) return;
      const bytes = rest.subarray(body, body + head.length);
      rest = rest.subarray(body + head.length);
      answering = true;
      turns.add(
        () => !socket.destroyed && !socket.readableEnded,
        () =>
          handle(bytes.toString('utf8'), (status, answer) => {
            answering = false;
            if (socket.destroyed) return;
            socket.write(response(status, answer, head.close));
            if (head.close) socket.end();
            else next();
          }),
        first,
      );
      first = false;
    };
    socket.setNoDelay(true);
    socket.on('data', onData);
    socket.on('error', onError);
  });
}

/** What matters of a head, or null if it holds anything that a plain one does not. */
function plainHead(text: string): Head | null {
  let length = -1;
  let close = false;
  for (const field of text.split('\r\n')) {
    const colon = field.indexOf(':');
    const name = field.slice(0, colon).toLowerCase();
    const value = field.slice(colon + 1).trim();
    if (name === 'content-length') {
      if (!/^[0-9]{1,9}$/.test(value) || length >= 0) return null;
      length = Number(value);
    } else if (name === 'connection') close = value.toLowerCase() === 'close';
    else if (name === 'transfer-encoding' || name === 'expect' || name === 'content-encoding') return null;
  }
  return length < 0 ? null : { length, close };
}

function response(status: number, body: string, close: boolean): string {
  return (
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nContent-Type: application/json\r\n` +
    `Content-Length: ${Buffer.byteLength(body)}\r\n${close ? 'Connection: close\r\n' : ''}\r\n${body}`
  );
}
