import { schedulePeriodic, type Clock } from '../../transport/clock';
import { type Log } from '../../transport/log';
import { Metrics } from '../../transport/metrics';
import { WorkPacer } from '../../transport/work-pacer';
import { type MachineType } from '../../protocol/cloud';
import {
  decodePeerMessage,
  encodePeerMessage,
  type PartitionLoad,
  type PeerMessage,
} from '../../protocol/peers';
import { type Policy } from '../../protocol/policy';
import { type Settings } from '../../protocol/settings';
import { type Heartbeat } from '../../protocol/workers';
import { ReplicaView, type StoredPartition, type ReplicaEvent } from '../../storage/replica-view';
import { SubmissionBatcher } from '../../storage/submission-batcher';
import { StateStoreClient, type StoreTransport } from '../../storage/state-store-client';
import { type HeartbeatReply } from '../requests/heartbeat-gateway';
import { refreshIntervalMs, maxStalenessMs } from '../membership/staleness-bound';
import { type Balancing } from '../balancing/balancing';
import { CloudClient, type CloudTransport } from '../leader/cloud-client';
import { Leader } from '../leader/leader';
import { Membership } from '../membership/membership';
import { PartitionCore } from '../partition/partition-core';
import { PartitionActor } from '../partition/partition-actor';
import { DeferredHeartbeats } from '../requests/deferred-heartbeats';
import { JobService } from '../requests/job-service';
import { LeaseExtensions } from '../membership/lease-extension';

const TICK_INTERVAL_MS = 250;
const STATUS_INTERVAL_MS = 500;
/** Between two loads of the partitions, however much they cost: the leader goes by nothing much older. */
const LOAD_INTERVAL_MS = { min: 450, max: 1800 };
/** Load reports may take this share of the time. */
const LOAD_TIME_RATIO = 0.08;
const METRICS_LOAD_DELAY_MS = 20_000;
/** A store that has not answered for this long counts as out of reach. */
const STORE_SILENCE_MS = 1500;
const PEER_SILENCE_MS = 2500;
/** The store keeps so many changes for its watches: a peer's replica that claims to be further ahead is none of it. */
const MAX_REVISION_LEAD_COUNT = 10_000;
/** Cancellations on one page of an extension. */
const MAX_CANCELLATIONS_PER_PAGE = 500;
/** A watch waits for a fraction of the time in which its news would matter. */
const WATCHES_PER_STALENESS_BOUND_COUNT = 4;

/** What joins a controller to the rest of the world. */
export interface ControllerDependencies {
  storeTransport: StoreTransport;
  /** Watches wait long; they have connections of their own. */
  watchTransport: StoreTransport;
  cloudTransport: CloudTransport;
  sendToPeer: (member: string, bytes: Buffer) => void;
  /** In no other process's names, this controller's earlier lives included. */
  processIncarnation: string;
  /** Null: load is not balanced beyond what placement and planning do. */
  balancing: Balancing | null;
}

/** One controller: the actors and what joins them. */
export class Controller {
  private readonly metrics = new Metrics();
  private readonly stateStore: StateStoreClient;
  private readonly replica: ReplicaView;
  private readonly membership: Membership;
  private readonly leader: Leader;
  private readonly leaseExtensions: LeaseExtensions;
  readonly jobService: JobService;
  private readonly partitions = new Map<string, PartitionActor>();
  private readonly loadPacer = new WorkPacer({
    minIntervalMs: LOAD_INTERVAL_MS.min,
    maxIntervalMs: LOAD_INTERVAL_MS.max,
    share: LOAD_TIME_RATIO,
  });
  private readonly loadPublishedAt = new Map<string, number>();
  private readonly deferredHeartbeats: DeferredHeartbeats;
  private lastHeartbeatAt: number | null = null;
  private readonly maxStalenessMs: number;
  private refreshRequestedAt = Number.NEGATIVE_INFINITY;
  private readonly peerStoreHealth = new Map<string, { ok: boolean; at: number }>();

