import { heartbeatResponse, parseHeartbeat, redirectResponse } from '../../src/protocol/workers';
import type { HttpResponse } from '../../src/transport/http-client';
import { type VirtualTime } from '../standin/clock';
import { type FakeWorker } from '../standin/fake-worker';
import { isLeading, type ControllerNode } from './controller-node';
import { type RandomSource } from './random-source';

const ONE_WAY_LATENCY_MS = 2;
const CONNECTION_REFUSED_MS = 5;
const HEARTBEAT_TIMEOUT_MS = 4000;
/** One request in this many takes 2 to 8 s. */
const SLOW_REQUEST_ONE_IN = 150;
/** One heartbeat in this many is duplicated; the copy arrives late, at any controller. */
const DUPLICATED_HEARTBEAT_ONE_IN = 25;
/** At most this many recorded heartbeats, the newest ones, are replayed when a new controller leads. */
const MAX_REPLAYED_HEARTBEATS = 60;

/** A process of a controller as the sender of requests and frames. */
export interface ControllerProcess {
  node: ControllerNode;
  index: number;
  /** Whether this process still runs; false as well if another one has replaced it. */
  isUp: () => boolean;
}

/** Connects controllers, workers, cloud and state store, with delays, losses, duplicates and disconnected nodes. */
export class SimulatedNetwork {
  /** One write to the state store in this many gets no response and is applied late; 0 if none is. */
  delayOneWriteIn = 0;
  /** One write to the state store in this many is applied at once and only its response is lost; 0 if none is. */
  loseOneResponseIn = 0;
  /** Whether heartbeats are recorded, and copies are delivered to every controller as soon as a new one leads. */
  replayHeartbeatsToNextLeader = false;
  /**
   * The zone whose workers reach only the first controller, while that controller gets no heartbeats from other zones, no
   * frames from its peers and no responses to new requests to the state store; null if no zone is isolated. Requests to the
   * cloud, open watches, and duplicated or replayed heartbeats are not affected.
   */
  isolatedZone: string | null = null;
  private readonly recordedHeartbeats: { worker: FakeWorker; heartbeat: object }[] = [];
  private lastSeenLeader = -1;

  constructor(
    private readonly time: VirtualTime,
    private readonly random: RandomSource,
    private readonly nodes: readonly ControllerNode[],
  ) {}

  /** Sends a request to the state store; the response is null on a timeout. */
  requestStore(
    { node, index, isUp }: ControllerProcess,
    path: string,
    timeoutMs: number,
    send: (refused: () => boolean) => Promise<HttpResponse>,
  ): Promise<HttpResponse | null> {
    const unreachable = node.isolated || (this.isolatedZone !== null && index === 0);
    if (unreachable || (node.watchHangs && path.startsWith('/watch'))) return this.noResponse(timeoutMs);
    const isWrite = path === '/multi';
    if (isWrite && this.oneIn(this.delayOneWriteIn)) return this.applyAfterTimeout(timeoutMs, send);
    const responseLost = isWrite && this.oneIn(this.loseOneResponseIn);
    const refused = (): boolean => node.storeRefuses || node.isolated;
    return this.request(node, isUp, timeoutMs, () => send(refused), responseLost);
  }

  /** Sends a request to the cloud; the response is null on a timeout. */
  requestCloud(
    { node, isUp }: ControllerProcess,
    timeoutMs: number,
    send: () => Promise<HttpResponse>,
  ): Promise<HttpResponse | null> {
    return this.request(node, isUp, timeoutMs, send, false);
  }

  /** Sends a frame from one controller to another and delivers the reply to it. */
  sendFrame(from: ControllerProcess, toIndex: number, frame: Buffer): void {
    this.schedule(ONE_WAY_LATENCY_MS, () => {
      const peer = this.nodes[toIndex];
      const cut = this.isolatedZone !== null && (from.index === 0 || toIndex === 0);
      if (!from.isUp() || !peer?.up || peer.isolated || from.node.isolated || cut) return;
      const sendReply = (reply: Buffer): void =>
        this.schedule(ONE_WAY_LATENCY_MS, () =>
          this.runWhenResumed(from.node, () => this.receiveReply(from, reply)),
        );
      this.runWhenResumed(peer, () => peer.controller?.receiveFrame(frame, sendReply));
    });
  }

  private receiveReply({ node, isUp }: ControllerProcess, reply: Buffer): void {
    if (isUp()) node.controller?.receiveFrame(reply, () => undefined);
  }

