/** Status messages to the other controllers, and load reports to the leader. */
import { type Clock } from '../../transport/clock';
import { WorkPacer } from '../../transport/work-pacer';
import { type PartitionLoad } from '../../protocol/peers';
import { type ReplicaView } from '../../storage/replica-view';
import { type StateStoreClient } from '../../storage/state-store-client';
import { type LeaseExtensions } from '../membership/lease-extension';
import { type Membership } from '../membership/membership';
import { type HeartbeatRouter } from './heartbeat-router';
import { type OwnedPartitions } from './owned-partitions';
import { type PeerMessenger } from './peer-messenger';
import { STORE_RESPONSE_TIMEOUT_MS } from './readiness';

/** Bounds the interval between two load reports: the leader plans with no load much older than the upper bound. */
const LOAD_INTERVAL_MS = { min: 450, max: 1800 };
/** The share of the time that computing and sending loads may take. */
const LOAD_TIME_RATIO = 0.08;

export interface StatusPublisherDependencies {
  /** The name of this controller. */
  member: string;
  peers: readonly string[];
  clock: Clock;
  stateStore: StateStoreClient;
  replica: ReplicaView;
  membership: Membership;
  leaseExtensions: LeaseExtensions;
  partitions: OwnedPartitions;
  heartbeats: HeartbeatRouter;
  messenger: PeerMessenger;
}

/**
 * Sends a status to all peers, which also requests lease extensions from them. The leader's copy, sent also if this controller
 * leads, contains the counts of misrouted machines and, as often as their cost allows, the loads of the partitions owned here.
 */
export class StatusPublisher {
  private readonly loadPacer = new WorkPacer({
    minIntervalMs: LOAD_INTERVAL_MS.min,
    maxIntervalMs: LOAD_INTERVAL_MS.max,
    maxTimeShare: LOAD_TIME_RATIO,
  });
  private readonly loadPublishedAt = new Map<string, number>();

  constructor(private readonly deps: StatusPublisherDependencies) {}

  publishStatus(): void {
    const { member, peers, clock, replica, leaseExtensions, heartbeats, messenger } = this.deps;
    const { stateStore, membership } = this.deps;
    const leader = replica.leader?.member;
    const now = clock.steady();
    const loadsDue = this.loadPacer.isDue(now);
    const partitions = loadsDue ? this.duePartitionLoads(now) : [];
    const status = {
      kind: 'status' as const,
      member,
      sequence: leaseExtensions.recordRequest(now),
      storeReachable: stateStore.respondedWithin(STORE_RESPONSE_TIMEOUT_MS),
      memberIncarnation: membership.memberIncarnation,
      sinceHeartbeatMs: heartbeats.sinceHeartbeatMs(now),
      revision: stateStore.replica.synced ? stateStore.replica.revision : 0,
    };
    const forLeader = { ...status, partitions, misrouted: heartbeats.misroutedCounts(now) };
    const forPeer = { ...status, partitions: [], misrouted: [] };
    if (leader === member) messenger.send(member, forLeader);
    for (const peer of peers) messenger.send(peer, peer === leader ? forLeader : forPeer);
    if (!loadsDue) return;
    if (leader !== undefined) this.publishLoadSummaries(leader, now);
    this.loadPacer.record(now, clock.steady());
  }

  private publishLoadSummaries(leader: string, now: number): void {
    for (const { active, balancing } of this.deps.partitions.values())
      if (active && balancing)
        this.deps.messenger.send(leader, { kind: 'balance', summary: balancing.loadSummary(now) });
  }

  /**
   * The loads of the active partitions. A recovering partition is included at most once per maximum interval, because its
   * first answers to workers need the processor time more.
   */
  private duePartitionLoads(now: number): PartitionLoad[] {
    const loads: PartitionLoad[] = [];
    for (const partition of this.deps.partitions.values()) {
      if (!partition.active) continue;
      const { id } = partition.core;
      const publishedAt = this.loadPublishedAt.get(id) ?? Number.NEGATIVE_INFINITY;
      if (partition.recovering(now) && now - publishedAt < LOAD_INTERVAL_MS.max) continue;
      this.loadPublishedAt.set(id, now);
      loads.push(partition.core.currentLoad(now));
    }
    return loads;
  }
}
