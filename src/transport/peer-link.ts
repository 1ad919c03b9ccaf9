import { createServer, createConnection, type Socket } from 'node:net';
import { type Clock } from './clock';

/** Of a frame between controllers, in bytes: the load of some forty thousand machines. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

function readFrames(socket: Socket, frame: (bytes: Buffer) => void): void {
  let buffered: Buffer = Buffer.alloc(0);
  socket.on('data', (chunk: Buffer) => {
    buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
    while (buffered.length >= 4) {
      const size = buffered.readUInt32BE(0);
      if (size > MAX_FRAME_BYTES) {
        socket.destroy();
        return;
      }
      if (buffered.length < 4 + size) return;
      frame(buffered.subarray(4, 4 + size));
      buffered = buffered.subarray(4 + size);
    }
  });
}

function writeFrame(socket: Socket, bytes: Buffer): void {
  const head = Buffer.alloc(4);
  head.writeUInt32BE(bytes.length, 0);
  socket.write(Buffer.concat([head, bytes]));
}

/** Takes frames from the other controllers; `answer` may send frames back on the same connection. */
export function listenForPeers(
  host: string,
  port: number,
  receive: (bytes: Buffer, reply: (bytes: Buffer) => void) => void,
  onError: (error: Error) => void,
): void {
  const server = createServer((socket) => {
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    readFrames(socket, (bytes) =>
      receive(bytes, (reply) => {
        if (!socket.destroyed) writeFrame(socket, reply);
      }),
    );
  });
  server.on('error', onError);
  server.listen(port, host);
}

/** One outgoing connection to a peer, opened again after it breaks. Frames are dropped while it is down. */
export class PeerLink {
  private socket: Socket | null = null;
  private connected = false;
  private lastReceivedAt: number;

  constructor(
    private readonly address: string,
    private readonly clock: Clock,
    private readonly receive: (bytes: Buffer) => void,
  ) {
    this.lastReceivedAt = clock.steady();
    this.open();
  }

  send(bytes: Buffer): void {
    // A cut is silent: a connection that has answered nothing for a while is opened anew.
    if (this.clock.steady() - this.lastReceivedAt > 3000) this.socket?.destroy();
    // What a silent peer does not take must not pile up here.
    if (this.connected && this.socket && this.socket.writableLength < 256 * 1024)
      writeFrame(this.socket, bytes);
  }

  private open(): void {
    const colon = this.address.lastIndexOf(':');
    const socket = createConnection(Number(this.address.slice(colon + 1)), this.address.slice(0, colon));
    this.socket = socket;
    this.lastReceivedAt = this.clock.steady();
    socket.setNoDelay(true);
    socket.on('connect', () => {
      this.connected = true;
      this.lastReceivedAt = this.clock.steady();
    });
    readFrames(socket, (bytes) => {
      this.lastReceivedAt = this.clock.steady();
      this.receive(bytes);
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.connected = false;
      this.clock.schedule(500, () => this.open());
    });
  }
}