  constructor(
    private readonly settings: Settings,
    private readonly policy: Policy,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly dependencies: ControllerDependencies,
  ) {
    const { requestRate, writeRate } = settings.stateStore;
    this.maxStalenessMs = maxStalenessMs(settings.leaseMs, settings.cancelMs);
    const rates = {
      ...{ requestRate, writeRate, controllers: settings.peers.length + 1 },
      watchHoldMs: this.maxStalenessMs / WATCHES_PER_STALENESS_BOUND_COUNT,
    };
    this.stateStore = new StateStoreClient(
      dependencies.storeTransport,
      dependencies.watchTransport,
      clock,
      log,
      rates,
      this.metrics,
    );
    this.replica = new ReplicaView(this.stateStore, log);
    this.deferredHeartbeats = new DeferredHeartbeats(this.replica, clock, (heartbeat, reply) =>
      this.answerHeartbeat(heartbeat, reply, false),
    );
    this.leaseExtensions = new LeaseExtensions(
      settings.peers.map((p) => p.member),
      clock.steady(),
    );
    this.membership = new Membership(
      settings.member,
      this.stateStore,
      clock,
      log,
      this.leaseExtensions,
      this.maxStalenessMs,
      () => this.reconcilePartitions(),
    );
    this.leader = new Leader({
      ...{
        settings,
        policy,
        clock,
        log,
        member: this.membership,
        stateStore: this.stateStore,
        replica: this.replica,
      },
      cloud: new CloudClient(dependencies.cloudTransport, clock, log, settings.cloudRequestRate),
      extensions: this.leaseExtensions,
      balancing: dependencies.balancing?.fleet ?? null,
      sendTo: (to, message) => this.sendToMember(to, message),
    });
    const teams = new Map(settings.teams.map((t) => [t.name, t]));
    const { valueBytes, txnOps } = settings.stateStore;
    const batcher = new SubmissionBatcher(this.stateStore, this.replica, clock, {
      valueBytes,
      txnOps,
      processIncarnation: dependencies.processIncarnation,
    });
    this.jobService = new JobService(
      this.stateStore,
      this.replica,
      batcher,
      clock,
      teams,
      () => this.machineTypes(),
      this.metrics,
    );
    this.replica.events.subscribe((event) => this.forwardReplicaEvent(event));
    this.stateStore.batches.subscribe(() => this.reconcilePartitions());
  }

  start(): void {
    void this.stateStore.follow();
    this.membership.send({ kind: 'join' });
    // Asks for the machine types at once: without them no submission can be taken.
    this.leader.send({ kind: 'tick' });
    schedulePeriodic(this.clock, TICK_INTERVAL_MS, () => this.tick());
    schedulePeriodic(this.clock, STATUS_INTERVAL_MS, () => this.publishStatus());
    this.clock.schedule(METRICS_LOAD_DELAY_MS, () => this.metrics.load());
  }

  // The store's picture.

  private forwardReplicaEvent(event: ReplicaEvent): void {
    if (event.kind === 'members') return;
    for (const partition of this.partitions.values()) {
      const { core } = partition;
      if (event.kind === 'gone') partition.send({ kind: 'machine', id: event.id, entry: null });
      else if (event.kind === 'machine') {
        const here = event.entry.record.partition === core.id;
        partition.send({ kind: 'machine', id: event.id, entry: here ? event.entry : null });
      } else if (core.owns(event.job.spec.team)) {
        const { spec, acceptedAt, revision, state } = event.job;
        if (event.kind === 'closed') partition.send({ kind: 'closed', ref: spec.ref, state });
        else partition.send({ kind: 'job', spec, acceptedAt, version: revision, progress: null });
      }
    }
  }

  /** The machine types as the cloud last told us, else as another controller recorded them. */
  private machineTypes(): ReadonlyMap<string, MachineType> {
    return this.leader.machineTypes.size > 0 ? this.leader.machineTypes : this.replica.machineTypes;
  }

