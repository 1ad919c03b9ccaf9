/** Creates and connects the actors and services of one controller, and runs their timers. */
import { schedulePeriodic, type Clock } from '../../transport/clock';
import { type Log } from '../../transport/log';
import { Metrics } from '../../transport/metrics';
import { type MachineType } from '../../protocol/cloud';
import { type Policy } from '../../protocol/policy';
import { type Settings } from '../../protocol/settings';
import { type Heartbeat } from '../../protocol/workers';
import { ReplicaView } from '../../storage/replica-view';
import { SubmissionBatcher } from '../../storage/submission-batcher';
import { StateStoreClient } from '../../storage/state-store-client';
import { type StoreTransport } from '../../storage/store-connection';
import { type LoadBalancing } from '../balancing/balancing';
import { CloudClient, type CloudTransport } from '../leader/cloud-client';
import { Leader } from '../leader/leader';
import { unservedTeamNames } from '../leader/team-partitions';
import { LeaseExtensions } from '../membership/lease-extension';
import { Membership } from '../membership/membership';
import { maxStalenessMs, refreshIntervalMs } from '../membership/staleness-bound';
import { type HeartbeatReply } from '../requests/heartbeat-gateway';
import { JobService } from '../requests/job-service';
import { HeartbeatRouter } from './heartbeat-router';
import { OwnedPartitions } from './owned-partitions';
import { PeerMessenger } from './peer-messenger';
import { Readiness } from './readiness';
import { StatusPublisher } from './status-publisher';

const TICK_INTERVAL_MS = 250;
const STATUS_INTERVAL_MS = 500;
const STORE_USAGE_LOG_INTERVAL_MS = 60_000;
/** The histogram library is loaded this long after startup, during which processor time is scarce. */
const METRICS_LOAD_DELAY_MS = 20_000;
/** The state store holds a watch for the staleness bound divided by this, and so responds before the replica is too old. */
const WATCHES_PER_STALENESS_BOUND = 4;

/** The external dependencies of a controller: its connections, the name of its process, and its load balancing. */
export interface ControllerDependencies {
  storeTransport: StoreTransport;
  /** Watches hold their connections for a long time, so they have connections of their own. */
  watchTransport: StoreTransport;
  cloudTransport: CloudTransport;
  /** Sends a frame to another controller. The frame is lost if there is no connection. */
  sendToPeer: (member: string, bytes: Buffer) => void;
  /** A name unique to this process: no other controller and no earlier process of this one has ever used it. */
  processIncarnation: string;
  /** Null if load balancing is off; load is then balanced only by task placement and fleet planning. */
  balancing: LoadBalancing | null;
}

