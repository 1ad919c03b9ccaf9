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

/** Sends requests to the cloud. A call resolves to null if no response arrives within `timeoutMs`. */
export interface CloudTransport {
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse | null>;
}

/** The outcome of a request for machines. */
export type ProvisionResult =
  | { kind: 'provisioned'; machines: string[] }
  /** The cloud currently has no machine of this kind. */
  | { kind: 'capacity-exhausted' }
  /** The response is missing, malformed or of another status. The cloud may still carry the request out. */
  | { kind: 'unknown' };

const REQUEST_TIMEOUT_MS = 4000;
/** The share of the cloud's request rate limit that one controller uses. */
const RATE_LIMIT_RATIO = 0.8;
const CAPACITY_EXHAUSTED_STATUS = 503;

export interface CloudClientOptions {
  transport: CloudTransport;
  clock: Clock;
  log: Log;
  /** The cloud's rate limit in requests per second. */
  requestRate: number;
}

/**
 * Client of the cloud's interface. Each call of a method must be preceded by a successful `tryAcquireCall`; one covers all pages
 * of a machine list.
 */
export class CloudClient {
  private readonly limiter: RateLimiter;

  constructor(private readonly options: CloudClientOptions) {
    const { requestRate } = options;
    this.limiter = new RateLimiter(requestRate * RATE_LIMIT_RATIO, requestRate);
  }

  /** Takes one call from the rate limit. Returns false if none is left at present. */
  tryAcquireCall(): boolean {
    return this.limiter.tryTake(this.options.clock.steady(), 1);
  }

  /** Fetches the machine types that the cloud offers. Resolves to null if the response is missing, malformed or an error. */
  async fetchCatalog(): Promise<MachineType[] | null> {
    const response = await this.call('GET', cloudPaths.catalog);
    return response?.status === 200 ? this.checkParsed(parseCatalog(response.body), 'catalog') : null;
  }

  /** Fetches all pages of the machine list. Resolves to null if the response for a page is missing, malformed or an error. */
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

  /** Requests machines. `requestId` must differ from the ids of all earlier requests. */
  async provision(requestId: string, request: ProvisionRequest): Promise<ProvisionResult> {
    const response = await this.call('POST', cloudPaths.provision, provisionBody(requestId, request));
    const status = response?.status ?? null;
    const machines = response?.status === 200 ? parseProvisioned(response.body) : null;
    this.options.log.info({ request, status, provisioned: machines?.length ?? null }, 'scale-out request');
    if (machines) return { kind: 'provisioned', machines };
    return { kind: status === CAPACITY_EXHAUSTED_STATUS ? 'capacity-exhausted' : 'unknown' };
  }

  /** Returns machines to the cloud. Resolves to true if the cloud has confirmed that they are gone. */
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
