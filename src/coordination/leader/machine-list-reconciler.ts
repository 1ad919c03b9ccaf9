import { type ReplicaView } from '../../storage/replica-view';
import { type ListedMachine } from '../../protocol/cloud';
import { type Settings } from '../../protocol/settings';
import { type FleetHistory } from '../fleet/fleet-history';
import { type CloudClient } from './cloud-client';
import { type MachineRegistry } from './machine-registry';

const FETCH_INTERVAL_MS = 1500;
/** Added to the interval for each recorded machine, because a long list costs more to read. */
const FETCH_INTERVAL_MS_PER_MACHINE = 3;
/** The maximum age of a list is this many times the cloud's stated lag, plus the margin. */
const MAX_LAG_RATIO = 2.5;
const LAG_MARGIN_MS = 500;

export interface MachineListReconcilerDependencies {
  settings: Settings;
  replica: ReplicaView;
  cloud: CloudClient;
  registry: MachineRegistry;
  history: FleetHistory;
  /** Receives a complete list. `requestedAt` is when it was requested, in milliseconds of the steady clock. */
  onList: (machines: ListedMachine[], requestedAt: number) => void;
}

/** Compares the cloud's machine list with the recorded machines, to register unknown machines and mark terminated ones. */
export class MachineListReconciler {
  private requestedAt = Number.NEGATIVE_INFINITY;
  private fetching = false;

  constructor(private readonly deps: MachineListReconcilerDependencies) {}

  /** Requests the list if that is due and the cloud's rate limit allows it. `onList` receives the result. */
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

  /** Registers listed machines that are not recorded, and marks recorded machines as terminated that are no longer listed. */
  reconcile(listed: readonly ListedMachine[], requestedAt: number, now: number): void {
    const { registry, history } = this.deps;
    const names = new Set<string>();
    for (const machine of listed) {
      names.add(machine.name);
      history.recordListed(machine, requestedAt, now);
      // A machine is unknown if its request was carried out late or is not answered yet, or if no controller has requested it.
      if (!registry.knows(machine.name)) registry.register(machine.name, machine);
    }
    this.markUnlisted(names, requestedAt, now);
    history.retain((id) => names.has(id) || registry.knows(id));
  }

  /**
   * Marks machines as terminated if their absence from the list proves that they are gone. A list lags behind, so it may not
   * show a new machine yet. A machine that was listed stays listed until it is terminated, so its absence is proof once its
   * first listing is older than any list can be.
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