  /** Makes the partition actors those that the store says are ours; from a whole picture of it alone. */
  private reconcilePartitions(): void {
    if (!this.stateStore.synced) return;
    for (const [id, partition] of this.partitions) {
      const stored = this.replica.partitions.get(id);
      if (stored?.epoch === partition.core.epoch && this.isOwnedHere(stored)) continue;
      partition.released = true;
      this.partitions.delete(id);
      this.log.info({ partition: id }, 'partition released');
    }
    for (const stored of this.replica.partitions.values()) {
      if (!this.partitions.has(stored.id) && this.isOwnedHere(stored)) this.takeOver(stored);
    }
    this.deferredHeartbeats.ownersChanged();
  }

  private isOwnedHere({ record }: StoredPartition): boolean {
    return (
      record.owner === this.settings.member &&
      this.membership.memberIncarnation !== 0 &&
      record.incarnation === this.membership.memberIncarnation
    );
  }

  private takeOver({ id, record, epoch }: StoredPartition): void {
    const { settings, replica } = this;
    const teams = settings.teams.filter((t) => record.teams.includes(t.name));
    const core = new PartitionCore(
      id,
      epoch,
      teams,
      () => this.machineTypes(),
      (ref) => replica.jobs.get(ref)?.spec,
      {
        heartbeatIntervalMs: settings.heartbeatIntervalMs,
        leaseMs: settings.leaseMs,
        valueBytes: settings.stateStore.valueBytes,
        objectives: settings.objectives,
      },
      replica.assignedInPartition(id),
    );
    const { valueBytes, txnOps, writeRate } = settings.stateStore;
    const progressMs = this.policy.progressIntervalS * 1000;
    const options = { valueBytes, txnOps, writeRate, partitions: replica.partitions.size, progressMs };
    const actor = new PartitionActor(
      core,
      record,
      this.stateStore,
      replica,
      this.clock,
      this.log,
      this.membership,
      options,
      this.dependencies.balancing?.forPartition(core) ?? null,
    );
    for (const [machine, entry] of replica.machines)
      if (entry.record.partition === id) actor.send({ kind: 'machine', id: machine, entry });
    for (const { spec, acceptedAt, revision: accepted, state } of replica.jobs.values()) {
      if (!core.owns(spec.team)) continue;
      const progress = replica.progressOf(spec.ref);
      if (state === 'open') actor.send({ kind: 'job', spec, acceptedAt, version: accepted, progress });
      else if (spec.pipeline || state !== 'done')
        actor.send({ kind: 'ended', spec, version: accepted, state });
    }
    this.partitions.set(id, actor);
    this.log.info(
      { partition: id, epoch, machines: core.machines.size, jobs: core.jobs.size },
      'partition taken over',
    );
  }

  // Workers.

  receiveHeartbeat(heartbeat: Heartbeat, reply: (reply: HeartbeatReply) => void): void {
    const since = this.clock.steady();
    this.lastHeartbeatAt = since;
    this.answerHeartbeat(heartbeat, reply);
    this.metrics.record('report', this.clock.steady() - since);
  }

  private answerHeartbeat(
    heartbeat: Heartbeat,
    reply: (reply: HeartbeatReply) => void,
    mayDefer = true,
  ): void {
    if (!this.membership.alive()) return reply({ kind: 'busy' });
    const machine = this.replica.machines.get(heartbeat.machine);
    if (!machine) {
      if (!this.leader.leading) {
        return reply({ kind: 'redirect', owner: this.redirectTo(this.replica.leader?.member) });
      }
      this.leader.send({ kind: 'unknown-machine-heartbeat', heartbeat });
      return reply({ kind: 'busy' });
    }
    const partition = this.partitions.get(machine.record.partition);
    if (partition?.active) {
      partition.send({
        kind: 'report',
        report: heartbeat,
        reply: (answer) => reply(answer ? { kind: 'answer', ...answer } : { kind: 'busy' }),
      });
      return;
    }
    const stored = this.replica.partitions.get(machine.record.partition);
    if (stored && mayDefer && this.deferredHeartbeats.defer(heartbeat, reply, stored)) return;
    reply({ kind: 'redirect', owner: this.redirectTo(stored?.record.owner) });
  }

