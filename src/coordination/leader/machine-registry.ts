import { type Clock } from '../../transport/clock';
import { ExpiringMap } from '../../transport/expiring-map';
import { type Log } from '../../transport/log';
import { planFleetEdit } from '../../storage/fleet-edit';
import { RejectedMachines } from '../../storage/rejected-machines';
import { type ReplicaView } from '../../storage/replica-view';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient, type TransactionResult } from '../../storage/state-store-client';
import { type MachineRecord } from '../../protocol/records';
import { type Settings } from '../../protocol/settings';
import { type Heartbeat } from '../../protocol/workers';
import { type MachineKind } from '../partition/placement';
import { type Membership } from '../membership/membership';
import { NewMachineWriter } from './new-machine-writer';

const RECORD_BATCH_DELAY_MS = 60;
/** Distinguishes the fleet values that a leader splits off from those to which it first writes new machines. */
const REMOVAL_NAME_PREFIX = 'removal-';
const REPLICA_CATCH_UP_TIMEOUT_MS = 2000;
/** Copies of heartbeats arrive minutes late. A copy that arrives after this time leads only to a record that is removed again. */
const REMOVED_RETENTION_MS = 3_600_000;
/** A machine that is alive sends its second heartbeat much sooner; one that is forgotten must send two again. */
const FIRST_HEARTBEAT_RETENTION_MS = 600_000;

export interface MachineRegistryDependencies {
  settings: Settings;
  membership: Membership;
  stateStore: StateStoreClient;
  replica: ReplicaView;
  clock: Clock;
  log: Log;
}

/**
 * Records new machines for partitions and removes the records of machines that are gone. Only the current leader can record new
 * machines, and it knows everything that was recorded before its term, so no machine is ever recorded twice.
 */
export class MachineRegistry {
  /** The term under which machines are recorded, 0 until this controller first leads. */
  leaderTerm = 0;
  private readonly writer: NewMachineWriter;
  /** Machines whose records were removed and that were not recorded again. */
  private readonly removed = new ExpiringMap<string, true>(REMOVED_RETENTION_MS);
  /** The partition of each machine that is being recorded. */
  private readonly recording = new Map<string, string>();
  private readonly pendingBatch = new Map<string, MachineRecord>();
  /** Machines that are gone but still recorded. */
  private readonly terminated = new Set<string>();
  private removing = false;
  private readonly rejectedRemovals: RejectedMachines;
  private editCount = 0;
  /** The first heartbeat of each machine that sends heartbeats but is not recorded. */
  private readonly firstHeartbeats = new ExpiringMap<string, Pick<Heartbeat, 'agentEpoch' | 'sequence'>>(
    FIRST_HEARTBEAT_RETENTION_MS,
  );

  constructor(private readonly deps: MachineRegistryDependencies) {
    this.writer = new NewMachineWriter(deps);
    this.rejectedRemovals = new RejectedMachines(deps.log);
    deps.replica.events.subscribe((event) => {
      if (event.kind === 'machine-removed') this.removed.set(event.id, true, deps.clock.steady());
      else if (event.kind === 'machine') this.handleRecorded(event.id);
    });
  }

  private handleRecorded(id: string): void {
    this.removed.delete(id);
    this.firstHeartbeats.delete(id);
  }

  /** Number of unrecorded machines that are remembered. */
  get rememberedMachines(): number {
    return this.removed.size + this.firstHeartbeats.size;
  }

  /** Whether a machine is recorded or being recorded. */
  knows(id: string): boolean {
    return this.deps.replica.machines.has(id) || this.recording.has(id);
  }

  isTerminated(id: string): boolean {
    return this.terminated.has(id);
  }

  /** Marks a machine that is certainly gone. `removeTerminated` removes its record. */
  markTerminated(id: string): void {
    this.terminated.add(id);
  }

  /**
   * Removes the records of machines that are gone and, with them, every task in flight on these machines. The writes are
   * conditional on the revisions of the values that they change, not on the leader's term.
   */
  async removeTerminated(): Promise<void> {
    const { replica, stateStore } = this.deps;
    if (this.removing || this.terminated.size === 0) return;
    this.removing = true;
    for (const id of this.terminated) if (!replica.machines.has(id)) this.terminated.delete(id);
    for (const partition of replica.partitions.keys()) {
      const result = await this.removeTerminatedOf(partition);
      if (result?.kind === 'applied')
        await stateStore.whenCaughtUp(result.revision, REPLICA_CATCH_UP_TIMEOUT_MS);
    }
    this.removing = false;
  }

