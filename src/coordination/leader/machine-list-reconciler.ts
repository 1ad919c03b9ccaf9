import { type ReplicaView } from '../../storage/replica-view';
import { type ListedMachine } from '../../protocol/cloud';
import { type Settings } from '../../protocol/settings';
import { type FleetHistory } from '../fleet/fleet-history';
import { type CloudClient } from './cloud-client';
import { type MachineRegistry } from './machine-registry';

const FETCH_INTERVAL_MS = 1500;
/** A long list costs more and is read less often. */
const FETCH_INTERVAL_MS_PER_MACHINE = 3;
/** A list is at most this many times the cloud's stated lag old, and the margin. */
const MAX_LAG_RATIO = 2.5;
const LAG_MARGIN_MS = 500;

export interface MachineListReconcilerDependencies {
  settings: Settings;
  replica: ReplicaView;
  cloud: CloudClient;
  registry: MachineRegistry;
  history: FleetHistory;
  /** Takes a complete list that was requested at this moment of the steady clock. */
  onList: (machines: ListedMachine[], requestedAt: number) => void;
}

/** Compares the cloud's list of machines with the recorded ones, to register what is unknown and remove what is gone. */
export class MachineListReconciler {
  private requestedAt = Number.NEGATIVE_INFINITY;
  private fetching = false;

  constructor(private readonly deps: MachineListReconcilerDependencies) {}

  /** Requests the list if that is due and the cloud's request limit allows it; `onList` gets the result. */
  fetch(now: number): void {
    const intervalMs = FETCH_INTERVAL_MS + FETCH_INTERVAL_MS_PER_MACHINE * this.deps.replica.machines.size;
    if (this.fetching || now - this.requestedAt <= intervalMs || !this.deps.cloud.tryAcquireCall()) return;
    this.requestedAt = now;
    this.fetching = true;
    void this.deps.cloud.listMachines().then((machines) => {
      this.fetching = false;
      if (machines) this.deps.onList(machines, now);
    });
  }

  /** Registers machines that are listed and not recorded, and marks those terminated that are no longer listed. */
  reconcile(listed: readonly ListedMachine[], requestedAt: number, now: number): void {
    const { registry, history } = this.deps;
    const names = new Set<string>();
    for (const machine of listed) {
      names.add(machine.name);
      history.recordListed(machine, requestedAt, now);
      // A request that was carried out late, or a machine that was there before the first controller.
      if (!registry.knows(machine.name)) registry.register(machine.name, machine);
    }
    this.markUnlisted(names, requestedAt, now);
  }

  /**
   * A list lags behind, so it may not show a machine yet. A machine that was listed stays listed until it is terminated:
   * once its first listing is older than any list can be, its absence is proof.
   */
  private markUnlisted(names: ReadonlySet<string>, requestedAt: number, now: number): void {
    const { settings, replica, registry, history } = this.deps;
    const maxListAgeMs = MAX_LAG_RATIO * settings.cloudListLagMs + LAG_MARGIN_MS;
    for (const id of replica.machines.keys()) {
      history.getOrCreateHistory(id, now);
      const wasListed = (history.listedForMs(id, requestedAt) ?? 0) > maxListAgeMs;
      if (!names.has(id) && wasListed) registry.markTerminated(id);
    }
  }
}
