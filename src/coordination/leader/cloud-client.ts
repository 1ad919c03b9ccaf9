import { type Clock } from '../../transport/clock';
import { type HttpResponse } from '../../transport/http-client';
import { type Log } from '../../transport/log';
import { RateLimiter } from '../../transport/rate-limiter';
import {
  machineListPath,
  parseCatalog,
  parseMachineList,
  parseProvisioned,
  provisionBody,
  deprovisionBody,
  type ListedMachine,
  type MachineType,
  type MachineRequest,
} from '../../protocol/cloud';

/** How a request reaches the cloud; null: no answer in time. */
export interface CloudTransport {
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse | null>;
}

/** What the cloud says to an order. */
export type ProvisionResult =
  | { kind: 'provisioned'; machines: string[] }
  /** It has none of this kind just now. */
  | { kind: 'capacity-exhausted' }
  /** No answer, or none that is understood: the order may be carried out yet. */
  | { kind: 'unknown' };

const CLOUD_REQUEST_TIMEOUT_MS = 4000;
/** Of the calls that the cloud allows, the share that one controller makes. */
const RATE_LIMIT_RATIO = 0.8;

/** The calls to the cloud, within its limit. */
export class CloudClient {
  private readonly limiter: RateLimiter;

  constructor(
    private readonly transport: CloudTransport,
    private readonly clock: Clock,
    private readonly log: Log,
    rate: number,
  ) {
    this.limiter = new RateLimiter(rate * RATE_LIMIT_RATIO, rate);
  }

  /** Takes the right to one call; false: not just now. */
  tryAcquireCall(): boolean {
    return this.limiter.take(this.clock.steady(), 1);
  }

  async fetchCatalog(): Promise<MachineType[] | null> {
    const response = await this.transport.call('GET', '/catalog', undefined, CLOUD_REQUEST_TIMEOUT_MS);
    return response?.status === 200 ? this.checkParsed(parseCatalog(response.body), 'catalog') : null;
  }

  /** All pages of the list of machines; null if one of them does not come. */
  async listMachines(): Promise<ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    let after = '';
    for (;;) {
      const response = await this.transport.call(
        'GET',
        machineListPath(after),
        undefined,
        CLOUD_REQUEST_TIMEOUT_MS,
      );
      const page =
        response?.status === 200 ? this.checkParsed(parseMachineList(response.body), 'machine list') : null;
      if (!page) return null;
      machines.push(...page.machines);
      const last = page.machines[page.machines.length - 1];
      if (!page.more || !last) return machines;
      after = last.name;
    }
  }

  /** Orders machines under a name that was never used before. */
  async provision(name: string, request: MachineRequest): Promise<ProvisionResult> {
    const response = await this.transport.call(
      'POST',
      '/rentals',
      provisionBody(name, request),
      CLOUD_REQUEST_TIMEOUT_MS,
    );
    const machines = response?.status === 200 ? parseProvisioned(response.body) : null;
    this.log.info(
      { request, status: response?.status ?? null, provisioned: machines?.length ?? null },
      'scale-out request',
    );
    if (machines) return { kind: 'provisioned', machines };
    return { kind: response?.status === 503 ? 'capacity-exhausted' : 'unknown' };
  }

  /** True once the machines are surely gone. */
  async deprovision(machines: string[]): Promise<boolean> {
    const response = await this.transport.call(
      'POST',
      '/rentals/return',
      deprovisionBody(machines),
      CLOUD_REQUEST_TIMEOUT_MS,
    );
    return response?.status === 200;
  }

  private checkParsed<T>(parsed: T | null, endpoint: string): T | null {
    if (parsed === null) this.log.info({ endpoint }, 'malformed cloud response');
    return parsed;
  }
}
