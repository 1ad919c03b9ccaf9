import type { HttpResponse } from '../../src/transport/http-client';
import type { TimeSource } from './clock';
import { DEFAULT_WORKER_ADDRESS, FakeWorker, type FakeWorkerHooks } from './fake-worker';
import { jsonResponse } from './json-response';

/** Default number of machines on a page of the list. Pages are short, so that the list can change between two of them. */
const DEFAULT_MACHINES_PER_PAGE = 4;

/** A machine type that the cloud offers. */
export interface FakeMachineType {
  label: string;
  cpus: number;
  memoryGb: number;
}

/** The capacity of a fake cloud and its delays. */
export interface FakeCloudOptions {
  time: TimeSource;
  hooks: FakeWorkerHooks;
  machineTypes: readonly FakeMachineType[];
  zones: readonly string[];
  maxMachines: number;
  /** Age of the state that the list of machines shows. */
  listLagMs: number;
  bootMs: number;
  machinesPerPage?: number;
}

/** A machine as the cloud's responses describe it. */
interface WireMachine {
  model: string;
  yard: string;
  loaners: boolean;
}

interface ProvisionBody extends WireMachine {
  hire_order: string;
  how_many: number;
}

interface WireMachineRow extends WireMachine {
  ref: string;
  address: string;
  status: string;
  age_s: number;
}

/** A fake cloud that provisions machines, lists them with a lag, and deprovisions them. */
export class FakeCloud {
  readonly workers = new Map<string, FakeWorker>();
  /** Whether all requests get 503. */
  unavailable = false;
  /** Whether requests to return machines get 503. */
  refusesReturns = false;
  /** Machine types of which the cloud provisions no more. */
  readonly exhaustedTypes = new Set<string>();
  /** Number of machines that were preempted or deprovisioned. */
  terminatedCount = 0;
  private readonly booting = new Map<string, WireMachine>();
  private readonly provisionedAt = new Map<string, number>();
  private readonly provisionedByRequest = new Map<string, string[]>();
  private readonly listSnapshots: { at: number; rows: WireMachineRow[] }[] = [];
  private machineCount = 0;
  private closed = false;

  constructor(private readonly options: FakeCloudOptions) {}

  /** The factor on the boot time of machines provisioned now; `Infinity` if they never boot. */
  bootFactor = (): number => 1;

  machineType(label: string): FakeMachineType {
    return this.options.machineTypes.find((type) => type.label === label) as FakeMachineType;
  }

  /** Adds a machine that is up after `bootMs`, or never if that is `Infinity`; returns its name. */
  addMachine(type: string, zone: string, spot: boolean, bootMs: number): string {
    const { time, hooks } = this.options;
    const name = `i-${String(this.machineCount++).padStart(6, '0')}`;
    this.booting.set(name, { model: type, yard: zone, loaners: spot });
    this.provisionedAt.set(name, time.now);
    if (bootMs === Infinity) return name;
    time.at(time.now + bootMs, () => {
      if (!this.booting.delete(name) || this.closed) return;
      this.workers.set(name, new FakeWorker(time, hooks, { name, type, zone, spot }));
    });
    return name;
  }

  /** Number of machines that are provisioned but not up. */
  get bootingCount(): number {
    return this.booting.size;
  }

  terminateMachine(name: string): void {
    this.terminatedCount++;
    this.workers.get(name)?.terminate();
    this.workers.delete(name);
    this.booting.delete(name);
  }

  /** Terminates all machines, booting ones included, and prevents further ones from coming up. */
  close(): void {
    this.closed = true;
    for (const name of [...this.workers.keys(), ...this.booting.keys()]) this.terminateMachine(name);
  }

  request(method: string, path: string, body: unknown): Promise<HttpResponse> {
    if (this.unavailable) return jsonResponse(503, { error: 'trouble' });
    if (path === '/catalog') return this.catalog();
    if (path === '/rentals/return' && this.refusesReturns) return jsonResponse(503, { error: 'trouble' });
    if (path === '/rentals/return') return this.deprovision(body as { velodromes: string[] });
    if (method === 'POST') return this.provision(body as ProvisionBody);
    return this.list(/from=([^&]*)/.exec(path)?.[1] ?? '');
  }

  private catalog(): Promise<HttpResponse> {
    const { machineTypes, bootMs, zones } = this.options;
    const models = machineTypes.map(({ label, cpus, memoryGb }) => ({
      label,
      cpus,
      accelerators: 0,
      memory_gb: memoryGb,
      local_gb: 50,
      fetch_gb_per_s: 1,
      rate: cpus * 0.05,
      spot_price: cpus * 0.02,
      ready_s: bootMs / 1000,
      yards: zones,
    }));
    return jsonResponse(200, { models });
  }

  private deprovision({ velodromes: names }: { velodromes: string[] }): Promise<HttpResponse> {
    for (const name of names) this.terminateMachine(name);
    return jsonResponse(200, {});
  }

  /** Provisions machines; a repeated request returns the same machines. */
  private provision(body: ProvisionBody): Promise<HttpResponse> {
    const repeated = this.provisionedByRequest.get(body.hire_order);
    if (repeated) return jsonResponse(200, { velodromes: repeated });
    const available = this.options.maxMachines - this.workers.size - this.booting.size;
    if (available <= 0 || this.exhaustedTypes.has(body.model))
      return jsonResponse(503, { error: 'no capacity' });
    const names: string[] = [];
    for (let i = 0; i < Math.min(available, body.how_many); i++) {
      const bootMs = this.options.bootMs * this.bootFactor();
      names.push(this.addMachine(body.model, body.yard, body.loaners, bootMs));
    }
    this.provisionedByRequest.set(body.hire_order, names);
    return jsonResponse(200, { velodromes: names });
  }

  /** A page of the machine list as it was `listLagMs` ago. */
  private list(from: string): Promise<HttpResponse> {
    const { time, listLagMs, machinesPerPage = DEFAULT_MACHINES_PER_PAGE } = this.options;
    this.listSnapshots.push({ at: time.now, rows: this.machineRows() });
    const visible = this.listSnapshots.filter(({ at }) => at <= time.now - listLagMs).pop();
    const remaining = (visible?.rows ?? []).filter(({ ref }) => ref > from);
    const page = remaining.slice(0, machinesPerPage);
    return jsonResponse(200, { velodromes: page, truncated: remaining.length > page.length });
  }

  private machineRows(): WireMachineRow[] {
    const running = [...this.workers].map(([name, { type, zone, spot }]) =>
      this.machineRow(name, { model: type, yard: zone, loaners: spot }, 'running'),
    );
    const booting = [...this.booting].map(([name, machine]) => this.machineRow(name, machine, 'booting'));
    return [...running, ...booting].sort((a, b) => (a.ref < b.ref ? -1 : 1));
  }

  private machineRow(ref: string, machine: WireMachine, status: string): WireMachineRow {
    const ageMs = this.options.time.now - (this.provisionedAt.get(ref) ?? 0);
    const address = this.options.hooks.workerAddress ?? DEFAULT_WORKER_ADDRESS;
    return { ref, address, ...machine, status, age_s: ageMs / 1000 };
  }
}
