import { createServer, createConnection, type Socket } from 'node:net';
import { type Clock } from './clock';

/** Of a frame between controllers, in bytes: the load of some forty thousand machines. */
export const MAX_FRAME = 4 * 1024 * 1024;

function onFrames(socket: Socket, frame: (bytes: Buffer) => void): void {
  let rest: Buffer = Buffer.alloc(0);
  socket.on('data', (chunk: Buffer) => {
    rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
    while (rest.length >= 4) {
      const size = rest.readUInt32BE(0);
      if (size > MAX_FRAME) {
        socket.destroy();
        return;
      }
      if (rest.length < 4 + size) return;
      frame(rest.subarray(4, 4 + size));
      rest = rest.subarray(4 + size);
    }
  });
}

function send(socket: Socket, bytes: Buffer): void {
  const head = Buffer.alloc(4);
  head.writeUInt32BE(bytes.length, 0);
  socket.write(Buffer.concat([head, bytes]));
}

/** Takes frames from the other controllers; `answer` may send frames back on the same connection. */
export function listenForPeers(
  host: string,
  port: number,
  receive: (bytes: Buffer, answer: (bytes: Buffer) => void) => void,
  onError: (error: Error) => void,
): void {
  const server = createServer((socket) => {
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    onFrames(socket, (bytes) =>
      receive(bytes, (reply) => {
        if (!socket.destroyed) send(socket, reply);
      }),
    );
  });
  server.on('error', onError);
  server.listen(port, host);
}

/** One outgoing connection to a peer, opened again after it breaks. Frames are dropped while it is down. */
export class PeerLink {
  private socket: Socket | null = null;
  private up = false;
  private lastHeard: number;

  constructor(
    private readonly address: string,
    private readonly clock: Clock,
    private readonly receive: (bytes: Buffer) => void,
  ) {
    this.lastHeard = clock.steady();
    this.open();
  }

  send(bytes: Buffer): void {
    // A cut is silent: a connection that has answered nothing for a while is opened anew.
    if (this.clock.steady() - this.lastHeard > 3000) this.socket?.destroy();
    // What a silent peer does not take must not pile up here.
    if (this.up && this.socket && this.socket.writableLength < 256 * 1024) send(this.socket, bytes);
  }

  private open(): void {
    const colon = this.address.lastIndexOf(':');
    const socket = createConnection(Number(this.address.slice(colon + 1)), this.address.slice(0, colon));
    this.socket = socket;
    this.lastHeard = this.clock.steady();
    socket.setNoDelay(true);
    socket.on('connect', () => {
      this.up = true;
      this.lastHeard = this.clock.steady();
    });
    onFrames(socket, (bytes) => {
      this.lastHeard = this.clock.steady();
      this.receive(bytes);
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.up = false;
      this.clock.after(500, () => this.open());
    });
  }
}
