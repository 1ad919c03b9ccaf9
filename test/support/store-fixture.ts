import pino from 'pino';
import { PartitionStore } from '../../src/coordination/partition/partition-store';
import { keys } from '../../src/protocol/keys';
import { type Write } from '../../src/protocol/store';
import { ReplicaView } from '../../src/storage/replica-view';
import { RequestPriority } from '../../src/storage/request-queue';
import { StateStoreClient } from '../../src/storage/state-store-client';
import { type StoreTransport } from '../../src/storage/store-connection';
import { type Clock } from '../../src/transport/clock';
import { type HttpResponse } from '../../src/transport/http-client';
import { flushPromises, VirtualTime } from '../standin/clock';
import { FakeStateStore } from '../standin/store';
import { type StoreLimits } from '../standin/transaction-limits';

/** As in the settings: values stay below the store's limit by a margin. */
export const VALUE_MARGIN_BYTES = 64;
const ENTRIES_PER_PAGE = 1000;
const LATENCY_MS = 5;

/** The limits that controllers keep to if the state store has these. */
export function valueLimits({ valueKb, txnOps }: StoreLimits): { valueBytes: number; txnOps: number } {
  return { valueBytes: valueKb * 1024 - VALUE_MARGIN_BYTES, txnOps };
}

/** A client of a fake state store with these limits, in virtual time. */
export class StoreFixture {
  readonly time = new VirtualTime();
  readonly clock: Clock = this.time.clock(() => true);
  readonly log = pino({ level: 'silent' });
  readonly store: FakeStateStore;
  readonly stateStore: StateStoreClient;
  readonly replica: ReplicaView;
  /** Why the store rejected transactions as malformed. */
  readonly rejections: string[] = [];
  /** For each of the next transactions that get no response: the time in milliseconds after which it is applied. */
  readonly lateTransactionsMs: number[] = [];

  constructor(limits: StoreLimits) {
    this.store = new FakeStateStore(this.time, ENTRIES_PER_PAGE, limits);
    this.store.onRejected = (reason) => void this.rejections.push(reason);
    const call: StoreTransport['call'] = (method, path, body, timeoutMs) =>
      this.request(method, path, body, timeoutMs);
    this.stateStore = new StateStoreClient(
      { transport: { call }, watchTransport: { call }, clock: this.clock, log: this.log },
      { requestRate: 1000, writeRate: 1000, controllers: 1 },
    );
    this.replica = new ReplicaView(this.stateStore.replica, this.log);
    void this.stateStore.followChanges();
  }

  private async request(
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<HttpResponse | null> {
    const sent: unknown = body === undefined ? undefined : JSON.parse(JSON.stringify(body));
    const execute = (): Promise<HttpResponse> => this.store.request(method, path, sent, () => false);
    const lateMs = path === '/multi' ? this.lateTransactionsMs.shift() : undefined;
    if (lateMs !== undefined) {
      this.time.at(this.time.now + lateMs, () => void execute());
      await this.after(timeoutMs);
      return null;
    }
    await this.after(LATENCY_MS);
    return execute();
  }

  private after(ms: number): Promise<void> {
    return new Promise((resolve) => this.time.at(this.time.now + ms, resolve));
  }

  /** Advances virtual time. */
  async run(ms: number): Promise<void> {
    await flushPromises();
    await this.time.run(this.time.now + ms);
  }

  /** Puts a value; resolves to the revision of the write. */
  async put(key: string, value: unknown): Promise<number> {
    const write: Write = { put: key, value };
    const result = this.stateStore.transact([], [write], RequestPriority.Decision);
    await this.run(1000);
    const applied = await result;
    if (applied.kind !== 'applied') throw new Error(`put of ${key}: ${applied.kind}`);
    return applied.revision;
  }

  /** Creates a partition and returns its owner's access to the store. */
  async partitionStore(partition: string): Promise<PartitionStore> {
    const epoch = await this.put(keys.partition(partition), { teams: [], owner: 'a', incarnation: 1 });
    const { stateStore, replica, clock } = this;
    return new PartitionStore({ partition, epoch, stateStore, replica, clock, isActive: () => true });
  }
}
