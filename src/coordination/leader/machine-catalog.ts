import { isDeepStrictEqual } from 'node:util';
import { type ReplicaView } from '../../storage/replica-view';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient } from '../../storage/state-store-client';
import { machineTypesByName, type MachineType } from '../../protocol/cloud';
import { keys } from '../../protocol/keys';
import { type CloudClient } from './cloud-client';

const REFRESH_INTERVAL_MS = 20_000;
/** Interval until the catalog has been read once. It is short because no submission can be accepted without machine types. */
const INITIAL_REFRESH_INTERVAL_MS = 1000;
/** The leader's term of a controller that does not lead. */
const NO_TERM = 0;

export interface MachineCatalogDependencies {
  cloud: CloudClient;
  stateStore: StateStoreClient;
  replica: ReplicaView;
}

/**
 * The machine types that the cloud offers. Any controller reads and records them until some are recorded; then the leader alone reads
 * them, three times a minute, and records what has changed. All controllers decide by the recorded types, which they know by
 * the watch; only the leader's plans use the present prices.
 */
export class MachineCatalog {
  /** Machine types by name, as this controller last read them; empty until the first successful read from the cloud. */
  types: ReadonlyMap<string, MachineType> = new Map();
  private requestedAt = Number.NEGATIVE_INFINITY;
  /** The types that the state store has rejected as too large; they are not sent again unchanged. */
  private rejected: ReadonlyMap<string, MachineType> = new Map();

  constructor(private readonly deps: MachineCatalogDependencies) {}

  /** Whether neither this controller nor the state store knows any machine type. */
  private get missing(): boolean {
    return this.deps.replica.machineTypes.size === 0 && this.types.size === 0;
  }

  /** Reads the catalog until its first types are known, if that is due and the cloud's rate limit allows it. */
  refreshIfMissing(now: number): void {
    if (this.missing) this.refresh(now, NO_TERM);
  }

  /** Reads the catalog as the leader of this term, if that is due and the cloud's rate limit allows it. */
  refresh(now: number, leaderTerm: number): void {
    const intervalMs = this.types.size === 0 ? INITIAL_REFRESH_INTERVAL_MS : REFRESH_INTERVAL_MS;
    if (now - this.requestedAt <= intervalMs || !this.deps.cloud.tryAcquireCall()) return;
    this.requestedAt = now;
    void this.fetch(leaderTerm);
  }

  private async fetch(leaderTerm: number): Promise<void> {
    const types = await this.deps.cloud.fetchCatalog();
    if (!types) return;
    this.types = machineTypesByName(types);
    await this.record(types, leaderTerm);
  }

  /**
   * Records types that are new or have changed. Types that the cloud offers no more stay recorded, because there may be machines of them.
   * The conditions keep a leader that was replaced, or a transaction that is carried out late, from overwriting newer types.
   */
  private async record(types: readonly MachineType[], leaderTerm: number): Promise<void> {
    const { stateStore, replica } = this.deps;
    const recorded = replica.machineTypes;
    const isFirst = recorded.size === 0;
    if (!isFirst && leaderTerm === NO_TERM) return;
    if (containsAll(recorded, types) || containsAll(this.rejected, types)) return;
    const value = [...new Map([...recorded, ...machineTypesByName(types)]).values()];
    const unchanged = { key: keys.catalog, revision: replica.machineTypesRevision };
    const conditions = isFirst ? [unchanged] : [unchanged, { key: keys.leader, revision: leaderTerm }];
    const write = { put: keys.catalog, value };
    const result = await stateStore.transact(conditions, [write], RequestPriority.Decision);
    this.rejected = machineTypesByName(result.kind === 'rejected' ? types : []);
  }
}

function containsAll(recorded: ReadonlyMap<string, MachineType>, types: readonly MachineType[]): boolean {
  return types.every((type) => isSameType(recorded.get(type.name), type));
}

/** Whether two types differ in their prices at most, which change all the time. */
function isSameType(recorded: MachineType | undefined, type: MachineType): boolean {
  return recorded !== undefined && isDeepStrictEqual(withoutPrices(recorded), withoutPrices(type));
}

function withoutPrices(type: MachineType): MachineType {
  return { ...type, price: 0, spotPrice: 0 };
}
