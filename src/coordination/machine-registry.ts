import { type Clock } from '../transport/clock';
import { type Log } from '../transport/log';
import { type ReplicaView } from '../storage/replica-view';
import { editFleet, mayBeWrittenAgain } from '../storage/fleets';
import { RequestPriority, type Ledger, type TxnResult } from '../storage/ledger';
import { encodeFleet, firstRecordName, keys, type MachineRecord } from '../protocol/records';
import { type Settings } from '../protocol/settings';
import { type Condition, type Write } from '../protocol/store';
import { type Report } from '../protocol/workers';
import { type Member } from './member';

const GATHER_RECORDS_MS = 60;
/** Machines whose records share a value when they are first written. */
const RECORDS_A_VALUE = 50;
const RETRY_MS = 150;
const CAUGHT_UP_MS = 2000;
const SWEEP_MS = 5000;
/** Bounds what a sweep takes of the changes that the state service allows. */
const SWEPT_AT_ONCE = 6;

/** The leader's records of machines: which are recorded for which partition, and which are gone. */
export class MachineRegistry {
  /** The leader's version, 0: it does not lead. */
  leaderVersion = 0;
  private readonly gone = new Set<string>();
  /** Machines that are being recorded, and for which partition. */
  private readonly recording = new Map<string, string>();
  private readonly toRecord = new Map<string, MachineRecord>();
  /** Machines that are gone but still recorded. */
  private readonly ended = new Set<string>();
  private forgetting = false;
  /** Machines that reported and are not recorded. */
  private readonly strangers = new Map<string, { session: number; seq: number }>();
  private values = 0;
  /** Values of this leader's whose every try was answered: none can be carried out once more. */
  private readonly certain = new Set<string>();
  private sweptAt = Number.NEGATIVE_INFINITY;
  private sweeping = false;

  constructor(
    private readonly settings: Settings,
    private readonly member: Member,
    private readonly ledger: Ledger,
    private readonly replica: ReplicaView,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    replica.events.subscribe((event) => {
      if (event.kind === 'gone') this.gone.add(event.id);
      else if (event.kind === 'machine') this.gone.delete(event.id);
    });
  }

  /** Whether a machine is recorded, or about to be. */
  knows(id: string): boolean {
    return this.replica.machines.has(id) || this.recording.has(id);
  }

  hasEnded(id: string): boolean {
    return this.ended.has(id);
  }

  /** A machine is surely gone. */
  end(id: string): void {
    this.ended.add(id);
  }

  /** Takes machines that are gone out of the records, and with them everything in flight on them. */
  async forgetEnded(): Promise<void> {
    if (this.forgetting || this.ended.size === 0) return;
    this.forgetting = true;
    for (const id of this.ended) if (!this.replica.machines.has(id)) this.ended.delete(id);
    for (const partition of this.replica.partitions.keys()) {
      const here = [...this.ended].filter(
        (id) => this.replica.machines.get(id)?.record.partition === partition,
      );
      if (here.length === 0) continue;
      const changes = new Map(here.map((id) => [id, null]));
      const edit = editFleet(this.replica, partition, changes, '', this.settings.store);
      const result = await this.ledger.txn(edit.conditions, edit.writes, RequestPriority.Decision);
      this.log.info({ machines: edit.ids, result: result.kind }, 'machines gone');
      if (result.kind === 'applied') await this.ledger.caughtUp(result.revision, CAUGHT_UP_MS);
    }
    this.forgetting = false;
  }

  /**
   * A machine that nobody knows has reported: its rental was carried out late, or nobody has looked at the cloud's
   * list yet. One report may be the late copy of a machine that is gone; a second, newer one is taken for life.
   */
  meet(report: Report): void {
    const before = this.strangers.get(report.machine);
    const { session, seq } = report;
    if (!before) this.strangers.set(report.machine, { session, seq });
    const newer = before && (session > before.session || (session === before.session && seq > before.seq));
    if (newer || this.replica.machines.size === 0) this.adopt(report.machine, report);
  }

  /** Records a machine that nobody remembers renting. */
  adopt(id: string, { type, zone, spot }: { type: string; zone: string; spot: boolean }): void {
    const partition = this.neediest();
    if (!partition || this.gone.has(id) || this.knows(id)) return;
    this.log.info({ machine: id, partition }, 'machine taken in');
    this.recordSoon(id, { partition, phase: 'kept', type, zone, spot });
  }

