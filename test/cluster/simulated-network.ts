import { MAX_BODY_BYTES, MAX_LINE_BYTES } from '../../src/protocol/message-limits';
import { jsonBytes } from '../../src/protocol/store';
import { heartbeatResponse, parseHeartbeat, redirectResponse } from '../../src/protocol/workers';
import { MAX_FRAME_BYTES } from '../../src/transport/peer-link';
import type { HttpResponse } from '../../src/transport/http-client';
import { type VirtualTime } from '../standin/clock';
import { type FakeWorker } from '../standin/fake-worker';
import { isLeading, ownedPartitions, type ControllerNode } from './controller-node';
import { type RandomSource } from './random-source';

const ONE_WAY_LATENCY_MS = 2;
const CONNECTION_REFUSED_MS = 5;
const HEARTBEAT_TIMEOUT_MS = 4000;
/** One request in this many takes 2 to 8 s. */
const SLOW_REQUEST_ONE_IN = 150;
const COPIED_RESPONSE_DELAY_MS = 16_000;
/** One message in this many that is sent into a cut is held back; the others are lost. */
const HELD_BACK_ONE_IN = 2;
/** At most this many recorded heartbeats, the newest ones, are replayed. */
const MAX_REPLAYED_HEARTBEATS = 60;
const REPLAY_DELAYS_MS = [50, 150, 300];

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
  /** One heartbeat in this many is duplicated; the copy arrives late, at any controller. */
  duplicateOneHeartbeatIn = 25;
  /**
   * One heartbeat in this many is repeated within its timeout, at any controller; 0 if none is. The worker gets the response to
   * whichever of the two is answered first.
   */
  repeatOneHeartbeatIn = 0;
  /** One response to a heartbeat in this many is handled again, late, which no worker does; 0 if none is. */
  copyOneResponseIn = 0;
  /** Whether heartbeats are recorded, and copies are delivered to every controller as soon as a new one leads. */
  replayHeartbeatsToNextLeader = false;
  /** Called with a description of each message between controllers and workers, or among controllers, that exceeds its limit. */
  onOversized: (description: string) => void = () => undefined;
  /** Copies of heartbeats of at least this age reach every controller as soon as a partition has a new owner; none if null. */
  replayToNextOwnerFromAgeMs: number | null = null;
  private isolated: string | null = null;
  /** Messages that are held back because the zone is isolated, in the order in which they were sent. */
  private readonly heldBack: (() => void)[] = [];
  private readonly recordedHeartbeats: { worker: FakeWorker; heartbeat: object }[] = [];
  private readonly recordedForNextOwner: { worker: FakeWorker; heartbeat: object; sentAt: number }[] = [];
  private lastSeenLeader = -1;
  private lastSeenOwners = '';

  constructor(
    private readonly time: VirtualTime,
    private readonly random: RandomSource,
    private readonly nodes: readonly ControllerNode[],
  ) {}

  /**
   * The zone that is cut off from everything else, with the first controller in it; null if none is. Inside, that controller and
   * the workers of the zone reach each other. It gets no frames of its peers, and no responses of the state store or the cloud, not
   * even to requests and watches that it sent before. PROTOCOL ("Delayed messages"): requests and heartbeats that are in transit
   * across the cut, and some that are sent during it, are held back and delivered in order once it ends, when their senders have given
   * up.
   */
  get isolatedZone(): string | null {
    return this.isolated;
  }

  set isolatedZone(zone: string | null) {
    this.isolated = zone;
    if (zone === null) for (const deliver of this.heldBack.splice(0)) deliver();
  }

  /** Whether the cut separates a controller from everything outside the isolated zone. */
  private isCutOff(index: number): boolean {
    return this.isolated !== null && index === 0;
  }

  /** Whether the cut separates a worker from a controller. */
  private isCutBetween(worker: FakeWorker, index: number): boolean {
    return this.isolated !== null && (worker.zone === this.isolated) !== (index === 0);
  }

  /** Delivers a message now, or once the zone is no longer isolated if the cut is on its way. */
  private deliver(isCut: () => boolean, action: () => void): void {
    if (isCut()) this.heldBack.push(action);
    else action();
  }

  /** Sends a request to the state store; the response is null on a timeout. */
  requestStore(
    process: ControllerProcess,
    path: string,
    timeoutMs: number,
    send: (refused: () => boolean) => Promise<HttpResponse>,
  ): Promise<HttpResponse | null> {
    const { node, index } = process;
    if (this.isCutOff(index)) return this.holdBack(timeoutMs, () => send(() => false));
    if (node.isolated || (node.watchHangs && path.startsWith('/watch'))) return this.noResponse(timeoutMs);
    const isWrite = path === '/multi';
    if (isWrite && this.oneIn(this.delayOneWriteIn)) return this.applyAfterTimeout(index, timeoutMs, send);
    const responseLost = isWrite && this.oneIn(this.loseOneResponseIn);
    const refused = (): boolean => node.storeRefuses || node.isolated;
    return this.request(process, timeoutMs, () => send(refused), responseLost);
  }

  /** Sends a request to the cloud; the response is null on a timeout. */
  requestCloud(
    process: ControllerProcess,
    timeoutMs: number,
    send: () => Promise<HttpResponse>,
  ): Promise<HttpResponse | null> {
    if (this.isCutOff(process.index)) return this.holdBack(timeoutMs, send);
    return this.request(process, timeoutMs, send, false);
  }

  /** Sends a frame from one controller to another and delivers the reply to it. */
  sendFrame(from: ControllerProcess, toIndex: number, frame: Buffer): void {
    if (this.exceeds(MAX_FRAME_BYTES, frame.length, `frame of controller ${from.index}`)) return;
    this.schedule(ONE_WAY_LATENCY_MS, () => {
      const peer = this.nodes[toIndex];
      const cut = this.isCutOff(from.index) || this.isCutOff(toIndex);
      if (!from.isUp() || !peer?.up || peer.isolated || from.node.isolated || cut) return;
      const sendReply = (reply: Buffer): void =>
        this.schedule(ONE_WAY_LATENCY_MS, () => {
          if (this.isCutOff(from.index) || this.isCutOff(toIndex)) return;
          this.runWhenResumed(from.node, () => this.receiveReply(from, reply));
        });
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
      const isCut = (): boolean => this.isCutBetween(worker, index);
      if (worker.heartbeatsLost) return;
      if (isCut() && !this.oneIn(HELD_BACK_ONE_IN)) return;
      // A heartbeat may reach the controller although no response reaches the machine.
      const respond = (response: HttpResponse): void => {
        if (worker.responsesLost) return;
        this.schedule(ONE_WAY_LATENCY_MS, () => (isCut() ? undefined : resolve(response)));
        if (response.status === 200 && this.oneIn(this.copyOneResponseIn))
          this.schedule(COPIED_RESPONSE_DELAY_MS, () => worker.receiveCopiedResponse(response.body));
      };
      const arrive = (): void =>
        this.runWhenResumed(node, () => this.receiveHeartbeat(index, worker, heartbeat, respond));
      if (!node.up) this.schedule(CONNECTION_REFUSED_MS, () => resolve(null));
      else if (node.cutFromWorkers) this.schedule(5000 + this.random.int(15_000), arrive);
      else {
        this.schedule(ONE_WAY_LATENCY_MS, arrive);
        this.copyHeartbeat(worker, heartbeat, respond);
      }
    });
  }

  /**
   * Records a heartbeat if it is to be replayed. Delivers copies of some heartbeats to a random controller, 1 to 41 s late,
   * which can be well over the duration of a lease, and repeats others.
   */
  private copyHeartbeat(
    worker: FakeWorker,
    heartbeat: object,
    respond: (response: HttpResponse) => void,
  ): void {
    if (this.replayHeartbeatsToNextLeader) this.recordedHeartbeats.push({ worker, heartbeat });
    if (this.replayToNextOwnerFromAgeMs !== null)
      this.recordedForNextOwner.push({ worker, heartbeat, sentAt: this.time.now });
    if (this.oneIn(this.repeatOneHeartbeatIn)) {
      const repeatTo = this.random.int(this.nodes.length);
      this.schedule(this.random.int(HEARTBEAT_TIMEOUT_MS), () =>
        this.receiveHeartbeat(repeatTo, worker, heartbeat, respond),
      );
    }
    if (!this.oneIn(this.duplicateOneHeartbeatIn)) return;
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
    this.deliver(
      () => this.isCutBetween(worker, index),
      () => this.handleHeartbeat(index, worker, heartbeat, respond),
    );
  }

  private handleHeartbeat(
    index: number,
    worker: FakeWorker,
    heartbeat: object,
    respond: (response: HttpResponse) => void,
  ): void {
    const node = this.nodes[index] as ControllerNode;
    if (!node.up || !node.controller) return;
    const text = JSON.stringify(heartbeat);
    const parsed = parseHeartbeat(JSON.parse(text));
    if (!parsed) throw new Error(`${worker.name} sent a malformed heartbeat`);
    if (this.exceeds(MAX_BODY_BYTES, Buffer.byteLength(text), `heartbeat of ${worker.name}`))
      return respond({ status: 400, body: {} });
    node.controller.receiveHeartbeat(parsed, (reply) => {
      if (reply.kind === 'answer') {
        const body = heartbeatResponse(reply.token, reply.commands);
        this.exceeds(MAX_LINE_BYTES, jsonBytes(body), `response to ${worker.name}`);
        respond({ status: 200, body });
      } else if (reply.kind === 'redirect') respond({ status: 421, body: redirectResponse(reply.owner) });
      else respond({ status: 503, body: {} });
    });
  }

  /** Whether a message is larger than its limit, which is reported. */
  private exceeds(maxBytes: number, bytes: number, message: string): boolean {
    if (bytes > maxBytes) this.onOversized(`${message} has ${bytes} bytes at ${this.time.now}`);
    return bytes > maxBytes;
  }

  /** Delivers copies of the recorded heartbeats to every controller at once as soon as a new one leads or owns a partition. */
  replayHeartbeats(): void {
    const leader = this.nodes.findIndex(isLeading);
    if (leader >= 0 && leader !== this.lastSeenLeader) {
      this.lastSeenLeader = leader;
      this.replay(this.recordedHeartbeats.splice(0).slice(-MAX_REPLAYED_HEARTBEATS));
    }
    const minAgeMs = this.replayToNextOwnerFromAgeMs;
    if (minAgeMs === null) return;
    const owners = JSON.stringify(this.nodes.map(ownedPartitions));
    if (owners === this.lastSeenOwners) return;
    this.lastSeenOwners = owners;
    const old = this.recordedForNextOwner.filter(({ sentAt }) => this.time.now - sentAt >= minAgeMs);
    // More than once, because the new owner may not act for the partition yet.
    for (const delayMs of REPLAY_DELAYS_MS)
      this.schedule(delayMs, () => this.replay(old.slice(-MAX_REPLAYED_HEARTBEATS)));
  }

  private replay(copies: readonly { worker: FakeWorker; heartbeat: object }[]): void {
    for (const { worker, heartbeat } of copies)
      for (let index = 0; index < this.nodes.length; index++) this.receiveHeartbeat(index, worker, heartbeat);
  }

  /** Sends a request that takes a few milliseconds, sometimes seconds, and may outlive its sender. */
  private request(
    { node, index, isUp }: ControllerProcess,
    timeoutMs: number,
    send: () => Promise<HttpResponse>,
    responseLost: boolean,
  ): Promise<HttpResponse | null> {
    const isCut = (): boolean => this.isCutOff(index);
    return new Promise((resolve) => {
      const slow = this.oneIn(SLOW_REQUEST_ONE_IN);
      const delayMs = slow ? 2000 + this.random.int(6000) : 2 + this.random.int(6);
      const respond = (response: HttpResponse | null): void =>
        this.runWhenResumed(node, () => (isUp() ? resolve(response) : undefined));
      this.schedule(timeoutMs, () => respond(null));
      const execute = (): void =>
        void send().then((response) => {
          if (responseLost || isCut()) return;
          this.schedule(ONE_WAY_LATENCY_MS, () => (isCut() ? undefined : respond(response)));
        });
      this.schedule(delayMs, () => this.deliver(isCut, execute));
    });
  }

  /** Applies a write 2 to 12 s late, possibly after newer ones. Its sender has given up on it by then and gets no response. */
  private applyAfterTimeout(
    index: number,
    timeoutMs: number,
    send: (refused: () => boolean) => Promise<HttpResponse>,
  ): Promise<null> {
    const execute = (): void => void send(() => false);
    this.schedule(2000 + this.random.int(10_000), () => this.deliver(() => this.isCutOff(index), execute));
    return this.noResponse(timeoutMs);
  }

  /** Sends a request during the cut: it is lost, or carried out once the cut ends. Its sender gets no response. */
  private holdBack(timeoutMs: number, send: () => Promise<HttpResponse>): Promise<null> {
    if (this.oneIn(HELD_BACK_ONE_IN)) this.heldBack.push(() => void send());
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