  private redirectTo(owner: string | undefined): string | null {
    return owner !== undefined && owner !== this.settings.member ? owner : null;
  }

  // The other controllers.

  private sendToMember(member: string, message: PeerMessage): void {
    if (member === this.settings.member) this.handlePeerMessage(message);
    else this.dependencies.sendToPeer(member, encodePeerMessage(message));
  }

  receiveFrame(bytes: Buffer, answer: (bytes: Buffer) => void): void {
    const message = decodePeerMessage(bytes);
    if (!message) {
      this.log.info('malformed peer message');
      this.dependencies.balancing?.fleet.countMalformed();
      return;
    }
    if (message.kind === 'status') {
      const { member, sequence, memberIncarnation } = message;
      const storeOk = this.stateStore.respondedWithin(STORE_SILENCE_MS);
      const memberSeen = this.replica.members.get(member) === memberIncarnation;
      // Without a whole picture of the store we cannot say what an earlier life of ours confirmed.
      const revisionPlausible = message.revision <= this.stateStore.revision + MAX_REVISION_LEAD_COUNT;
      const memberKnown = memberSeen && this.stateStore.synced && revisionPlausible;
      const extended = this.leaseExtensions.grant(member, memberKnown, storeOk, this.clock.steady());
      const pong = { kind: 'pong' as const, member: this.settings.member, sequence, storeOk, extended };
      // An asker that is ahead of our replica still needs what we confirmed and do not see yet.
      const since = Math.min(message.revision, this.stateStore.revision);
      const cancelled = extended ? this.replica.cancelledSince(since) : [];
      const pages = Math.max(1, Math.ceil(cancelled.length / MAX_CANCELLATIONS_PER_PAGE));
      for (let page = 0; page < pages; page++) {
        const from = page * MAX_CANCELLATIONS_PER_PAGE;
        const shown = cancelled.slice(from, from + MAX_CANCELLATIONS_PER_PAGE);
        answer(encodePeerMessage({ ...pong, page, pages, cancelled: shown }));
      }
    }
    this.handlePeerMessage(message);
  }

  private handlePeerMessage(message: PeerMessage): void {
    const now = this.clock.steady();
    switch (message.kind) {
      case 'status':
        this.peerStoreHealth.set(message.member, { ok: message.storeOk, at: now });
        this.leader.send({ kind: 'heartbeat-stats', member: message.member, stats: message, at: now });
        for (const load of message.partitions) this.leader.send({ kind: 'partition-load', load, at: now });
        return;
      case 'pong':
        // What comes with an extension is taken in first: only then does it count.
        for (const { job, revision } of message.cancelled) this.replica.recordCancellation(job, revision);
        this.leaseExtensions.recordResponse(
          message.member,
          message.sequence,
          message.extended,
          message.page,
          message.pages,
        );
        this.peerStoreHealth.set(message.member, { ok: message.storeOk, at: now });
        return;
      case 'handover': {
        const incarnation = this.replica.members.get(message.to);
        if (incarnation !== undefined) {
          this.partitions.get(message.partition)?.send({ kind: 'handover', to: message.to, incarnation });
        }
        return;
      }
      case 'balance':
        this.leader.send({ kind: 'load-summary', summary: message.summary, at: now });
        return;
      case 'move':
      case 'retire': {
        const machine = this.replica.machines.get(message.machine);
        if (machine) this.partitions.get(machine.record.partition)?.send(message);
      }
    }
  }

