import { heartbeatResponse, parseHeartbeat, redirectResponse } from '../../src/protocol/workers';
import type { HttpResponse } from '../../src/transport/http-client';
import { type VirtualTime } from '../standin/clock';
import { type FakeWorker } from '../standin/fake-worker';
import { isLeading, type ControllerNode } from './controller-node';
import { type RandomSource } from './random-source';

const ONE_WAY_MS = 2;
const CONNECTION_REFUSED_MS = 5;
const HEARTBEAT_TIMEOUT_MS = 4000;
/** One request in so many comes seconds late. */
const SLOW_REQUEST_ONE_IN = 150;
/** Of one heartbeat in so many a copy comes late, at any controller. */
const COPIED_HEARTBEAT_ONE_IN = 25;
/** So many of the recorded heartbeats are replayed to a new leader. */
const MAX_REPLAYED_HEARTBEATS = 60;

/** A process of a controller as the network sees it. */
export interface Endpoint {
  node: ControllerNode;
  index: number;
  /** Whether this very process still runs. */
  isUp: () => boolean;
}

/** What connects controllers, workers, cloud and state service: delays, losses, copies, partitions. */
export class SimulatedNetwork {
  /** Of the writes to the state service, one in this many gets no answer and is applied late; 0: none. */
  delayOneWriteIn = 0;
  /** Of the writes to the state service, one in this many is applied at once and only its answer is lost; 0: none. */
  loseOneResponseIn = 0;
  /** Copies of heartbeats are kept, and brought to every controller as soon as a new one leads. */
  replayHeartbeatsToNextLeader = false;
  /** This zone and the first controller see each other and nobody else; state service and cloud are outside. */
  isolatedZone: string | null = null;
  private readonly recordedHeartbeats: { worker: FakeWorker; heartbeat: object }[] = [];
  private lastSeenLeader = -1;

  constructor(
    private readonly time: VirtualTime,
    private readonly random: RandomSource,
    private readonly nodes: readonly ControllerNode[],
  ) {}

  /** A request to the state service. */
  requestStore(
    { node, index, isUp }: Endpoint,
    path: string,
    timeoutMs: number,
    send: (refused: () => boolean) => Promise<HttpResponse>,
  ): Promise<HttpResponse | null> {
    const unreachable = node.isolated || (this.isolatedZone !== null && index === 0);
    if (unreachable || (node.watchHangs && path.startsWith('/watch'))) return this.noAnswer(timeoutMs);
    const isWrite = path === '/multi';
    if (isWrite && this.oneIn(this.delayOneWriteIn)) return this.applyAfterTimeout(timeoutMs, send);
    const responseLost = isWrite && this.oneIn(this.loseOneResponseIn);
    const refused = (): boolean => node.storeRefuses || node.isolated;
    return this.request(node, isUp, timeoutMs, () => send(refused), responseLost);
  }

  /** A request to the cloud. */
  requestCloud(
    { node, isUp }: Endpoint,
    timeoutMs: number,
    send: () => Promise<HttpResponse>,
  ): Promise<HttpResponse | null> {
    return this.request(node, isUp, timeoutMs, send, false);
  }

  /** A frame from one controller to another, and the reply to it. */
  sendFrame(from: Endpoint, toIndex: number, frame: Buffer): void {
    this.later(ONE_WAY_MS, () => {
      const peer = this.nodes[toIndex];
      const cut = this.isolatedZone !== null && (from.index === 0 || toIndex === 0);
      if (!from.isUp() || !peer?.up || peer.isolated || from.node.isolated || cut) return;
      const sendReply = (reply: Buffer): void =>
        this.later(ONE_WAY_MS, () => this.onceResumed(from.node, () => this.receiveReply(from, reply)));
      this.onceResumed(peer, () => peer.controller?.receiveFrame(frame, sendReply));
    });
  }

  private receiveReply({ node, isUp }: Endpoint, reply: Buffer): void {
    if (isUp()) node.controller?.receiveFrame(reply, () => undefined);
  }

