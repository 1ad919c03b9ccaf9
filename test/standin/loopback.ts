import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { Agent } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { type HttpResponse } from '../../src/transport/http-client';
import { FakeCloud } from './fake-cloud';
import { type FakeWorkerHooks, type FakeWorker } from './fake-worker';
import { sendRequest, serveFake } from './http-front';
import { RealTime } from './real-time';
import { FakeStateStore } from './store';

const MACHINE_TYPE = { label: 'small', cpus: 4, memoryGb: 16 };
const RESPONSE_TIMEOUT_MS = 4000;
const PAGE_SIZE = 1000;
const STORE_LIMITS = { valueKb: 16, txnOps: 24 };
const BOOT_MS = 2000;
const LIST_LAG_MS = 1000;

/** The size, timing and settings of a loopback cluster. */
export interface LoopbackOptions {
  controllers: number;
  machines: number;
  heartbeatIntervalMs: number;
  leaseMs: number;
  teams: { name: string; cpus: number; cpus_max: number }[];
  /** Path of the features file; null if there is none. */
  features: string | null;
  hooks: Pick<
    FakeWorkerHooks,
    'taskStarted' | 'taskCompleted' | 'runMs' | 'checkpointDurationMs' | 'taskStopped'
  >;
}

/** Finds ports on which no process listens at the moment. */
async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, '127.0.0.1'));
  await Promise.all(servers.map((server) => new Promise((resolve) => server.once('listening', resolve))));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** Controllers as real processes on the loopback interface, with fakes for workers, cloud and state store. */
export class LoopbackCluster {
  readonly cloud: FakeCloud;
  /** Why the state store rejected transactions as malformed; no controller may send such a transaction. */
  readonly rejections: string[] = [];
  /** Number of connections that were opened to the address of the workers. */
  connectionsToWorkers = 0;
  private readonly time = new RealTime();
  private readonly store = new FakeStateStore(this.time, PAGE_SIZE, STORE_LIMITS);
  private readonly agents = new Map<string, Agent>();
  private readonly processes = new Map<number, ChildProcess>();
  private readonly folder = mkdtempSync(join(tmpdir(), 'heathbridge-'));
  private readonly servers: Server[] = [];
  private stopped = false;

  private constructor(
    private readonly options: LoopbackOptions,
    private readonly ports: number[],
  ) {
    const hooks: FakeWorkerHooks = {
      ...options.hooks,
      leaseExpired: () => undefined,
      deliverHeartbeat: (index, worker, heartbeat) => this.deliverHeartbeat(index, worker, heartbeat),
      controllerIndex: (name) => Number(name.split('-')[1]),
      controllerCount: options.controllers,
      workerAddress: `127.0.0.1:${this.workerPort}`,
      heartbeatIntervalMs: options.heartbeatIntervalMs,
      leaseMs: options.leaseMs,
    };
    this.store.onRejected = (reason) => void this.rejections.push(reason);
    this.cloud = new FakeCloud({
      time: this.time,
      hooks,
      machineTypes: [MACHINE_TYPE],
      zones: ['a', 'b'],
      maxMachines: options.machines,
      listLagMs: LIST_LAG_MS,
      bootMs: BOOT_MS,
      machinesPerPage: PAGE_SIZE,
    });
    for (let i = 0; i < options.machines; i++) this.cloud.addMachine(MACHINE_TYPE.label, 'a', true, 0);
  }

  static async start(options: LoopbackOptions): Promise<LoopbackCluster> {
    const cluster = new LoopbackCluster(options, await findFreePorts(3 + 2 * options.controllers));
    const [storePort = 0, cloudPort = 0] = cluster.ports;
    cluster.servers.push(
      serveFake(storePort, (method, path, body) => cluster.store.request(method, path, body, () => false)),
      serveFake(cloudPort, (method, path, body) => cluster.cloud.request(method, path, body)),
      cluster.listenAsWorkers(),
    );
    for (let i = 0; i < options.controllers; i++) cluster.startController(i);
    return cluster;
  }