  private publishStatus(): void {
    const leader = this.replica.leader?.member;
    const now = this.clock.steady();
    const loadsDue = this.loadPacer.isDue(now);
    const partitions = loadsDue ? this.duePartitionLoads(now) : [];
    const status = {
      kind: 'status' as const,
      member: this.settings.member,
      sequence: this.leaseExtensions.recordRequest(now),
      storeOk: this.stateStore.respondedWithin(STORE_SILENCE_MS),
      memberIncarnation: this.membership.memberIncarnation,
      sinceHeartbeatMs: this.lastHeartbeatAt === null ? -1 : now - this.lastHeartbeatAt,
      revision: this.stateStore.synced ? this.stateStore.revision : 0,
    };
    const forLeader = { ...status, partitions, misrouted: this.deferredHeartbeats.misrouted.counts(now) };
    if (leader === this.settings.member) this.handlePeerMessage(forLeader);
    for (const { member: peer } of this.settings.peers)
      this.sendToMember(peer, peer === leader ? forLeader : { ...status, partitions: [], misrouted: [] });
    if (loadsDue) {
      if (leader !== undefined) this.publishLoadSummaries(leader, now);
      this.loadPacer.record(now, this.clock.steady());
    }
  }

  private publishLoadSummaries(leader: string, now: number): void {
    for (const partition of this.partitions.values())
      if (partition.active && partition.balancing)
        this.sendToMember(leader, { kind: 'balance', summary: partition.balancing.summary(now) });
  }

  /** How the partitions owned here stand; one that is being taken over tells it rarely, for first answers need the time more. */
  private duePartitionLoads(now: number): PartitionLoad[] {
    const loads: PartitionLoad[] = [];
    for (const partition of this.partitions.values()) {
      if (!partition.active) continue;
      const { id } = partition.core;
      const publishedAt = this.loadPublishedAt.get(id) ?? Number.NEGATIVE_INFINITY;
      if (partition.recovering(now) && now - publishedAt < LOAD_INTERVAL_MS.max) continue;
      this.loadPublishedAt.set(id, now);
      loads.push(partition.core.load(now));
    }
    return loads;
  }

  // Time, health.

  private tick(): void {
    this.refreshReplica();
    for (const partition of this.partitions.values()) partition.send({ kind: 'tick' });
    this.leader.send({ kind: 'tick' });
  }

  /** Owners ask what is new though nothing may be, so that an outage finds them knowing all until just before. */
  private refreshReplica(): void {
    const now = this.clock.steady();
    const since = Math.max(this.stateStore.freshAsOf, this.refreshRequestedAt);
    if (this.partitions.size === 0 || now - since < refreshIntervalMs(this.maxStalenessMs)) return;
    this.refreshRequestedAt = now;
    void this.stateStore.ensureFresh();
  }

  /**
   * Able to take requests: unless the store is closed to us alone, then another controller does better. So it does if
   * neither store nor any peer is heard: users whose connections stayed here once got no answer for as long as that took.
   */
  ready(): boolean {
    if (!this.stateStore.synced || this.machineTypes().size === 0) return false;
    if (this.stateStore.respondedWithin(3000)) return true;
    const now = this.clock.steady();
    const { peers } = this.settings;
    const heardPeers = peers
      .map((p) => this.peerStoreHealth.get(p.member))
      .filter((p) => p !== undefined && now - p.at < PEER_SILENCE_MS);
    const alone = heardPeers.length === 0 && peers.length > 0;
    return !alone && !heardPeers.some((p) => p?.ok);
  }

  status(): object {
    return {
      member: this.settings.member,
      alive: this.membership.alive(),
      leading: this.leader.leading,
      revision: this.stateStore.revision,
      store: { ...this.stateStore.counters, changes: this.stateStore.changesByKind },
      users: this.jobService.counters,
      took: this.metrics.summary(),
      partitions: [...this.partitions.values()].map((p) => p.core.summary()),
      ...(this.dependencies.balancing ? { balance: this.balanceStatus(this.dependencies.balancing) } : {}),
    };
  }

  /** How load is balanced: the whole fleet where this controller leads, else who does. */
  private balanceStatus({ fleet }: Balancing): object {
    const leader = this.replica.leader?.member ?? null;
    const moves = [...this.partitions.values()].flatMap(
      ({ balancing }) => balancing?.movesInProgress() ?? [],
    );
    return { leader, moves, fleet: this.leader.leading ? fleet.status(this.clock.steady()) : null };
  }
}