/** One controller. It acts only after `start`, and then for as long as the process lives. */
export class Controller {
  readonly jobService: JobService;
  private readonly metrics = new Metrics();
  private readonly maxStalenessMs: number;
  private readonly stateStore: StateStoreClient;
  private readonly replica: ReplicaView;
  private readonly leaseExtensions: LeaseExtensions;
  private readonly membership: Membership;
  private readonly leader: Leader;
  private readonly partitions: OwnedPartitions;
  private readonly heartbeats: HeartbeatRouter;
  private readonly readiness: Readiness;
  private readonly messenger: PeerMessenger;
  private readonly statusPublisher: StatusPublisher;
  private refreshRequestedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly settings: Settings,
    private readonly policy: Policy,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly dependencies: ControllerDependencies,
  ) {
    this.maxStalenessMs = maxStalenessMs(settings.workerLeaseMs, settings.cancellationDeadlineMs);
    this.stateStore = this.createStateStore();
    this.replica = new ReplicaView(this.stateStore.replica, log);
    this.leaseExtensions = new LeaseExtensions(this.peerNames(), clock.steady());
    this.membership = this.createMembership();
    this.leader = this.createLeader();
    this.partitions = this.createPartitions();
    this.heartbeats = this.createHeartbeatRouter();
    this.readiness = this.createReadiness();
    this.messenger = this.createMessenger();
    this.statusPublisher = this.createStatusPublisher();
    this.jobService = this.createJobService();
    this.replica.events.subscribe((event) => this.partitions.forwardReplicaEvent(event));
    this.stateStore.replica.snapshots.subscribe(() => this.reconcilePartitions());
  }

  /** Joins the cluster and starts all timers. */
  start(): void {
    void this.stateStore.followChanges();
    this.membership.send({ kind: 'join' });
    // Requests the machine types at once: without them, no submission can be accepted.
    this.leader.send({ kind: 'tick' });
    schedulePeriodic(this.clock, TICK_INTERVAL_MS, () => this.tick());
    schedulePeriodic(this.clock, STORE_USAGE_LOG_INTERVAL_MS, () => this.logStoreUsage());
    schedulePeriodic(this.clock, STATUS_INTERVAL_MS, () => this.statusPublisher.publishStatus());
    this.clock.schedule(METRICS_LOAD_DELAY_MS, () => this.metrics.loadHistograms());
  }

  /** Handles a worker's heartbeat. Calls `reply` exactly once, immediately or within a few seconds. */
  receiveHeartbeat(heartbeat: Heartbeat, reply: (reply: HeartbeatReply) => void): void {
    this.heartbeats.receiveHeartbeat(heartbeat, reply);
  }

  /** Handles a frame from another controller; `answer` sends frames back to it. */
  receiveFrame(bytes: Buffer, answer: (bytes: Buffer) => void): void {
    this.messenger.receiveFrame(bytes, answer);
  }

  /** Whether users should send their requests here (see readiness.ts). */
  ready(): boolean {
    return this.readiness.ready();
  }

  /** The controller's part of the response to `GET /status`. */
  status(): object {
    const { balancing } = this.dependencies;
    const now = this.clock.steady();
    return {
      member: this.settings.member,
      alive: this.membership.mayAct(),
      leading: this.leader.leading,
      revision: this.stateStore.replica.revision,
      store: { ...this.stateStore.counters, changes: this.stateStore.requestedWritesByKind },
      users: this.jobService.counters,
      took: this.metrics.summary(),
      unservedTeams: unservedTeamNames(this.settings.teams, this.replica.partitions.values()),
      partitions: [...this.partitions.values()].map((partition) => partition.core.statusSummary(now)),
      ...(balancing ? { balance: this.balanceStatus(balancing) } : {}),
    };
  }

  /** The state of load balancing: the leader, the task moves in progress here and, if this controller leads, the fleet. */
  private balanceStatus({ fleet }: LoadBalancing): object {
    const leader = this.replica.leader?.member ?? null;
    const moves = [...this.partitions.values()].flatMap(
      ({ balancing }) => balancing?.movesInProgress() ?? [],
    );
    return { leader, moves, fleet: this.leader.leading ? fleet.status(this.clock.steady()) : null };
  }

  /** The recorded machine types, by which all controllers decide, or, if there are none yet, those that this one has read itself. */
  private machineTypes(): ReadonlyMap<string, MachineType> {
    return this.replica.machineTypes.size > 0 ? this.replica.machineTypes : this.leader.machineTypes;
  }

  private peerNames(): string[] {
    return this.settings.peers.map(({ member }) => member);
  }

  /**
   * Updates the owned partitions, from a complete replica only. With a partial one, partitions that this controller still
   * owns would be released.
   */
  private reconcilePartitions(): void {
    if (!this.stateStore.replica.synced) return;
    this.partitions.reconcile();
    this.heartbeats.handleOwnerChanges();
  }

  private tick(): void {
    this.refreshReplica();
    for (const partition of this.partitions.values()) partition.send({ kind: 'tick' });
    this.leader.send({ kind: 'tick' });
  }

  /** Logs how much of the state store's rates this process has used since its start. */
  private logStoreUsage(): void {
    const { counters, requestedWritesByKind } = this.stateStore;
    this.log.info({ ...counters, changes: requestedWritesByKind }, 'state store usage');
  }

  /**
   * Refreshes the replica of an owner at intervals, even without changes, so that nearly all of its staleness bound is left
   * when an outage begins.
   */
  private refreshReplica(): void {
    const now = this.clock.steady();
    const lastRefreshAt = Math.max(this.stateStore.replica.freshAsOf, this.refreshRequestedAt);
    if (this.partitions.size === 0 || now - lastRefreshAt < refreshIntervalMs(this.maxStalenessMs)) return;
    this.refreshRequestedAt = now;
    void this.stateStore.ensureFresh();
  }

  private createStateStore(): StateStoreClient {
    const { settings, clock, log, dependencies, metrics } = this;
    const { requestRate, writeRate } = settings.stateStoreLimits;
    const rates = {
      requestRate,
      writeRate,
      controllers: settings.peers.length + 1,
      watchHoldMs: this.maxStalenessMs / WATCHES_PER_STALENESS_BOUND,
    };
    const { storeTransport, watchTransport } = dependencies;
    return new StateStoreClient({ transport: storeTransport, watchTransport, clock, log, metrics }, rates);
  }

  private createMembership(): Membership {
    return new Membership({
      name: this.settings.member,
      stateStore: this.stateStore,
      clock: this.clock,
      log: this.log,
      extensions: this.leaseExtensions,
      maxStalenessMs: this.maxStalenessMs,
      onJoined: () => this.reconcilePartitions(),
    });
  }

  private createLeader(): Leader {
    const { settings, policy, clock, log, dependencies } = this;
    return new Leader({
      settings,
      policy,
      clock,
      log,
      membership: this.membership,
      stateStore: this.stateStore,
      replica: this.replica,
      cloud: new CloudClient({
        transport: dependencies.cloudTransport,
        clock,
        log,
        requestRate: settings.cloudRequestRate,
      }),
      extensions: this.leaseExtensions,
      balancing: dependencies.balancing?.fleet ?? null,
      sendTo: (member, message) => this.messenger.send(member, message),
    });
  }

  private createPartitions(): OwnedPartitions {
    return new OwnedPartitions({
      settings: this.settings,
      policy: this.policy,
      clock: this.clock,
      log: this.log,
      stateStore: this.stateStore,
      replica: this.replica,
      membership: this.membership,
      machineTypes: () => this.machineTypes(),
      balancing: this.dependencies.balancing,
    });
  }

  private createHeartbeatRouter(): HeartbeatRouter {
    return new HeartbeatRouter({
      member: this.settings.member,
      clock: this.clock,
      metrics: this.metrics,
      replica: this.replica,
      membership: this.membership,
      leader: this.leader,
      partitions: this.partitions,
    });
  }

  private createReadiness(): Readiness {
    return new Readiness({
      peers: this.peerNames(),
      clock: this.clock,
      stateStore: this.stateStore,
      machineTypesKnown: () => this.machineTypes().size > 0,
    });
  }

  private createMessenger(): PeerMessenger {
    const { sendToPeer, balancing } = this.dependencies;
    return new PeerMessenger({
      member: this.settings.member,
      clock: this.clock,
      log: this.log,
      stateStore: this.stateStore,
      replica: this.replica,
      leader: this.leader,
      leaseExtensions: this.leaseExtensions,
      partitions: this.partitions,
      readiness: this.readiness,
      sendToPeer,
      countMalformed: () => balancing?.fleet.countMalformed(),
    });
  }

  private createStatusPublisher(): StatusPublisher {
    return new StatusPublisher({
      member: this.settings.member,
      peers: this.peerNames(),
      clock: this.clock,
      stateStore: this.stateStore,
      replica: this.replica,
      membership: this.membership,
      leaseExtensions: this.leaseExtensions,
      partitions: this.partitions,
      heartbeats: this.heartbeats,
      messenger: this.messenger,
    });
  }

  private createJobService(): JobService {
    const { settings, clock, dependencies } = this;
    const { valueBytes, txnOps } = settings.stateStoreLimits;
    const { processIncarnation } = dependencies;
    const limits = { valueBytes, txnOps, processIncarnation };
    const batcher = new SubmissionBatcher(
      { stateStore: this.stateStore, replica: this.replica, clock },
      limits,
    );
    const teams = new Map(settings.teams.map((team) => [team.name, team]));
    return new JobService({
      stateStore: this.stateStore,
      replica: this.replica,
      batcher,
      clock,
      teams,
      machineTypes: () => this.machineTypes(),
      metrics: this.metrics,
    });
  }
}
