import { type Clock } from '../../transport/clock';
import { type Log } from '../../transport/log';
import { type ReplicaView } from '../../storage/replica-view';
import { planFleetEdit, mayBeRepeated } from '../../storage/fleets';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient, type TransactionResult } from '../../storage/state-store-client';
import { encodeFleet, type MachineRecord } from '../../protocol/records';
import { initialFleetValueName, keys } from '../../protocol/keys';
import { type Settings } from '../../protocol/settings';
import { type Condition, type Write } from '../../protocol/store';
import { type Heartbeat } from '../../protocol/workers';
import { type Membership } from '../membership/membership';

const RECORD_BATCH_DELAY_MS = 60;
/** Machines whose records share a value when they are first written. */
const MAX_RECORDS_PER_VALUE = 50;
const RETRY_DELAY_MS = 150;
const REPLICA_CATCH_UP_TIMEOUT_MS = 2000;
const SWEEP_INTERVAL_MS = 5000;
/** Bounds what a sweep takes of the changes that the state service allows. */
const MAX_VALUES_PER_SWEEP = 6;

/** The leader's records of machines: which are recorded for which partition, and which are gone. */
export class MachineRegistry {
  /** The leader's version, 0: it does not lead. */
  leaderTerm = 0;
  private readonly removed = new Set<string>();
  /** Machines that are being recorded, and for which partition. */
  private readonly recording = new Map<string, string>();
  private readonly unrecorded = new Map<string, MachineRecord>();
  /** Machines that are gone but still recorded. */
  private readonly terminated = new Set<string>();
  private removing = false;
  /** Machines that reported and are not recorded. */
  private readonly unregistered = new Map<string, { session: number; seq: number }>();
  private valueCount = 0;
  /** Values of this leader's whose every try was answered: none can be carried out once more. */
  private readonly settledKeys = new Set<string>();
  private sweptAt = Number.NEGATIVE_INFINITY;
  private sweeping = false;

  constructor(
    private readonly settings: Settings,
    private readonly member: Membership,
    private readonly ledger: StateStoreClient,
    private readonly replica: ReplicaView,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    replica.events.subscribe((event) => {
      if (event.kind === 'gone') this.removed.add(event.id);
      else if (event.kind === 'machine') this.removed.delete(event.id);
    });
  }

  /** Whether a machine is recorded, or about to be. */
  knows(id: string): boolean {
    return this.replica.machines.has(id) || this.recording.has(id);
  }

  isTerminated(id: string): boolean {
    return this.terminated.has(id);
  }

  /** A machine is surely gone. */
  markTerminated(id: string): void {
    this.terminated.add(id);
  }

  /** Takes machines that are gone out of the records, and with them everything in flight on them. */
  async removeTerminated(): Promise<void> {
    if (this.removing || this.terminated.size === 0) return;
    this.removing = true;
    for (const id of this.terminated) if (!this.replica.machines.has(id)) this.terminated.delete(id);
    for (const partition of this.replica.partitions.keys()) {
      const ofPartition = [...this.terminated].filter(
        (id) => this.replica.machines.get(id)?.record.partition === partition,
      );
      if (ofPartition.length === 0) continue;
      const changes = new Map(ofPartition.map((id) => [id, null]));
      const edit = planFleetEdit(this.replica, partition, changes, '', this.settings.stateStore);
      const result = await this.ledger.transact(edit.conditions, edit.writes, RequestPriority.Decision);
      this.log.info({ machines: edit.ids, result: result.kind }, 'machines removed');
      if (result.kind === 'applied')
        await this.ledger.whenCaughtUp(result.revision, REPLICA_CATCH_UP_TIMEOUT_MS);
    }
    this.removing = false;
  }

  /**
   * A machine that nobody knows has reported: its rental was carried out late, or nobody has looked at the cloud's
   * list yet. One report may be the late copy of a machine that is gone; a second, newer one is taken for life.
   */
  noteUnknownMachine(heartbeat: Heartbeat): void {
    const previous = this.unregistered.get(heartbeat.machine);
    const { agentEpoch, sequence } = heartbeat;
    if (!previous) this.unregistered.set(heartbeat.machine, { session: agentEpoch, seq: sequence });
    const isNewer =
      previous &&
      (agentEpoch > previous.session || (agentEpoch === previous.session && sequence > previous.seq));
    if (isNewer || this.replica.machines.size === 0) this.register(heartbeat.machine, heartbeat);
  }

  /** Records a machine that nobody remembers renting. */
  register(id: string, { type, zone, spot }: { type: string; zone: string; spot: boolean }): void {
    const partition = this.smallestPartition();
    if (!partition || this.removed.has(id) || this.knows(id)) return;
    this.log.info({ machine: id, partition }, 'machine registered');
    this.recordBatched(id, { partition, phase: 'active', type, zone, spot });
  }