  /** Delivers a worker's heartbeat to a controller; the response is null on a timeout. */
  deliverHeartbeat(index: number, worker: FakeWorker, heartbeat: object): Promise<HttpResponse | null> {
    return new Promise((resolve) => {
      this.schedule(HEARTBEAT_TIMEOUT_MS, () => resolve(null));
      const node = this.nodes[index] as ControllerNode;
      const cut = this.isolatedZone !== null && (worker.zone === this.isolatedZone) !== (index === 0);
      if (worker.heartbeatsLost || cut) return;
      // A heartbeat may reach the controller although no response reaches the machine.
      const respond = (response: HttpResponse): void => {
        if (!worker.responsesLost) this.schedule(ONE_WAY_LATENCY_MS, () => resolve(response));
      };
      const arrive = (): void =>
        this.runWhenResumed(node, () => this.receiveHeartbeat(index, worker, heartbeat, respond));
      if (!node.up) this.schedule(CONNECTION_REFUSED_MS, () => resolve(null));
      else if (node.cutFromWorkers) this.schedule(5000 + this.random.int(15_000), arrive);
      else {
        this.schedule(ONE_WAY_LATENCY_MS, arrive);
        this.copyHeartbeat(worker, heartbeat);
      }
    });
  }

  /**
   * Records a heartbeat if it is to be replayed. Delivers copies of some heartbeats to a random controller, 1 to 41 s late,
   * which can be well over the duration of a lease.
   */
  private copyHeartbeat(worker: FakeWorker, heartbeat: object): void {
    if (this.replayHeartbeatsToNextLeader) this.recordedHeartbeats.push({ worker, heartbeat });
    if (!this.oneIn(DUPLICATED_HEARTBEAT_ONE_IN)) return;
    const duplicateTo = this.random.int(this.nodes.length);
    this.schedule(1000 + this.random.int(40_000), () =>
      this.receiveHeartbeat(duplicateTo, worker, heartbeat),
    );
  }

  private receiveHeartbeat(
    index: number,
    worker: FakeWorker,
    heartbeat: object,
    respond: (response: HttpResponse) => void = () => undefined,
  ): void {
    const node = this.nodes[index] as ControllerNode;
    if (!node.up || !node.controller) return;
    const parsed = parseHeartbeat(JSON.parse(JSON.stringify(heartbeat)));
    if (!parsed) throw new Error(`${worker.name} sent a malformed heartbeat`);
    node.controller.receiveHeartbeat(parsed, (reply) => {
      if (reply.kind === 'answer')
        respond({ status: 200, body: heartbeatResponse(reply.token, reply.commands) });
      else if (reply.kind === 'redirect') respond({ status: 421, body: redirectResponse(reply.owner) });
      else respond({ status: 503, body: {} });
    });
  }

  /** Delivers copies of the recorded heartbeats to every controller at once as soon as a new one leads. */
  replayHeartbeats(): void {
    const leader = this.nodes.findIndex(isLeading);
    if (leader < 0 || leader === this.lastSeenLeader) return;
    this.lastSeenLeader = leader;
    for (const { worker, heartbeat } of this.recordedHeartbeats.splice(0).slice(-MAX_REPLAYED_HEARTBEATS))
      for (let index = 0; index < this.nodes.length; index++) this.receiveHeartbeat(index, worker, heartbeat);
  }

  /** Sends a request that takes a few milliseconds, sometimes seconds, and may outlive its sender. */
  private request(
    node: ControllerNode,
    isUp: () => boolean,
    timeoutMs: number,
    send: () => Promise<HttpResponse>,
    responseLost: boolean,
  ): Promise<HttpResponse | null> {
    return new Promise((resolve) => {
      const slow = this.oneIn(SLOW_REQUEST_ONE_IN);
      const delayMs = slow ? 2000 + this.random.int(6000) : 2 + this.random.int(6);
      const respond = (response: HttpResponse | null): void =>
        this.runWhenResumed(node, () => (isUp() ? resolve(response) : undefined));
      this.schedule(timeoutMs, () => respond(null));
      this.schedule(delayMs, () => {
        void send().then((response) => {
          if (!responseLost) this.schedule(ONE_WAY_LATENCY_MS, () => respond(response));
        });
      });
    });
  }

  /** Applies a write 2 to 12 s late, possibly after newer ones. Its sender has given up on it by then and gets no response. */
  private applyAfterTimeout(
    timeoutMs: number,
    send: (refused: () => boolean) => Promise<HttpResponse>,
  ): Promise<null> {
    this.schedule(2000 + this.random.int(10_000), () => void send(() => false));
    return this.noResponse(timeoutMs);
  }

  private noResponse(timeoutMs: number): Promise<null> {
    return new Promise((resolve) => this.schedule(timeoutMs, () => resolve(null)));
  }

  /** Runs the action now, or at the end of the process's pause. */
  private runWhenResumed(node: ControllerNode, action: () => void): void {
    if (this.time.now < node.pausedUntil) this.time.at(node.pausedUntil, action);
    else action();
  }

  private oneIn(count: number): boolean {
    return count > 0 && this.random.int(count) === 0;
  }

  private schedule(ms: number, action: () => void): void {
    this.time.at(this.time.now + ms, action);
  }
}
