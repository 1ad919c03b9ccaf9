import { Actor } from '../transport/actor';
import { type Clock } from '../transport/clock';
import { type Log } from '../transport/log';
import { Priority, type Ledger, type TxnResult } from '../storage/ledger';
import { keys, type MachineRecord, type PartRecord, type PipelineRecord } from '../protocol/records';
import { LEAVES_FLEET } from '../protocol/peers';
import { type Condition, type Write } from '../protocol/store';
import { type Command, type Report } from '../protocol/workers';
import { PartCore, type JobWrite } from './part';

export type PartMessage =
  | { kind: 'report'; report: Report; reply: (answer: { token: number; commands: Command[] } | null) => void }
  | { kind: 'machine'; id: string; record: MachineRecord | null; version: number }
  | { kind: 'pipeline'; record: PipelineRecord; version: number }
  | { kind: 'tick' }
  | { kind: 'move'; machine: string; toPart: string; drain: boolean }
  | { kind: 'retire'; machine: string; why: string; force: boolean }
  | { kind: 'handover'; to: string; incarnation: number }
  | { kind: 'written'; write: JobWrite; result: TxnResult }
  | { kind: 'relent'; machine: string; done: boolean };

const PROGRESS_MS = 2000;

/** The thin actor around a part: reports and changes in, commands and writes out. */
export class PartActor extends Actor<PartMessage> {
  /** Handed over, or being handed over: nothing is done for this part here any more. */
  released = false;

  constructor(
    readonly core: PartCore,
    private readonly record: PartRecord,
    private readonly ledger: Ledger,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly alive: () => boolean,
    private readonly txnOps: number,
  ) {
    super((error) => log.error({ error, part: core.id }, 'part failed'));
  }

  get active(): boolean {
    return !this.released && this.alive();
  }

  private get mine(): Condition {
    return { key: keys.part(this.core.id), version: this.core.version };
  }

  protected receive(message: PartMessage): void {
    const now = this.clock.steady();
    switch (message.kind) {
      case 'report':
        message.reply(this.active ? this.core.report(message.report, now) : null);
        if (this.active) this.lendEmptied();
        this.write(now);
        return;
      case 'machine':
        if (message.record?.part === this.core.id)
          this.core.putMachine(message.id, message.record, message.version, now);
        else this.core.dropMachine(message.id);
        return;
      case 'pipeline':
        this.core.putPipeline(message.record, message.version, now);
        return;
      case 'tick':
        if (!this.active) return;
        this.core.tick(now, this.clock.today().getTime());
        this.lendEmptied();
        this.write(now);
        return;
      case 'move':
        if (!this.active) return;
        if (message.drain) this.core.drainTo(message.machine, message.toPart);
        else this.relend(message.machine, (r) => ({ ...r, part: message.toPart }), false);
        return;
      case 'retire':
        if (this.active) {
          const why = message.why;
          this.relend(message.machine, (r) => ({ ...r, phase: 'returning', why }), message.force);
        }
        return;
      case 'handover':
        if (this.active) void this.handOver(message.to, message.incarnation);
        return;
      case 'written':
        this.settle(message.write, message.result);
        return;
      case 'relent':
        if (!message.done) this.core.unlock(message.machine);
    }
  }

  private lendEmptied(): void {
    for (const { id, toPart } of this.core.emptied()) {
      const leaves = toPart === LEAVES_FLEET;
      this.relend(
        id,
        (r) => (leaves ? { ...r, phase: 'returning', why: 'spare' } : { ...r, part: toPart }),
        false,
      );
    }
  }

  private write(now: number): void {
    if (!this.active) return;
    const writes = this.core.writes(now, PROGRESS_MS);
    const progress = writes.filter((w) => !w.final);
    for (const w of writes.filter((w) => w.final)) void this.commit([w], Priority.Decision);
    for (let i = 0; i < progress.length; i += this.txnOps) {
      void this.commit(progress.slice(i, i + this.txnOps), Priority.Progress);
    }
  }

  private async commit(writes: JobWrite[], priority: Priority): Promise<void> {
    const conditions = [this.mine, ...writes.map((w) => ({ key: keys.pipeline(w.ref), version: w.version }))];
    const puts: Write[] = writes.map((w) => ({ put: keys.pipeline(w.ref), value: w.record }));
    const result = await this.ledger.txn(conditions, puts, priority, 5000);
    for (const write of writes) this.tell({ kind: 'written', write, result });
  }

  private settle(write: JobWrite, result: TxnResult): void {
    if (result.kind === 'applied') {
      this.core.written(write, result.revision);
      return;
    }
    // Whoever changed the record, the watch will tell; until then the write is simply tried again. If it was
    // applied without our knowing, the condition on its version refuses the second one.
    this.clock.after(150, () => {
      this.core.unwritten(write);
      const known = this.ledger.entries.get(keys.pipeline(write.ref));
      if (known) this.core.putPipeline(known.value as PipelineRecord, known.version, this.clock.steady());
    });
  }

  /** Rewrites the record of an empty machine, to lend it to another part or to have it returned. */
  private relend(id: string, change: (record: MachineRecord) => MachineRecord, force: boolean): void {
    const machine = this.core.machines.get(id);
    if (!machine || machine.record.phase === 'returning') return;
    if (!this.core.lock(id)) {
      if (!force) return;
      machine.locked = true;
    }
    const next = change(machine.record);
    void this.relendUntilKnown(id, machine.version, next);
  }

  private async relendUntilKnown(id: string, version: number, next: MachineRecord): Promise<void> {
    const key = keys.machine(id);
    for (;;) {
      const result = await this.ledger.txn(
        [this.mine, { key, version }],
        [{ put: key, value: next }],
        Priority.Decision,
      );
      // Not executed: the machine stays. On a conflict the watch brings what happened; it stays locked till then.
      if (result.kind === 'refused') return this.tell({ kind: 'relent', machine: id, done: false });
      if (result.kind !== 'unknown') return;
      if (!this.active) return;
    }
  }

  /** Gives the part to another controller: we stop first, then say so. */
  private async handOver(to: string, incarnation: number): Promise<void> {
    this.released = true;
    this.log.info({ part: this.core.id, to }, 'handing over');
    const next: PartRecord = { ...this.record, owner: to, incarnation };
    const conditions = [this.mine, { key: keys.member(to), version: incarnation }];
    for (;;) {
      const put: Write = { put: keys.part(this.core.id), value: next };
      const result = await this.ledger.txn(conditions, [put], Priority.Decision);
      if (result.kind === 'applied') return;
      if (
        result.kind === 'refused' ||
        (result.kind === 'conflict' && !result.failed.includes(this.mine.key))
      ) {
        this.released = false;
        return;
      }
      if (result.kind === 'conflict') return;
    }
  }
}