  /** The partition with the fewest machines. */
  private smallestPartition(): string | null {
    const counts = new Map([...this.replica.partitions.keys()].map((id) => [id, 0]));
    const count = (partition: string): unknown => counts.set(partition, (counts.get(partition) ?? 0) + 1);
    for (const { record } of this.replica.machines.values()) count(record.partition);
    for (const partition of this.recording.values()) count(partition);
    return [...counts].sort((a, b) => a[1] - b[1] || (a[0] < b[0] ? -1 : 1))[0]?.[0] ?? null;
  }

  /** Machines that turn up one by one are recorded together. */
  private recordBatched(id: string, record: MachineRecord): void {
    this.recording.set(id, record.partition);
    this.unrecorded.set(id, record);
    if (this.unrecorded.size > 1) return;
    this.clock.schedule(RECORD_BATCH_DELAY_MS, () => {
      const batch = [...this.unrecorded];
      this.unrecorded.clear();
      void this.record(batch);
    });
  }

  /**
   * Writes machines down, each partition's in one value. Only the leader's writes are applied, so no machine is ever
   * recorded twice: a leader knows all that was recorded before it. Its own tries it repeats until it knows.
   */
  async record(machines: readonly [string, MachineRecord][]): Promise<void> {
    for (const [id, { partition }] of machines) this.recording.set(id, partition);
    const leaderTerm = this.leaderTerm;
    const { conditions, writes } = this.newValues(machines, leaderTerm);
    let result: TransactionResult = { kind: 'refused' };
    let outcomeUnknown = false;
    // Until it is known what became of it, also while our session lease lapses for a moment: a try whose answer was lost
    // may still be carried out, and a machine recorded anew meanwhile would stand in two partitions.
    while (this.leaderTerm === leaderTerm && this.replica.leader?.term === leaderTerm) {
      if (this.member.alive()) {
        result = await this.ledger.transact(conditions, writes, RequestPriority.Decision);
        outcomeUnknown ||= result.kind === 'unknown';
        // A conflict: our own earlier try was applied, or we do not lead any more. Either way the replica must show it.
        if (
          result.kind === 'applied' &&
          (await this.ledger.whenCaughtUp(result.revision, REPLICA_CATCH_UP_TIMEOUT_MS))
        )
          break;
        if (result.kind === 'conflict' && (await this.ledger.ensureFresh())) break;
      }
      await new Promise<void>((resolve) => this.clock.schedule(RETRY_DELAY_MS, resolve));
    }
    if (!outcomeUnknown) for (const write of writes) if ('put' in write) this.settledKeys.add(write.put);
    for (const [id] of machines) this.recording.delete(id);
  }

  /** Now and then removes values that hold no machine any more, and that nothing can write once more. */
  async sweepEmpty(now: number): Promise<void> {
    if (this.sweeping || now - this.sweptAt < SWEEP_INTERVAL_MS) return;
    this.sweptAt = now;
    const removable = [...this.replica.emptyFleetKeys].filter(
      (key) => this.settledKeys.has(key) || !mayBeRepeated(this.replica, key),
    );
    const keysToRemove = removable.slice(0, Math.min(MAX_VALUES_PER_SWEEP, this.settings.stateStore.txnOps));
    if (keysToRemove.length === 0) return;
    this.sweeping = true;
    const conditions = keysToRemove.map((key) => ({ key, revision: this.ledger.revisionOf(key) }));
    const removals = keysToRemove.map((key): Write => ({ remove: key }));
    const result = await this.ledger.transact(conditions, removals, RequestPriority.Progress);
    if (result.kind === 'applied') for (const key of keysToRemove) this.settledKeys.delete(key);
    this.sweeping = false;
  }

  /** The values that hold new machines, each under a key of its own. */
  private newValues(
    machines: readonly [string, MachineRecord][],
    revision: number,
  ): { conditions: Condition[]; writes: Write[] } {
    const byPartition = new Map<string, [string, { record: MachineRecord; revision: null }][]>();
    for (const [id, record] of machines) {
      const list = byPartition.get(record.partition) ?? [];
      list.push([id, { record, revision: null }]);
      byPartition.set(record.partition, list);
    }
    const conditions: Condition[] = [{ key: keys.leader, revision }];
    const writes: Write[] = [];
    for (const [partition, list] of byPartition) {
      for (let i = 0; i < list.length; i += MAX_RECORDS_PER_VALUE) {
        const key = keys.fleet(partition, initialFleetValueName(revision, ++this.valueCount));
        conditions.push({ key, revision: 0 });
        writes.push({ put: key, value: encodeFleet(list.slice(i, i + MAX_RECORDS_PER_VALUE)) });
      }
    }
    return { conditions, writes };
  }
}
