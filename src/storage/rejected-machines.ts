import { type Log } from '../transport/log';
import { type FleetChanges } from './fleet-edit';

/**
 * The machines whose change of record cannot be written. An edit that the state store rejects is not repeated unchanged: its
 * machines are tried one by one, and a machine whose change is rejected alone is not tried again. Each is logged once.
 */
export class RejectedMachines {
  /** Machines of rejected edits that changed several machines. */
  private readonly suspects = new Set<string>();
  private readonly excluded = new Set<string>();
  private readonly logged = new Set<string>();

  constructor(private readonly log: Log) {}

  /** Whether the change of this machine's record is not to be tried again. */
  isExcluded(id: string): boolean {
    return this.excluded.has(id);
  }

  /** The changes to plan next: one that must be tried alone, otherwise all that are not excluded. */
  changesToTry(changes: FleetChanges): FleetChanges {
    if (this.suspects.size === 0 && this.excluded.size === 0) return changes;
    const allowed = [...changes].filter(([id]) => !this.excluded.has(id));
    const suspect = allowed.find(([id]) => this.suspects.has(id));
    return new Map(suspect ? [suspect] : allowed);
  }

  /** Records that the state store rejected an edit of these machines. */
  recordRejection(ids: readonly string[]): void {
    const [id] = ids;
    if (ids.length > 1 || id === undefined) {
      for (const suspect of ids) this.suspects.add(suspect);
      return;
    }
    this.exclude(id);
  }

  /** Records that the record of a machine fits into no value. */
  exclude(id: string): void {
    this.suspects.delete(id);
    this.excluded.add(id);
    this.logUnwritable([id]);
  }

  /** Records that an edit of these machines was not rejected. */
  recordAccepted(ids: readonly string[]): void {
    for (const id of ids) this.suspects.delete(id);
  }

  /** Logs machines whose change does not fit into the limits of the state store, unless they were logged before. */
  logUnwritable(ids: readonly string[]): void {
    const machines = ids.filter((id) => !this.logged.has(id));
    if (machines.length === 0) return;
    for (const id of machines) this.logged.add(id);
    this.log.error({ machines }, 'machine record exceeds the limits of the state store');
  }
}