  private listenAsWorkers(): Server {
    const server = createServer((socket) => {
      this.connectionsToWorkers++;
      socket.destroy();
    });
    return server.listen(this.workerPort, '127.0.0.1');
  }

  private get workerPort(): number {
    return this.ports[this.ports.length - 1] ?? 0;
  }

  /** A port of a controller: that for users and workers at offset 0, that for its peers at offset 1. */
  private port(index: number, offset: number): number {
    return this.ports[2 + 2 * index + offset] ?? 0;
  }

  private settings(index: number): object {
    const { controllers, teams, heartbeatIntervalMs, leaseMs } = this.options;
    const others = Array.from({ length: controllers }, (_, i) => i).filter((i) => i !== index);
    const address = (i: number, offset: number): string => `127.0.0.1:${this.port(i, offset)}`;
    return {
      member: `velodrome-${index}`,
      site: 'a',
      serve_on: address(index, 0),
      cluster_listen: address(index, 1),
      peers: others.map((i) => ({ member: `velodrome-${i}`, addr: address(i, 1) })),
      external: { cloud: `127.0.0.1:${this.ports[1]}`, state: `127.0.0.1:${this.ports[0]}` },
      facts: {
        teams,
        workers: {
          report_s: heartbeatIntervalMs / 1000,
          lease_s: leaseMs / 1000,
          cancel_s: leaseMs / 1000 + 15,
        },
        state: {
          rps: 200,
          write_rps: 40,
          value_kb: STORE_LIMITS.valueKb,
          txn_ops: STORE_LIMITS.txnOps,
        },
        cloud: { rps: 8, list_lag_s: LIST_LAG_MS / 1000 },
      },
    };
  }

  startController(index: number): void {
    if (this.stopped) return;
    const settingsPath = join(this.folder, `settings-${index}.json`);
    writeFileSync(settingsPath, JSON.stringify(this.settings(index)));
    const program = join(__dirname, '..', '..', 'src', 'main.js');
    const { features } = this.options;
    const commandLine = [
      program,
      ...(features === null ? [] : ['--features', features]),
      '--config',
      settingsPath,
    ];
    const env = { ...process.env, LOG_LEVEL: 'error' };
    this.processes.set(
      index,
      spawn(process.execPath, commandLine, { env, stdio: ['ignore', 'ignore', 'inherit'] }),
    );
  }

  /** Kills a controller with a signal that it cannot handle. */
  killController(index: number): void {
    this.processes.get(index)?.kill('SIGKILL');
  }

  /** Sends a user's request to a controller; the response is null if none arrives in time. */
  request(index: number, path: string, body: object, method: string): Promise<HttpResponse | null> {
    return sendRequest(
      this.agent(`users-${index}`),
      this.port(index, 0),
      path,
      body,
      method,
      RESPONSE_TIMEOUT_MS,
    );
  }

  /** The address on which a controller serves users. */
  address(index: number): string {
    return `127.0.0.1:${this.port(index, 0)}`;
  }

  private deliverHeartbeat(
    index: number,
    worker: FakeWorker,
    heartbeat: object,
  ): Promise<HttpResponse | null> {
    return sendRequest(
      this.agent(worker.name),
      this.port(index, 0),
      '/hello',
      heartbeat,
      'POST',
      RESPONSE_TIMEOUT_MS,
    );
  }

  private agent(name: string): Agent {
    const existing = this.agents.get(name);
    if (existing) return existing;
    const agent = new Agent({ keepAlive: true, maxSockets: name.startsWith('users') ? 20 : 1 });
    this.agents.set(name, agent);
    return agent;
  }

  stop(): void {
    this.stopped = true;
    this.cloud.close();
    this.time.stop();
    for (const child of this.processes.values()) child.kill('SIGKILL');
    for (const server of this.servers) server.close();
    for (const agent of this.agents.values()) agent.destroy();
    rmSync(this.folder, { recursive: true, force: true });
  }
}
