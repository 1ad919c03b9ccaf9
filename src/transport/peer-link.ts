import { parseAddress } from './address';
import { createConnection, createServer, type Server, type Socket } from 'node:net';
import { type Clock } from './clock';

/*
 * Frame format between controllers, over TCP: a four-byte big-endian length, followed by that many bytes of content.
 */

/** The largest frame between controllers: the load of about forty thousand machines. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

const LENGTH_BYTES = 4;
/** A connection on which nothing was received for longer is reopened, because a cut connection reports no error. */
const SILENCE_LIMIT_MS = 3000;
const RECONNECT_MS = 500;
/** Frames are dropped while at least this much sent to a peer is still buffered. */
const MAX_UNSENT_BYTES = 256 * 1024;

/** Calls `onFrame` with the content of each frame; ends the connection at a frame that is too large. */
function readFrames(socket: Socket, onFrame: (content: Buffer) => void): void {
  let buffered: Buffer = Buffer.alloc(0);
  socket.on('data', (chunk: Buffer) => {
    buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
    while (buffered.length >= LENGTH_BYTES) {
      const length = buffered.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) {
        socket.destroy();
        return;
      }
      const end = LENGTH_BYTES + length;
      if (buffered.length < end) return;
      onFrame(buffered.subarray(LENGTH_BYTES, end));
      buffered = buffered.subarray(end);
    }
  });
}

function writeFrame(socket: Socket, content: Buffer): void {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length, 0);
  socket.write(Buffer.concat([length, content]));
}

/** Listen address and callbacks of a server for peers. */
export interface PeerServerOptions {
  host: string;
  port: number;
  /** Called with the content of each frame. `reply` sends a frame back on the same connection, unless it is closed. */
  onFrame: (content: Buffer, reply: (content: Buffer) => void) => void;
  /** Called if the server cannot listen or stops listening because of an error. */
  onError: (error: Error) => void;
}

/** Receives frames from the other controllers until the returned server is closed. */
export function listenForPeers({ host, port, onFrame, onError }: PeerServerOptions): Server {
  const server = createServer((socket) => {
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    readFrames(socket, (content) =>
      onFrame(content, (replyContent) => {
        if (!socket.destroyed) writeFrame(socket, replyContent);
      }),
    );
  });
  server.on('error', onError);
  server.listen(port, host);
  return server;
}

/** An outgoing connection to a peer, reopened after it fails. Frames sent while it is down are dropped. */
export class PeerLink {
  private readonly host: string;
  private readonly port: number;
  private socket: Socket | null = null;
  private connected = false;
  private closed = false;
  private lastReceivedAt: number;
  private cancelReconnect: (() => void) | null = null;

  /** `address` is `host:port`. `onFrame` is called with the content of each frame that the peer sends back. */
  constructor(
    address: string,
    private readonly clock: Clock,
    private readonly onFrame: (content: Buffer) => void,
  ) {
    const { host, port } = parseAddress(address);
    this.host = host;
    this.port = port;
    this.lastReceivedAt = clock.steady();
    this.open();
  }

  /** Sends a frame, or drops it if the peer is not connected or does not read the frames sent before. */
  send(content: Buffer): void {
    if (this.clock.steady() - this.lastReceivedAt > SILENCE_LIMIT_MS) this.socket?.destroy();
    // Frames for a peer that does not read must not accumulate here.
    if (this.connected && this.socket && this.socket.writableLength < MAX_UNSENT_BYTES) {
      writeFrame(this.socket, content);
    }
  }

  /** Closes the connection; it is not reopened. */
  close(): void {
    this.closed = true;
    this.cancelReconnect?.();
    this.socket?.destroy();
  }

  private open(): void {
    const socket = createConnection(this.port, this.host);
    this.socket = socket;
    this.lastReceivedAt = this.clock.steady();
    socket.setNoDelay(true);
    socket.on('connect', () => {
      this.connected = true;
      this.lastReceivedAt = this.clock.steady();
    });
    readFrames(socket, (content) => {
      this.lastReceivedAt = this.clock.steady();
      this.onFrame(content);
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.connected = false;
      if (!this.closed) this.cancelReconnect = this.clock.schedule(RECONNECT_MS, () => this.open());
    });
  }
}
