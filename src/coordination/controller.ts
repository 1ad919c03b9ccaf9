import { every, type Clock } from '../transport/clock';
import { type Log } from '../transport/log';
import { Metrics } from '../transport/metrics';
import { WorkPacer } from '../transport/work-pacer';
import { type MachineType } from '../protocol/cloud';
import { decodePeer, encodePeer, type PartitionLoad, type PeerMessage } from '../protocol/peers';
import { type Policy } from '../protocol/policy';
import { type Settings } from '../protocol/settings';
import { type Report } from '../protocol/workers';
import { ReplicaView, type StoredPartition, type ReplicaEvent } from '../storage/replica-view';
import { SubmissionBatcher } from '../storage/submission-batcher';
import { Ledger, type StoreTransport } from '../storage/ledger';
import { type ReportReply } from './report-gateway';
import { refreshIntervalMs, maxStalenessMs } from './staleness';
import { type Balancing } from './balancing';
import { CloudClient, type CloudTransport } from './cloud-client';
import { Leader } from './leader';
import { Member } from './member';
import { PartitionCore } from './partition';
import { PartitionActor } from './partition-actor';
import { ParkedReports } from './parked-reports';
import { Runs } from './runs';
import { LeaseExtensions } from './lease-extension';

const TICK_MS = 250;
const STATUS_MS = 500;
/** Between two loads of the partitions, however much they cost: the leader goes by nothing much older. */
const LOADS_MS = { least: 450, most: 1800 };
/** Load reports may take this share of the time. */
const LOADS_SHARE = 0.08;
const MEASURES_AFTER_MS = 20_000;
/** A store that has not answered for this long counts as out of reach. */
const STORE_SILENT_MS = 1500;
const PEER_SILENT_MS = 2500;
/** The store keeps so many changes for its watches: a peer's replica that claims to be further ahead is none of it. */
const MOST_AHEAD = 10_000;
/** Cancellations on one page of an extension. */
const CANCELLED_A_PAGE = 500;
/** A watch waits for a fraction of the time in which its news would matter. */
const WATCHES = 4;

/** What joins a controller to the rest of the world. */
export interface Wiring {
  store: StoreTransport;
  /** Watches wait long; they have connections of their own. */
  watch: StoreTransport;
  cloud: CloudTransport;
  toPeer: (member: string, bytes: Buffer) => void;
  /** In no other process's names, this controller's earlier lives included. */
  life: string;
  /** Null: load is not balanced beyond what placement and planning do. */
  balancing: Balancing | null;
}

/** One controller: the actors and what joins them. */
export class Controller {
  private readonly metrics = new Metrics();
  private readonly ledger: Ledger;
  private readonly replica: ReplicaView;
  private readonly member: Member;
  private readonly leader: Leader;
  private readonly extensions: LeaseExtensions;
  readonly runs: Runs;
  private readonly partitions = new Map<string, PartitionActor>();
  private readonly loading = new WorkPacer({
    leastMs: LOADS_MS.least,
    mostMs: LOADS_MS.most,
    share: LOADS_SHARE,
  });
  private readonly loadToldAt = new Map<string, number>();
  private readonly parked: ParkedReports;
  private lastHeard: number | null = null;
  private readonly maxStalenessMs: number;
  private refreshAskedAt = Number.NEGATIVE_INFINITY;
  private readonly peerStoreOk = new Map<string, { ok: boolean; at: number }>();

  constructor(
    private readonly settings: Settings,
    private readonly policy: Policy,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly wiring: Wiring,
  ) {
    const { requestRate, writeRate } = settings.store;
    this.maxStalenessMs = maxStalenessMs(settings.leaseMs, settings.cancelMs);
    const rates = {
      ...{ requestRate, writeRate, controllers: settings.peers.length + 1 },
      holdMs: this.maxStalenessMs / WATCHES,
    };
    this.ledger = new Ledger(wiring.store, wiring.watch, clock, log, rates, this.metrics);
    this.replica = new ReplicaView(this.ledger, log);
    this.parked = new ParkedReports(this.replica, clock, (report, reply) =>
      this.answer(report, reply, false),
    );
    this.extensions = new LeaseExtensions(
      settings.peers.map((p) => p.member),
      clock.steady(),
    );
    this.member = new Member(
      settings.member,
      this.ledger,
      clock,
      log,
      this.extensions,
      this.maxStalenessMs,
      () => this.reconcile(),
    );
    this.leader = new Leader({
      ...{ settings, policy, clock, log, member: this.member, ledger: this.ledger, replica: this.replica },
      cloud: new CloudClient(wiring.cloud, clock, log, settings.cloudRate),
      extensions: this.extensions,
      balancing: wiring.balancing?.fleet ?? null,
      sendTo: (to, message) => this.sendTo(to, message),
    });
    const teams = new Map(settings.teams.map((t) => [t.name, t]));
    const { valueBytes, txnOps } = settings.store;
    const batcher = new SubmissionBatcher(this.ledger, this.replica, clock, {
      valueBytes,
      txnOps,
      life: wiring.life,
    });
    this.runs = new Runs(this.ledger, this.replica, batcher, clock, teams, () => this.types(), this.metrics);
    this.replica.events.subscribe((event) => this.forward(event));
    this.ledger.batches.subscribe(() => this.reconcile());
  }

