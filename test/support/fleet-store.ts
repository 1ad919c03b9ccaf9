import pino from 'pino';
import { keyKind, KEY_KINDS, keys, partitionOfKey } from '../../src/protocol/keys';
import { decodeFleet, encodeFleet, type FleetEntry, type MachineRecord } from '../../src/protocol/records';
import { transactionBody, type Condition, type Write } from '../../src/protocol/store';
import { ReplicaView } from '../../src/storage/replica-view';
import { StoreReplica } from '../../src/storage/store-replica';
import { VirtualTime } from '../standin/clock';
import { transactionError, type StoreLimits, type TransactionBody } from '../standin/transaction-limits';

/** A transaction as one of the controllers planned it. */
export interface PlannedTransaction {
  conditions: readonly Condition[];
  writes: readonly Write[];
}

/** Every owner's transaction also has the condition that the partition still has its epoch. */
const EPOCH_CONDITION: Condition = { key: keys.partition('p0'), revision: 1 };

/** A state store that holds one partition record and fleet values, and a replica that shows every change at once. */
export class FleetStore {
  readonly replica: ReplicaView;
  /** Why transactions were rejected as malformed. */
  readonly rejections: string[] = [];
  revision = 0;
  writeCount = 0;
  private publishes = true;
  private readonly storeReplica: StoreReplica;

  constructor(private readonly limits: StoreLimits) {
    this.storeReplica = new StoreReplica(new VirtualTime().clock(() => true));
    this.replica = new ReplicaView(this.storeReplica, pino({ level: 'silent' }));
    this.apply({
      conditions: [],
      writes: [{ put: EPOCH_CONDITION.key, value: { teams: [], owner: 'a', incarnation: 1 } }],
    });
  }

  /** Applies a transaction if the store accepts it and its conditions hold; returns whether it did. */
  apply({ conditions, writes }: PlannedTransaction): boolean {
    const withEpoch = this.revision === 0 ? conditions : [EPOCH_CONDITION, ...conditions];
    const body = JSON.parse(JSON.stringify(transactionBody([...withEpoch], [...writes]))) as TransactionBody;
    const error = transactionError(body, this.limits);
    if (error !== null) {
      this.rejections.push(error);
      return false;
    }
    if (body.if.some(({ path, stamp }) => this.storeReplica.revisionOf(path) !== stamp)) return false;
    this.revision++;
    this.writeCount += body.apply.length;
    for (const change of body.apply)
      this.storeReplica.apply(
        'set' in change
          ? { key: change.set, value: change.v, revision: this.revision }
          : { key: change.delete, deleted: true, revision: this.revision },
      );
    this.storeReplica.advance(this.revision, 0);
    this.storeReplica.publishSnapshot();
    return true;
  }

  /** Writes a fleet value, whatever its size, as an earlier version or another controller may have left it. */
  putFleet(partition: string, name: string, machines: readonly [string, MachineRecord][]): void {
    const value = encodeFleet(machines.map(([id, record]) => [id, { record, revision: null }] as const));
    const change = { key: keys.fleet(partition, name), value, revision: ++this.revision };
    this.storeReplica.apply(JSON.parse(JSON.stringify(change)) as typeof change);
    if (this.publishes) this.storeReplica.publishSnapshot();
  }

  /** Makes changes that the replica receives while it is filled, so that it is not a snapshot after them. */
  showHalf(change: () => void): void {
    this.publishes = false;
    change();
    this.publishes = true;
  }

  /** The machines in the fleet values of the store, as a new replica would read them; one that is held twice occurs twice. */
  storedMachines(): [string, FleetEntry][] {
    return [...this.storeReplica.entries.values()]
      .filter(({ key }) => keyKind(key) === KEY_KINDS.fleet)
      .flatMap(({ key, value, revision }) => [
        ...(decodeFleet(partitionOfKey(key), value, revision) ?? new Map<string, FleetEntry>()),
      ]);
  }

  /** The size of each fleet value in bytes, by key. */
  fleetValueBytes(): Map<string, number> {
    const fleetEntries = [...this.storeReplica.entries.values()].filter(
      ({ key }) => keyKind(key) === KEY_KINDS.fleet,
    );
    return new Map(fleetEntries.map(({ key, value }) => [key, Buffer.byteLength(JSON.stringify(value))]));
  }
}
