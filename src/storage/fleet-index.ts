import { type Subject } from 'rxjs';
import { partitionOfKey } from '../protocol/keys';
import { type FleetEntry } from '../protocol/records';
import { type ReplicaEvent } from './replica-events';

/** The record of a machine and the key of the fleet value that holds it. */
export interface StoredMachine extends FleetEntry {
  key: string;
}

/** All machines in the replica, indexed by id and by the fleet value that holds them. */
export class FleetIndex {
  readonly machines = new Map<string, StoredMachine>();
  /** Keys of fleet values that exist but hold no machine. */
  readonly emptyKeys = new Set<string>();
  private readonly fleetValues = new Map<string, ReadonlyMap<string, FleetEntry>>();
  /** Machines that were dropped from the value that held them, until the replica is a snapshot again. */
  private readonly removalCandidates = new Map<string, { key: string; partition: string }>();

  constructor(private readonly events: Subject<ReplicaEvent>) {}

  /** The machines of one fleet value; empty if the replica does not hold the key. */
  fleetInKey(key: string): ReadonlyMap<string, FleetEntry> {
    return this.fleetValues.get(key) ?? new Map<string, FleetEntry>();
  }

  /** The non-empty fleet values of a partition, with their keys. */
  fleetValuesOf(partition: string): [string, ReadonlyMap<string, FleetEntry>][] {
    return [...this.fleetValues].filter(([key]) => partitionOfKey(key) === partition);
  }

  /** Applies the machines of a changed fleet value, or null if its key was removed. */
  setFleetValue(key: string, machines: ReadonlyMap<string, FleetEntry> | null): void {
    const before = this.fleetValues.get(key);
    const after = machines ?? new Map<string, FleetEntry>();
    if (after.size > 0) this.fleetValues.set(key, after);
    else this.fleetValues.delete(key);
    if (machines !== null && after.size === 0) this.emptyKeys.add(key);
    else this.emptyKeys.delete(key);
    for (const [id, entry] of after) this.setMachine(id, entry, key);
    const partition = partitionOfKey(key);
    for (const id of before?.keys() ?? []) {
      if (!after.has(id) && this.machines.get(id)?.key === key)
        this.removalCandidates.set(id, { key, partition });
    }
  }

  /**
   * Publishes the removal of the machines that no value holds; to be called once the replica is a snapshot. A merge of values
   * consists of several changes, and a refill of the replica applies them in the order of their keys. A machine that only moved
   * to another value must not be reported as removed, or its tasks would be started a second time.
   */
  publishRemovals(): void {
    for (const [id, { key, partition }] of this.removalCandidates) {
      if (this.machines.get(id)?.key !== key || this.fleetValues.get(key)?.has(id)) continue;
      this.machines.delete(id);
      this.events.next({ kind: 'machine-removed', id, partition });
    }
    this.removalCandidates.clear();
  }

  private setMachine(id: string, entry: FleetEntry, key: string): void {
    const known = this.machines.get(id);
    if (known && known.revision > entry.revision) return;
    this.machines.set(id, { ...entry, key });
    // Rewriting a value does not change the machines in it that keep their revision.
    if (known?.revision !== entry.revision) this.events.next({ kind: 'machine', id, entry });
  }
}