  start(): void {
    void this.ledger.follow();
    this.member.tell({ kind: 'join' });
    // Asks for the machine types at once: without them no submission can be taken.
    this.leader.tell({ kind: 'tick' });
    every(this.clock, TICK_MS, () => this.tick());
    every(this.clock, STATUS_MS, () => this.sendStatus());
    this.clock.after(MEASURES_AFTER_MS, () => this.metrics.load());
  }

  // The store's picture.

  private forward(event: ReplicaEvent): void {
    if (event.kind === 'members') return;
    for (const partition of this.partitions.values()) {
      const { core } = partition;
      if (event.kind === 'gone') partition.tell({ kind: 'machine', id: event.id, entry: null });
      else if (event.kind === 'machine') {
        const here = event.entry.record.partition === core.id;
        partition.tell({ kind: 'machine', id: event.id, entry: here ? event.entry : null });
      } else if (core.owns(event.job.spec.team)) {
        const { spec, acceptedAt, version, state } = event.job;
        if (event.kind === 'closed') partition.tell({ kind: 'closed', ref: spec.ref, state });
        else partition.tell({ kind: 'job', spec, acceptedAt, version, progress: null });
      }
    }
  }

  /** The machine types as the cloud last told us, else as another controller recorded them. */
  private types(): ReadonlyMap<string, MachineType> {
    return this.leader.types.size > 0 ? this.leader.types : this.replica.types;
  }

  /** Makes the partition actors those that the store says are ours; from a whole picture of it alone. */
  private reconcile(): void {
    if (!this.ledger.synced) return;
    for (const [id, partition] of this.partitions) {
      const stored = this.replica.partitions.get(id);
      if (stored?.version === partition.core.version && this.isMine(stored)) continue;
      partition.released = true;
      this.partitions.delete(id);
      this.log.info({ partition: id }, 'partition released');
    }
    for (const stored of this.replica.partitions.values()) {
      if (!this.partitions.has(stored.id) && this.isMine(stored)) this.takeOver(stored);
    }
    this.parked.ownersChanged();
  }

  private isMine({ record }: StoredPartition): boolean {
    return (
      record.owner === this.settings.member &&
      this.member.incarnation !== 0 &&
      record.incarnation === this.member.incarnation
    );
  }

  private takeOver({ id, record, version }: StoredPartition): void {
    const { settings, replica } = this;
    const teams = settings.teams.filter((t) => record.teams.includes(t.name));
    const core = new PartitionCore(
      id,
      version,
      teams,
      () => this.types(),
      (ref) => replica.jobs.get(ref)?.spec,
      {
        reportMs: settings.reportMs,
        leaseMs: settings.leaseMs,
        valueBytes: settings.store.valueBytes,
        objectives: settings.objectives,
      },
      replica.assignedBy(id),
    );
    const { valueBytes, txnOps, writeRate } = settings.store;
    const progressMs = this.policy.progressS * 1000;
    const options = { valueBytes, txnOps, writeRate, partitions: replica.partitions.size, progressMs };
    const actor = new PartitionActor(
      core,
      record,
      this.ledger,
      replica,
      this.clock,
      this.log,
      this.member,
      options,
      this.wiring.balancing?.forPartition(core) ?? null,
    );
    for (const [machine, entry] of replica.machines)
      if (entry.record.partition === id) actor.tell({ kind: 'machine', id: machine, entry });
    for (const { spec, acceptedAt, version: accepted, state } of replica.jobs.values()) {
      if (!core.owns(spec.team)) continue;
      const progress = replica.progressOf(spec.ref);
      if (state === 'open') actor.tell({ kind: 'job', spec, acceptedAt, version: accepted, progress });
      else if (spec.pipeline || state !== 'done')
        actor.tell({ kind: 'ended', spec, version: accepted, state });
    }
    this.partitions.set(id, actor);
    this.log.info(
      { partition: id, version, machines: core.machines.size, jobs: core.jobs.size },
      'partition taken over',
    );
  }

