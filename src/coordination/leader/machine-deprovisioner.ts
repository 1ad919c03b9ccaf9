import { type ReplicaView } from '../../storage/replica-view';
import { type CloudClient } from './cloud-client';
import { type MachineRegistry } from './machine-registry';

const MAX_MACHINES_PER_CALL = 100;

export interface MachineDeprovisionerDependencies {
  replica: ReplicaView;
  cloud: CloudClient;
  registry: MachineRegistry;
  /** `removed` is true if the cloud has confirmed that the machines are gone. */
  onResult: (machines: readonly string[], removed: boolean) => void;
}

/** Returns machines to the cloud once their partition's owner has recorded them as being deprovisioned. */
export class MachineDeprovisioner {
  private readonly inFlight = new Set<string>();
  private readonly countsByReason = new Map<string, number>();

  constructor(private readonly deps: MachineDeprovisionerDependencies) {}

  /** Returns the machines that are due, in one call. Machines that the cloud does not confirm are returned again later. */
  deprovisionDue(): void {
    const { cloud, onResult } = this.deps;
    const due = this.dueMachines();
    if (due.length === 0 || !cloud.tryAcquireCall()) return;
    for (const { id, reason } of due) {
      this.inFlight.add(id);
      this.countsByReason.set(reason, (this.countsByReason.get(reason) ?? 0) + 1);
    }
    const machines = due.map(({ id }) => id);
    void cloud.deprovision(machines).then((removed) => onResult(machines, removed));
  }

  private dueMachines(): { id: string; reason: string }[] {
    const { replica, registry } = this.deps;
    const due: { id: string; reason: string }[] = [];
    for (const [id, { record }] of replica.machines) {
      if (record.phase !== 'deprovisioning' || this.inFlight.has(id) || registry.isTerminated(id)) continue;
      due.push({ id, reason: record.reason ?? 'unknown' });
      if (due.length === MAX_MACHINES_PER_CALL) break;
    }
    return due;
  }

  handleResult(machines: readonly string[], removed: boolean): void {
    for (const id of machines) this.inFlight.delete(id);
    if (removed) for (const id of machines) this.deps.registry.markTerminated(id);
  }

  /** Number of machines returned since the previous call, by reason. Retries count again. Resets the counts. */
  takeCountsByReason(): Record<string, number> {
    const counts = Object.fromEntries(this.countsByReason);
    this.countsByReason.clear();
    return counts;
  }
}
