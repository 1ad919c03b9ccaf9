import { type ReplicaView } from '../../storage/replica-view';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient } from '../../storage/state-store-client';
import { type MachineType } from '../../protocol/cloud';
import { keys } from '../../protocol/keys';
import { type CloudClient } from './cloud-client';

const REFRESH_INTERVAL_MS = 20_000;
/** Interval until the catalog has been read once. It is short because no submission can be accepted without machine types. */
const INITIAL_REFRESH_INTERVAL_MS = 1000;

export interface MachineCatalogDependencies {
  cloud: CloudClient;
  stateStore: StateStoreClient;
  replica: ReplicaView;
}

/** The machine types that the cloud offers, refreshed at intervals and shared through the state store. */
export class MachineCatalog {
  /** Machine types by name; empty until the first successful read from the cloud. */
  types: ReadonlyMap<string, MachineType> = new Map();
  private requestedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly deps: MachineCatalogDependencies) {}

  /** Whether neither this controller nor the state store knows any machine type. */
  get missing(): boolean {
    return this.deps.replica.machineTypes.size === 0 && this.types.size === 0;
  }

  /** Reads the catalog if that is due and the cloud's rate limit allows it. */
  refresh(now: number): void {
    const intervalMs = this.types.size === 0 ? INITIAL_REFRESH_INTERVAL_MS : REFRESH_INTERVAL_MS;
    if (now - this.requestedAt <= intervalMs || !this.deps.cloud.tryAcquireCall()) return;
    this.requestedAt = now;
    void this.fetch();
  }

  private async fetch(): Promise<void> {
    const { cloud, stateStore, replica } = this.deps;
    const types = await cloud.fetchCatalog();
    if (!types) return;
    this.types = new Map(types.map((type) => [type.name, type]));
    // Other controllers read the machine types from the state store, also while the cloud does not respond.
    if (replica.machineTypes.size > 0) return;
    const write = { put: keys.catalog, value: types };
    await stateStore.transact([{ key: keys.catalog, revision: 0 }], [write], RequestPriority.Decision);
  }
}