  // Workers.

  report(report: Report, reply: (reply: ReportReply) => void): void {
    const since = this.clock.steady();
    this.lastHeard = since;
    this.answer(report, reply);
    this.metrics.record('report', this.clock.steady() - since);
  }

  private answer(report: Report, reply: (reply: ReportReply) => void, mayWait = true): void {
    if (!this.member.alive()) return reply({ kind: 'busy' });
    const machine = this.replica.machines.get(report.machine);
    if (!machine) {
      if (!this.leader.leading) {
        return reply({ kind: 'redirect', owner: this.redirectTo(this.replica.leader?.member) });
      }
      this.leader.tell({ kind: 'unknown-machine', report });
      return reply({ kind: 'busy' });
    }
    const partition = this.partitions.get(machine.record.partition);
    if (partition?.active) {
      partition.tell({
        kind: 'report',
        report,
        reply: (answer) => reply(answer ? { kind: 'answer', ...answer } : { kind: 'busy' }),
      });
      return;
    }
    const stored = this.replica.partitions.get(machine.record.partition);
    if (stored && mayWait && this.parked.park(report, reply, stored)) return;
    reply({ kind: 'redirect', owner: this.redirectTo(stored?.record.owner) });
  }

  private redirectTo(owner: string | undefined): string | null {
    return owner !== undefined && owner !== this.settings.member ? owner : null;
  }

  // The other controllers.

  private sendTo(member: string, message: PeerMessage): void {
    if (member === this.settings.member) this.take(message);
    else this.wiring.toPeer(member, encodePeer(message));
  }

  fromPeer(bytes: Buffer, answer: (bytes: Buffer) => void): void {
    const message = decodePeer(bytes);
    if (!message) {
      this.log.info('malformed message from a peer');
      this.wiring.balancing?.fleet.countMalformed();
      return;
    }
    if (message.kind === 'status') {
      const { member, seq, incarnation } = message;
      const storeOk = this.ledger.answering(STORE_SILENT_MS);
      const seen = this.replica.members.get(member) === incarnation;
      // Without a whole picture of the store we cannot say what an earlier life of ours confirmed.
      const possible = message.revision <= this.ledger.revision + MOST_AHEAD;
      const knows = seen && this.ledger.synced && possible;
      const extended = this.extensions.extend(member, knows, storeOk, this.clock.steady());
      const pong = { kind: 'pong' as const, member: this.settings.member, seq, storeOk, extended };
      // An asker that is ahead of our replica still needs what we confirmed and do not see yet.
      const since = Math.min(message.revision, this.ledger.revision);
      const cancelled = extended ? this.replica.cancelledSince(since) : [];
      const pages = Math.max(1, Math.ceil(cancelled.length / CANCELLED_A_PAGE));
      for (let page = 0; page < pages; page++) {
        const from = page * CANCELLED_A_PAGE;
        const shown = cancelled.slice(from, from + CANCELLED_A_PAGE);
        answer(encodePeer({ ...pong, page, pages, cancelled: shown }));
      }
    }
    this.take(message);
  }

  private take(message: PeerMessage): void {
    const now = this.clock.steady();
    switch (message.kind) {
      case 'status':
        this.peerStoreOk.set(message.member, { ok: message.storeOk, at: now });
        this.leader.tell({ kind: 'heard', member: message.member, heard: message, at: now });
        for (const load of message.partitions) this.leader.tell({ kind: 'load', load, at: now });
        return;
      case 'pong':
        // What comes with an extension is taken in first: only then does it count.
        for (const { job, version } of message.cancelled) this.replica.learnCancelled(job, version);
        this.extensions.answered(message.member, message.seq, message.extended, message.page, message.pages);
        this.peerStoreOk.set(message.member, { ok: message.storeOk, at: now });
        return;
      case 'handover': {
        const incarnation = this.replica.members.get(message.to);
        if (incarnation !== undefined) {
          this.partitions.get(message.partition)?.tell({ kind: 'handover', to: message.to, incarnation });
        }
        return;
      }
      case 'balance':
        this.leader.tell({ kind: 'summary', summary: message.summary, at: now });
        return;
      case 'move':
      case 'retire': {
        const machine = this.replica.machines.get(message.machine);
        if (machine) this.partitions.get(machine.record.partition)?.tell(message);
      }
    }
  }

