import { type Clock } from '../transport/clock';
import { type Report } from '../protocol/workers';
import { type ReplicaView, type StoredPartition } from '../storage/replica-view';
import { MisroutedReports } from './reachability';
import { type ReportReply } from './report-gateway';

/** Machines that come here within this time of a change of owner are merely on their way. */
const SETTLED_MS = 8000;
/** Of the 4 s that a machine waits for an answer. */
const PARKED_MS = 2000;
const PARKED_BRIEFLY_MS = 800;

/** A report of a machine whose partition may be about to change hands. */
interface ParkedReport {
  report: Report;
  reply: (reply: ReportReply) => void;
  partition: string;
  /** Version of the partition's record when it came. */
  version: number;
}

/** Keeps misrouted reports for a moment instead of sending them back, where their partition may be about to change hands. */
export class ParkedReports {
  readonly misrouted = new MisroutedReports();
  /** When the replica first showed a partition's present owner. */
  private readonly ownedSince = new Map<string, { version: number; at: number }>();
  private parked: ParkedReport[] = [];

  constructor(
    private readonly replica: ReplicaView,
    private readonly clock: Clock,
    /** Answers a report once more, and does not have it kept again. */
    private readonly answer: (report: Report, reply: (reply: ReportReply) => void) => void,
  ) {}

  /** Keeps a report of another owner's machine if the owner may change; false: it may not, and nothing is kept. */
  park(report: Report, reply: (reply: ReportReply) => void, stored: StoredPartition): boolean {
    if (!this.ownerMayChange(stored.id, report.machine)) return false;
    const parked = { report, reply, partition: stored.id, version: stored.version };
    this.parked.push(parked);
    this.clock.after(this.parkedMs(stored), () => this.release((p) => p === parked));
    return true;
  }

  /** Answers reports of partitions whose owners have changed. */
  ownersChanged(): void {
    const now = this.clock.steady();
    for (const { id, version } of this.replica.partitions.values())
      if (this.ownedSince.get(id)?.version !== version) this.ownedSince.set(id, { version, at: now });
    this.release((p) => this.replica.partitions.get(p.partition)?.version !== p.version);
  }

  /**
   * Many machines come here at once that another controller has owned for a while: it is gone, or cut from them. Sent
   * back there they would lose seconds of their leases, each time anew, until the partition has changed hands.
   */
  private ownerMayChange(partition: string, machine: string): boolean {
    const now = this.clock.steady();
    this.misrouted.note(partition, machine, now);
    const machines = this.replica.fleetOf(partition).reduce((n, [, fleet]) => n + fleet.size, 0);
    return this.misrouted.many(partition, machines, now);
  }

  /** Just after a change of owner they are on their way to the new one, who is glad if not all come at once. */
  private parkedMs({ id, version }: StoredPartition): number {
    const since = this.ownedSince.get(id);
    const settled = since?.version === version && this.clock.steady() - since.at > SETTLED_MS;
    return settled ? PARKED_MS : PARKED_BRIEFLY_MS;
  }

  private release(isOver: (parked: ParkedReport) => boolean): void {
    const answered = this.parked.filter(isOver);
    if (answered.length === 0) return;
    this.parked = this.parked.filter((p) => !isOver(p));
    for (const { report, reply } of answered) this.answer(report, reply);
  }
}
