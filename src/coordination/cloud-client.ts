import { type Clock } from '../transport/clock';
import { type HttpAnswer } from '../transport/http-client';
import { type Log } from '../transport/log';
import { RateLimiter } from '../transport/rate-limiter';
import {
  listPath,
  parseCatalog,
  parseMachineList,
  parseRental,
  rentalBody,
  returnBody,
  type ListedMachine,
  type MachineType,
  type RentalOrder,
} from '../protocol/cloud';

/** How a request reaches the cloud; null: no answer in time. */
export interface CloudTransport {
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpAnswer | null>;
}

/** What the cloud says to an order. */
export type RentalResult =
  | { kind: 'rented'; machines: string[] }
  /** It has none of this kind just now. */
  | { kind: 'sold-out' }
  /** No answer, or none that is understood: the order may be carried out yet. */
  | { kind: 'unknown' };

const CLOUD_MS = 4000;
/** Of the calls that the cloud allows, the share that one controller makes. */
const RATE_SHARE = 0.8;

/** The calls to the cloud, within its limit. */
export class CloudClient {
  private readonly limiter: RateLimiter;

  constructor(
    private readonly transport: CloudTransport,
    private readonly clock: Clock,
    private readonly log: Log,
    rate: number,
  ) {
    this.limiter = new RateLimiter(rate * RATE_SHARE, rate);
  }

  /** Takes the right to one call; false: not just now. */
  mayCall(): boolean {
    return this.limiter.take(this.clock.steady(), 1);
  }

  async catalog(): Promise<MachineType[] | null> {
    const answer = await this.transport.call('GET', '/catalog', undefined, CLOUD_MS);
    return answer?.status === 200 ? this.understood(parseCatalog(answer.body), 'catalog') : null;
  }

  /** All pages of the list of machines; null if one of them does not come. */
  async list(): Promise<ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    let after = '';
    for (;;) {
      const answer = await this.transport.call('GET', listPath(after), undefined, CLOUD_MS);
      const page =
        answer?.status === 200 ? this.understood(parseMachineList(answer.body), 'list of machines') : null;
      if (!page) return null;
      machines.push(...page.machines);
      const last = page.machines[page.machines.length - 1];
      if (!page.more || !last) return machines;
      after = last.name;
    }
  }

  /** Orders machines under a name that was never used before. */
  async rent(name: string, order: RentalOrder): Promise<RentalResult> {
    const answer = await this.transport.call('POST', '/rentals', rentalBody(name, order), CLOUD_MS);
    const machines = answer?.status === 200 ? parseRental(answer.body) : null;
    this.log.info({ order, status: answer?.status ?? null, rented: machines?.length ?? null }, 'rental');
    if (machines) return { kind: 'rented', machines };
    return { kind: answer?.status === 503 ? 'sold-out' : 'unknown' };
  }

  /** True once the machines are surely gone. */
  async giveBack(machines: string[]): Promise<boolean> {
    const answer = await this.transport.call('POST', '/rentals/return', returnBody(machines), CLOUD_MS);
    return answer?.status === 200;
  }

  private understood<T>(parsed: T | null, what: string): T | null {
    if (parsed === null) this.log.info({ what }, 'malformed answer of the cloud');
    return parsed;
  }
}
