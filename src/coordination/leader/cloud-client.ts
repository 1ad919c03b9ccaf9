import { type Clock } from '../../transport/clock';
import { type HttpResponse } from '../../transport/http-client';
import { type Log } from '../../transport/log';
import { RateLimiter } from '../../transport/rate-limiter';
import {
  deprovisionBody,
  cloudPaths,
  parseCatalog,
  parseMachineList,
  parseProvisioned,
  provisionBody,
  type ListedMachine,
  type ProvisionRequest,
  type MachineType,
} from '../../protocol/cloud';

/** How a request reaches the cloud; null: no response within `timeoutMs`. */
export interface CloudTransport {
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse | null>;
}

/** The cloud's answer to a request for machines. */
export type ProvisionResult =
  | { kind: 'provisioned'; machines: string[] }
  /** It has no machine of this kind at present. */
  | { kind: 'capacity-exhausted' }
  /** No response, or a malformed one: the request may still be carried out. */
  | { kind: 'unknown' };

const REQUEST_TIMEOUT_MS = 4000;
/** The share of the cloud's request limit that one controller uses. */
const RATE_LIMIT_RATIO = 0.8;
const CAPACITY_EXHAUSTED_STATUS = 503;

export interface CloudClientOptions {
  transport: CloudTransport;
  clock: Clock;
  log: Log;
  /** Requests per second that the cloud allows. */
  requestRate: number;
}

/** The calls to the cloud. Every call but the pages of a list is to be preceded by a successful `tryAcquireCall`. */
export class CloudClient {
  private readonly limiter: RateLimiter;

  constructor(private readonly options: CloudClientOptions) {
    const { requestRate } = options;
    this.limiter = new RateLimiter(requestRate * RATE_LIMIT_RATIO, requestRate);
  }

  /** Takes one call of the request limit; false: none is left at present. */
  tryAcquireCall(): boolean {
    return this.limiter.take(this.options.clock.steady(), 1);
  }

  /** The machine types that the cloud offers; null: no response, or a malformed one. */
  async fetchCatalog(): Promise<MachineType[] | null> {
    const response = await this.call('GET', cloudPaths.catalog);
    return response?.status === 200 ? this.checkParsed(parseCatalog(response.body), 'catalog') : null;
  }

  /** All pages of the list of machines; null: one of them did not come, or was malformed. */
  async listMachines(): Promise<ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    let after = '';
    for (;;) {
      const response = await this.call('GET', cloudPaths.machineList(after));
      if (response?.status !== 200) return null;
      const page = this.checkParsed(parseMachineList(response.body), 'machine list');
      if (!page) return null;
      machines.push(...page.machines);
      const last = page.machines[page.machines.length - 1];
      if (!page.more || !last) return machines;
      after = last.name;
    }
  }

  /** Requests machines under a name that no request had before. */
  async provision(name: string, request: ProvisionRequest): Promise<ProvisionResult> {
    const response = await this.call('POST', cloudPaths.provision, provisionBody(name, request));
    const status = response?.status ?? null;
    const machines = response?.status === 200 ? parseProvisioned(response.body) : null;
    this.options.log.info({ request, status, provisioned: machines?.length ?? null }, 'scale-out request');
    if (machines) return { kind: 'provisioned', machines };
    return { kind: status === CAPACITY_EXHAUSTED_STATUS ? 'capacity-exhausted' : 'unknown' };
  }

  /** Gives machines back; true: the cloud has confirmed that they are gone. */
  async deprovision(machines: string[]): Promise<boolean> {
    const response = await this.call('POST', cloudPaths.deprovision, deprovisionBody(machines));
    return response?.status === 200;
  }

  private call(method: string, path: string, body?: unknown): Promise<HttpResponse | null> {
    return this.options.transport.call(method, path, body, REQUEST_TIMEOUT_MS);
  }

  private checkParsed<T>(parsed: T | null, endpoint: string): T | null {
    if (parsed === null) this.options.log.info({ endpoint }, 'malformed cloud response');
    return parsed;
  }
}