  /** The partition with the fewest machines. */
  private neediest(): string | null {
    const counts = new Map([...this.replica.partitions.keys()].map((id) => [id, 0]));
    const count = (partition: string): unknown => counts.set(partition, (counts.get(partition) ?? 0) + 1);
    for (const { record } of this.replica.machines.values()) count(record.partition);
    for (const partition of this.recording.values()) count(partition);
    return [...counts].sort((a, b) => a[1] - b[1] || (a[0] < b[0] ? -1 : 1))[0]?.[0] ?? null;
  }

  /** Machines that turn up one by one are recorded together. */
  private recordSoon(id: string, record: MachineRecord): void {
    this.recording.set(id, record.partition);
    this.toRecord.set(id, record);
    if (this.toRecord.size > 1) return;
    this.clock.after(GATHER_RECORDS_MS, () => {
      const all = [...this.toRecord];
      this.toRecord.clear();
      void this.record(all);
    });
  }

  /**
   * Writes machines down, each partition's in one value. Only the leader's writes are applied, so no machine is ever
   * recorded twice: a leader knows all that was recorded before it. Its own tries it repeats until it knows.
   */
  async record(machines: readonly [string, MachineRecord][]): Promise<void> {
    for (const [id, { partition }] of machines) this.recording.set(id, partition);
    const version = this.leaderVersion;
    const { conditions, writes } = this.newValues(machines, version);
    let result: TxnResult = { kind: 'refused' };
    let unsure = false;
    // Until it is known what became of it, also while our session lease lapses for a moment: a try whose answer was lost
    // may still be carried out, and a machine recorded anew meanwhile would stand in two partitions.
    while (this.leaderVersion === version && this.replica.leader?.version === version) {
      if (this.member.alive()) {
        result = await this.ledger.txn(conditions, writes, RequestPriority.Decision);
        unsure ||= result.kind === 'unknown';
        // A conflict: our own earlier try was applied, or we do not lead any more. Either way the replica must show it.
        if (result.kind === 'applied' && (await this.ledger.caughtUp(result.revision, CAUGHT_UP_MS))) break;
        if (result.kind === 'conflict' && (await this.ledger.fresh())) break;
      }
      await new Promise<void>((resolve) => this.clock.after(RETRY_MS, resolve));
    }
    if (!unsure) for (const write of writes) if ('put' in write) this.certain.add(write.put);
    for (const [id] of machines) this.recording.delete(id);
  }

  /** Now and then removes values that hold no machine any more, and that nothing can write once more. */
  async sweepEmpty(now: number): Promise<void> {
    if (this.sweeping || now - this.sweptAt < SWEEP_MS) return;
    this.sweptAt = now;
    const removable = [...this.replica.emptyFleetKeys].filter(
      (key) => this.certain.has(key) || !mayBeWrittenAgain(this.replica, key),
    );
    const swept = removable.slice(0, Math.min(SWEPT_AT_ONCE, this.settings.store.txnOps));
    if (swept.length === 0) return;
    this.sweeping = true;
    const conditions = swept.map((key) => ({ key, version: this.ledger.version(key) }));
    const removals = swept.map((key): Write => ({ remove: key }));
    const result = await this.ledger.txn(conditions, removals, RequestPriority.Progress);
    if (result.kind === 'applied') for (const key of swept) this.certain.delete(key);
    this.sweeping = false;
  }

  /** The values that hold new machines, each under a key of its own. */
  private newValues(
    machines: readonly [string, MachineRecord][],
    version: number,
  ): { conditions: Condition[]; writes: Write[] } {
    const byPartition = new Map<string, [string, { record: MachineRecord; version: null }][]>();
    for (const [id, record] of machines) {
      const list = byPartition.get(record.partition) ?? [];
      list.push([id, { record, version: null }]);
      byPartition.set(record.partition, list);
    }
    const conditions: Condition[] = [{ key: keys.leader, version }];
    const writes: Write[] = [];
    for (const [partition, list] of byPartition) {
      for (let i = 0; i < list.length; i += RECORDS_A_VALUE) {
        const key = keys.fleet(partition, firstRecordName(version, ++this.values));
        conditions.push({ key, version: 0 });
        writes.push({ put: key, value: encodeFleet(list.slice(i, i + RECORDS_A_VALUE)) });
      }
    }
    return { conditions, writes };
  }
}
