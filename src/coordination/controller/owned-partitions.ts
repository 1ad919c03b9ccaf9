/** The partitions that this controller owns, each with its actor. */
import { type Clock } from '../../transport/clock';
import { type Log } from '../../transport/log';
import { type MachineType } from '../../protocol/cloud';
import { type Policy } from '../../protocol/policy';
import { type Settings } from '../../protocol/settings';
import { type ReplicaEvent } from '../../storage/replica-events';
import { type ReplicaView, type StoredPartition } from '../../storage/replica-view';
import { type StateStoreClient } from '../../storage/state-store-client';
import { type LoadBalancing } from '../balancing/balancing';
import { type Membership } from '../membership/membership';
import { PartitionActor } from '../partition/partition-actor';
import { PartitionCore } from '../partition/partition-core';

export interface OwnedPartitionsDependencies {
  settings: Settings;
  policy: Policy;
  clock: Clock;
  log: Log;
  stateStore: StateStoreClient;
  replica: ReplicaView;
  membership: Membership;
  machineTypes: () => ReadonlyMap<string, MachineType>;
  /** Null if load balancing is off; tasks are then not moved to balance load. */
  balancing: LoadBalancing | null;
}

/**
 * Keeps one actor for each partition whose record names this member and its current incarnation, and forwards changes of
 * the state store to the actors.
 */
export class OwnedPartitions {
  private readonly actors = new Map<string, PartitionActor>();

  constructor(private readonly deps: OwnedPartitionsDependencies) {}

  get size(): number {
    return this.actors.size;
  }

  get(partition: string): PartitionActor | undefined {
    return this.actors.get(partition);
  }

  values(): IterableIterator<PartitionActor> {
    return this.actors.values();
  }

  /** The actor of a machine's partition; undefined if the machine has no record or its partition is not owned here. */
  actorOfMachine(machine: string): PartitionActor | undefined {
    const stored = this.deps.replica.machines.get(machine);
    return stored && this.actors.get(stored.record.partition);
  }

  /** Creates and releases actors to match the owners in the state store. Must be called with a complete replica only. */
  reconcile(): void {
    const { replica, log } = this.deps;
    for (const [id, actor] of this.actors) {
      const stored = replica.partitions.get(id);
      if (stored?.epoch === actor.core.epoch && this.isOwnedHere(stored)) continue;
      actor.released = true;
      this.actors.delete(id);
      log.info({ partition: id }, 'partition released');
    }
    for (const stored of replica.partitions.values()) {
      if (!this.actors.has(stored.id) && this.isOwnedHere(stored)) this.takeOver(stored);
    }
  }

  /** Forwards a change of the replica to the actors that it concerns. */
  forwardReplicaEvent(event: ReplicaEvent): void {
    if (event.kind === 'members') return;
    for (const actor of this.actors.values()) forwardTo(actor, event);
  }

  private isOwnedHere({ record }: StoredPartition): boolean {
    const { memberIncarnation } = this.deps.membership;
    return (
      record.owner === this.deps.settings.member &&
      memberIncarnation !== 0 &&
      record.incarnation === memberIncarnation
    );
  }

  private takeOver(stored: StoredPartition): void {
    const { id, epoch } = stored;
    const actor = this.createActor(stored);
    const { core } = actor;
    this.sendRecordedMachines(actor);
    this.sendRecordedJobs(actor);
    this.actors.set(id, actor);
    this.deps.log.info(
      { partition: id, epoch, machines: core.machines.size, jobs: core.jobs.size },
      'partition taken over',
    );
  }

  private createActor(stored: StoredPartition): PartitionActor {
    const { settings, policy, replica, stateStore, clock, log, membership, balancing } = this.deps;
    const { valueBytes, txnOps, writeRate } = settings.stateStoreLimits;
    const core = this.createCore(stored);
    const options = {
      valueBytes,
      txnOps,
      writeRate,
      partitionCount: replica.partitions.size,
      progressIntervalMs: policy.progressIntervalS * 1000,
    };
    return new PartitionActor({
      core,
      record: stored.record,
      stateStore,
      replica,
      clock,
      log,
      authority: membership,
      options,
      balancing: balancing?.forPartition(core) ?? null,
    });
  }

  private createCore({ id, record, epoch }: StoredPartition): PartitionCore {
    const { settings, replica, machineTypes } = this.deps;
    return new PartitionCore({
      id,
      epoch,
      teams: settings.teams.filter((team) => record.teams.includes(team.name)),
      machineTypes,
      specOfClosedJob: (ref) => replica.jobs.get(ref)?.spec,
      options: {
        heartbeatIntervalMs: settings.heartbeatIntervalMs,
        leaseMs: settings.workerLeaseMs,
        valueBytes: settings.stateStoreLimits.valueBytes,
        objectives: settings.objectives,
      },
      assignedMachines: replica.assignedMachinesInPartition(id),
    });
  }

  private sendRecordedMachines(actor: PartitionActor): void {
    for (const [machine, entry] of this.deps.replica.machines)
      if (entry.record.partition === actor.core.id)
        actor.send({ kind: 'machine-changed', id: machine, entry });
  }

  /** Sends the open jobs, and the closed jobs that open jobs may depend on or that workers may still run. */
  private sendRecordedJobs(actor: PartitionActor): void {
    const { replica } = this.deps;
    for (const { spec, acceptedAt, revision, state } of replica.jobs.values()) {
      if (!actor.core.ownsTeam(spec.team)) continue;
      const progress = replica.progressOf(spec.ref);
      if (state === 'open') actor.send({ kind: 'job-opened', spec, acceptedAt, revision, progress });
      else if (spec.pipeline || state !== 'done')
        actor.send({ kind: 'job-terminated', spec, revision, state });
    }
  }
}

function forwardTo(actor: PartitionActor, event: Exclude<ReplicaEvent, { kind: 'members' }>): void {
  const { core } = actor;
  if (event.kind === 'machine-removed') {
    actor.send({ kind: 'machine-changed', id: event.id, entry: null });
  } else if (event.kind === 'machine') {
    const recordedInPartition = event.entry.record.partition === core.id;
    actor.send({ kind: 'machine-changed', id: event.id, entry: recordedInPartition ? event.entry : null });
  } else if (core.ownsTeam(event.job.spec.team)) {
    const { spec, acceptedAt, revision, state } = event.job;
    if (event.kind === 'closed') actor.send({ kind: 'job-closed', ref: spec.ref, state });
    else actor.send({ kind: 'job-opened', spec, acceptedAt, revision, progress: null });
  }
}