  private async removeTerminatedOf(partition: string): Promise<TransactionResult | null> {
    const { settings, replica, stateStore, log } = this.deps;
    const ids = [...this.terminated].filter((id) => replica.machines.get(id)?.record.partition === partition);
    if (ids.length === 0) return null;
    const changes = this.rejectedRemovals.changesToTry(new Map(ids.map((id) => [id, null])));
    const name = `${REMOVAL_NAME_PREFIX}${this.leaderTerm}-${++this.editCount}`;
    const edit = planFleetEdit(replica, partition, changes, name, settings.stateStoreLimits);
    this.rejectedRemovals.logUnwritable(edit.unwritable);
    if (edit.ids.length === 0) return null;
    const result = await stateStore.transact(edit.conditions, edit.writes, RequestPriority.Decision);
    if (result.kind === 'rejected') this.rejectedRemovals.recordRejection(edit.ids);
    else if (result.kind === 'applied') this.rejectedRemovals.recordAccepted(edit.ids);
    log.info({ machines: edit.ids, result: result.kind }, 'machines removed');
    return result;
  }

  /**
   * Registers a machine that sends heartbeats but is not recorded, because its request was carried out late or the cloud's list
   * has not been read yet. The first heartbeat may be a delayed copy from a machine that is gone, so a second, newer one must
   * show that the machine is alive, unless no machine at all is recorded.
   */
  handleUnknownMachineHeartbeat(heartbeat: Heartbeat): void {
    const { machine, agentEpoch, sequence } = heartbeat;
    const first = this.firstHeartbeats.get(machine);
    if (!first) this.firstHeartbeats.set(machine, { agentEpoch, sequence }, this.deps.clock.steady());
    const isNewer =
      first &&
      (agentEpoch > first.agentEpoch || (agentEpoch === first.agentEpoch && sequence > first.sequence));
    if (isNewer || this.deps.replica.machines.size === 0) this.register(machine, heartbeat);
  }

  /**
   * Records a machine that no known request provisioned, for the partition with the fewest machines. Does nothing if there is no
   * partition, or if the machine is already known, its record was removed or cannot be written.
   */
  register(id: string, { type, zone, spot }: MachineKind): void {
    const partition = this.smallestPartition();
    if (!partition || this.removed.has(id) || this.knows(id) || this.writer.isUnwritable(id)) return;
    this.deps.log.info({ machine: id, partition }, 'machine registered');
    this.recordBatched(id, { partition, phase: 'active', type, zone, spot });
  }

  private smallestPartition(): string | null {
    const { replica } = this.deps;
    const counts = new Map([...replica.partitions.keys()].map((id) => [id, 0]));
    const count = (partition: string): void => {
      counts.set(partition, (counts.get(partition) ?? 0) + 1);
    };
    for (const { record } of replica.machines.values()) count(record.partition);
    for (const partition of this.recording.values()) count(partition);
    const smallestFirst = [...counts].sort((a, b) => a[1] - b[1] || (a[0] < b[0] ? -1 : 1));
    return smallestFirst[0]?.[0] ?? null;
  }

  /** Collects machines that appear one by one and records them together after RECORD_BATCH_DELAY_MS. */
  private recordBatched(id: string, record: MachineRecord): void {
    this.recording.set(id, record.partition);
    this.pendingBatch.set(id, record);
    if (this.pendingBatch.size > 1) return;
    this.deps.clock.schedule(RECORD_BATCH_DELAY_MS, () => {
      const batch = [...this.pendingBatch];
      this.pendingBatch.clear();
      void this.record(batch);
    });
  }

  /** Records machines under the current term. Resolves once the replica shows them or the term is over. */
  async record(machines: readonly [string, MachineRecord][]): Promise<void> {
    for (const [id, { partition }] of machines) this.recording.set(id, partition);
    const { leaderTerm } = this;
    const isCurrent = (): boolean =>
      this.leaderTerm === leaderTerm && this.deps.replica.leader?.term === leaderTerm;
    await this.writer.write(machines, leaderTerm, isCurrent);
    for (const [id] of machines) this.recording.delete(id);
  }

  /** Removes values from the state store that no longer hold any machine. Does nothing until a sweep is due. */
  sweepEmptyValues(now: number): Promise<void> {
    return this.writer.sweepEmptyValues(now);
  }
}