  /** Brings a worker's heartbeat to a controller; null: no answer in time. */
  deliverHeartbeat(index: number, worker: FakeWorker, heartbeat: object): Promise<HttpResponse | null> {
    return new Promise((resolve) => {
      this.later(HEARTBEAT_TIMEOUT_MS, () => resolve(null));
      const node = this.nodes[index] as ControllerNode;
      const cut = this.isolatedZone !== null && (worker.zone === this.isolatedZone) !== (index === 0);
      if (worker.heartbeatsLost || cut) return;
      // What reaches a controller from a machine need not mean that the machine is reached.
      const respond = (response: HttpResponse): void => {
        if (!worker.responsesLost) this.later(ONE_WAY_MS, () => resolve(response));
      };
      const arrive = (): void =>
        this.onceResumed(node, () => this.receiveHeartbeat(index, worker, heartbeat, respond));
      if (!node.up) this.later(CONNECTION_REFUSED_MS, () => resolve(null));
      else if (node.cutFromWorkers) this.later(5000 + this.random.int(15_000), arrive);
      else {
        this.later(ONE_WAY_MS, arrive);
        this.copyHeartbeat(worker, heartbeat);
      }
    });
  }

  /** Copies of old heartbeats come late, by seconds to well over a lease, and to any controller. */
  private copyHeartbeat(worker: FakeWorker, heartbeat: object): void {
    if (this.replayHeartbeatsToNextLeader) this.recordedHeartbeats.push({ worker, heartbeat });
    if (!this.oneIn(COPIED_HEARTBEAT_ONE_IN)) return;
    const copyTo = this.random.int(this.nodes.length);
    this.later(1000 + this.random.int(40_000), () => this.receiveHeartbeat(copyTo, worker, heartbeat));
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
    if (!parsed) throw new Error(`${worker.name} sent no heartbeat`);
    node.controller.receiveHeartbeat(parsed, (reply) => {
      if (reply.kind === 'answer')
        respond({ status: 200, body: heartbeatResponse(reply.token, reply.commands) });
      else if (reply.kind === 'redirect') respond({ status: 421, body: redirectResponse(reply.owner) });
      else respond({ status: 503, body: {} });
    });
  }

  /** As soon as a new leader has begun, copies of heartbeats from before reach every controller at once. */
  replayHeartbeats(): void {
    const leader = this.nodes.findIndex(isLeading);
    if (leader < 0 || leader === this.lastSeenLeader) return;
    this.lastSeenLeader = leader;
    for (const { worker, heartbeat } of this.recordedHeartbeats.splice(0).slice(-MAX_REPLAYED_HEARTBEATS))
      for (let index = 0; index < this.nodes.length; index++) this.receiveHeartbeat(index, worker, heartbeat);
  }

  /** A request that takes a few milliseconds, now and then comes late, and may outlive its sender. */
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
        this.onceResumed(node, () => (isUp() ? resolve(response) : undefined));
      this.later(timeoutMs, () => respond(null));
      this.later(delayMs, () => {
        void send().then((response) => {
          if (!responseLost) this.later(ONE_WAY_MS, () => respond(response));
        });
      });
    });
  }

  /** A write whose sender gives up on it, and which is applied all the same, after newer ones. */
  private applyAfterTimeout(
    timeoutMs: number,
    send: (refused: () => boolean) => Promise<HttpResponse>,
  ): Promise<null> {
    this.later(2000 + this.random.int(10_000), () => void send(() => false));
    return this.noAnswer(timeoutMs);
  }

  private noAnswer(timeoutMs: number): Promise<null> {
    return new Promise((resolve) => this.later(timeoutMs, () => resolve(null)));
  }

  /** Does it now, or once the process is no longer paused. */
  private onceResumed(node: ControllerNode, action: () => void): void {
    if (this.time.now < node.pausedUntil) this.time.at(node.pausedUntil, action);
    else action();
  }

  private oneIn(count: number): boolean {
    return count > 0 && this.random.int(count) === 0;
  }

  private later(ms: number, action: () => void): void {
    this.time.at(this.time.now + ms, action);
  }
}