  private sendStatus(): void {
    const leader = this.replica.leader?.member;
    const now = this.clock.steady();
    const loadsDue = this.loading.due(now);
    const partitions = loadsDue ? this.partitionLoads(now) : [];
    const status = {
      kind: 'status' as const,
      member: this.settings.member,
      seq: this.extensions.ask(now),
      storeOk: this.ledger.answering(STORE_SILENT_MS),
      incarnation: this.member.incarnation,
      heardMs: this.lastHeard === null ? -1 : now - this.lastHeard,
      revision: this.ledger.synced ? this.ledger.revision : 0,
    };
    const forLeader = { ...status, partitions, misrouted: this.parked.misrouted.counts(now) };
    if (leader === this.settings.member) this.take(forLeader);
    for (const { member: peer } of this.settings.peers)
      this.sendTo(peer, peer === leader ? forLeader : { ...status, partitions: [], misrouted: [] });
    if (loadsDue) {
      if (leader !== undefined) this.sendSummaries(leader, now);
      this.loading.took(now, this.clock.steady());
    }
  }

  private sendSummaries(leader: string, now: number): void {
    for (const partition of this.partitions.values())
      if (partition.active && partition.balancing)
        this.sendTo(leader, { kind: 'balance', summary: partition.balancing.summary(now) });
  }

  /** How the partitions owned here stand; one that is being taken over tells it rarely, for first answers need the time more. */
  private partitionLoads(now: number): PartitionLoad[] {
    const loads: PartitionLoad[] = [];
    for (const partition of this.partitions.values()) {
      if (!partition.active) continue;
      const { id } = partition.core;
      const toldAt = this.loadToldAt.get(id) ?? Number.NEGATIVE_INFINITY;
      if (partition.settling(now) && now - toldAt < LOADS_MS.most) continue;
      this.loadToldAt.set(id, now);
      loads.push(partition.core.load(now));
    }
    return loads;
  }

  // Time, health.

  private tick(): void {
    this.keepFresh();
    for (const partition of this.partitions.values()) partition.tell({ kind: 'tick' });
    this.leader.tell({ kind: 'tick' });
  }

  /** Owners ask what is new though nothing may be, so that an outage finds them knowing all until just before. */
  private keepFresh(): void {
    const now = this.clock.steady();
    const since = Math.max(this.ledger.freshAsOf, this.refreshAskedAt);
    if (this.partitions.size === 0 || now - since < refreshIntervalMs(this.maxStalenessMs)) return;
    this.refreshAskedAt = now;
    void this.ledger.fresh();
  }

  /**
   * Able to take requests: unless the store is closed to us alone, then another controller does better. So it does if
   * neither store nor any peer is heard: users whose connections stayed here once got no answer for as long as that took.
   */
  ready(): boolean {
    if (!this.ledger.synced || this.types().size === 0) return false;
    if (this.ledger.answering(3000)) return true;
    const now = this.clock.steady();
    const { peers } = this.settings;
    const heard = peers
      .map((p) => this.peerStoreOk.get(p.member))
      .filter((p) => p !== undefined && now - p.at < PEER_SILENT_MS);
    const alone = heard.length === 0 && peers.length > 0;
    return !alone && !heard.some((p) => p?.ok);
  }

  status(): object {
    return {
      member: this.settings.member,
      alive: this.member.alive(),
      leading: this.leader.leading,
      revision: this.ledger.revision,
      store: { ...this.ledger.counters, changes: this.ledger.changesByKind },
      users: this.runs.counters,
      took: this.metrics.summary(),
      partitions: [...this.partitions.values()].map((p) => p.core.summary()),
      ...(this.wiring.balancing ? { balance: this.balanceStatus(this.wiring.balancing) } : {}),
    };
  }

  /** How load is balanced: the whole fleet where this controller leads, else who does. */
  private balanceStatus({ fleet }: Balancing): object {
    const leader = this.replica.leader?.member ?? null;
    const moves = [...this.partitions.values()].flatMap(({ balancing }) => balancing?.running() ?? []);
    return { leader, moves, fleet: this.leader.leading ? fleet.status(this.clock.steady()) : null };
  }
}
