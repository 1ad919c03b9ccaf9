/**
 * Puts real controllers under the load of a simulated fleet on the loopback interface, records their processor time and
 * memory, and prints the processor time by cause. CONTRIBUTING.md describes how to run it.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { Agent } from 'node:http';
import { type Profiler } from 'node:inspector';
import { join } from 'node:path';
import { Command } from 'commander';
import { type HttpResponse } from '../../src/transport/http-client';
import { FakeCloud } from '../../test/standin/fake-cloud';
import { type FakeWorkerHooks, type FakeWorker } from '../../test/standin/fake-worker';
import { FakeStateStore } from '../../test/standin/store';
import { attribute } from './attribution';
import { sendRequest, serveFake } from '../../test/standin/http-front';
import { RealTime } from '../../test/standin/real-time';
import { type Recording } from './recorder';
import { LoadUsers } from './users';

const STORE_PORT = 21_379;
const CLOUD_PORT = 21_443;
const FIRST_CONTROLLER_PORT = 21_500;
const HEARTBEAT_INTERVAL_MS = 3000;
const LEASE_MS = 19_000;
const BOOT_MS = 5000;
const LIST_LAG_MS = 1000;
const RESPONSE_TIMEOUT_MS = 4000;
const PAGE_ENTRY_COUNT = 1000;
const STORE_LIMITS = { valueKb: 32, txnOps: 24 };
const RECORDING_WRITE_MS = 4000;
const SHOWN_FUNCTION_COUNT = 25;
const TEAMS = ['north', 'south', 'west', 'east'];
const MACHINE_TYPE = { label: 'small', cpus: 4, memoryGb: 16 };

interface Options {
  controllers: string;
  machines: string;
  jobs: string;
  tasks: string;
  taskSeconds: string;
  seconds: string;
  warmUp: string;
  heap: boolean;
  endLeader: boolean;
  out: string;
}

interface RunningController {
  name: string;
  port: number;
  process: ChildProcess;
}

function controllerSettings(index: number, controllers: number, machines: number): object {
  const addressOf = (i: number, offset: number): string =>
    `127.0.0.1:${FIRST_CONTROLLER_PORT + 2 * i + offset}`;
  const others = Array.from({ length: controllers }, (_, i) => i).filter((i) => i !== index);
  const cpus = (machines * MACHINE_TYPE.cpus) / TEAMS.length;
  return {
    member: `velodrome-${index}`,
    site: 'a',
    serve_on: addressOf(index, 0),
    cluster_listen: addressOf(index, 1),
    peers: others.map((i) => ({ member: `velodrome-${i}`, addr: addressOf(i, 1) })),
    external: { cloud: `127.0.0.1:${CLOUD_PORT}`, state: `127.0.0.1:${STORE_PORT}` },
    facts: {
      teams: TEAMS.map((name) => ({ name, cpus, cpus_max: 2 * cpus })),
      workers: { report_s: HEARTBEAT_INTERVAL_MS / 1000, lease_s: LEASE_MS / 1000, cancel_s: 49 },
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

class LoadRun {
  private readonly time = new RealTime();
  private readonly store = new FakeStateStore(this.time, PAGE_ENTRY_COUNT, STORE_LIMITS);
  private readonly agents = new Map<string, Agent>();
  private readonly cloud: FakeCloud;
  private readonly controllers: RunningController[] = [];
  private readonly users: LoadUsers;

  constructor(private readonly options: Options) {
    const machines = Number(options.machines);
    const hooks: FakeWorkerHooks = {
      taskStarted: () => undefined,
      taskCompleted: () => undefined,
      leaseExpired: () => undefined,
      runMs: () => Number(options.taskSeconds) * 1000 * (0.5 + Math.random()),
      deliverHeartbeat: (index, worker, heartbeat) => this.deliverHeartbeat(index, worker, heartbeat),
      controllerIndex: (name) => Number(name.split('-')[1]),
      controllerCount: Number(options.controllers),
      heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
      leaseMs: LEASE_MS,
    };
    const zones = ['a', 'b'];
    this.cloud = new FakeCloud({
      time: this.time,
      hooks,
      machineTypes: [MACHINE_TYPE],
      zones,
      maxMachines: machines,
      listLagMs: LIST_LAG_MS,
      bootMs: BOOT_MS,
      machinesPerPage: PAGE_ENTRY_COUNT,
    });
    for (let i = 0; i < machines; i++)
      this.cloud.addMachine(MACHINE_TYPE.label, zones[i % 2] as string, true, 0);
    const sendUserRequest = (path: string, body: object, method: string): Promise<HttpResponse | null> => {
      const index = Math.floor(Math.random() * Number(options.controllers));
      return sendRequest(
        this.agentOf(`users-${index}`),
        FIRST_CONTROLLER_PORT + 2 * index,
        path,
        body,
        method,
        RESPONSE_TIMEOUT_MS,
      );
    };
    this.users = new LoadUsers(sendUserRequest, TEAMS, Number(options.tasks), Number(options.taskSeconds));
  }

  private agentOf(name: string): Agent {
    const existing = this.agents.get(name);
    if (existing) return existing;
    const agent = new Agent({ keepAlive: true, maxSockets: name.startsWith('users') ? 20 : 1 });
    this.agents.set(name, agent);
    return agent;
  }

  private deliverHeartbeat(
    index: number,
    worker: FakeWorker,
    heartbeat: object,
  ): Promise<HttpResponse | null> {
    return sendRequest(
      this.agentOf(worker.name),
      FIRST_CONTROLLER_PORT + 2 * index,
      '/hello',
      heartbeat,
      'POST',
      RESPONSE_TIMEOUT_MS,
    );
  }

  private startController(index: number, incarnation: number): void {
    const { out, controllers, machines, heap } = this.options;
    const name = `controller-${index}-${incarnation}`;
    const config = join(out, `${name}.settings.json`);
    writeFileSync(config, JSON.stringify(controllerSettings(index, Number(controllers), Number(machines))));
    const program = join(__dirname, '..', '..', 'src', 'main.js');
    const env = {
      ...process.env,
      LOAD_FOLDER: out,
      LOAD_NAME: name,
      LOAD_HEAP: heap ? '1' : '0',
      LOG_LEVEL: 'error',
    };
    const args = ['-r', join(__dirname, 'recorder.js'), program, 'serve', '--config', config];
    const child = spawn(process.execPath, args, { env, stdio: ['ignore', 'ignore', 'inherit'] });
    this.controllers.push({ name, port: FIRST_CONTROLLER_PORT + 2 * index, process: child });
  }

  private sleep(seconds: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, seconds * 1000));
  }

  async run(): Promise<void> {
    const { options } = this;
    mkdirSync(options.out, { recursive: true });
    serveFake(STORE_PORT, (method, path, body) => this.store.request(method, path, body, () => false));
    serveFake(CLOUD_PORT, (method, path, body) => this.cloud.request(method, path, body));
    for (let i = 0; i < Number(options.controllers); i++) this.startController(i, 0);
    await this.sleep(Number(options.warmUp));
    this.users.start(Number(options.jobs));
    await this.sleep(Number(options.seconds));
    if (options.endLeader) await this.endFirstController();
    console.log(`users: ${JSON.stringify(this.users.counters)}, machines ${this.cloud.workers.size}`);
    for (const { name, port } of this.controllers) {
      const status = await sendRequest(this.agentOf(name), port, '/status', {}, 'GET', RESPONSE_TIMEOUT_MS);
      console.log(`${name} ${JSON.stringify(status?.body ?? null)}`);
    }
    for (const { process: child } of this.controllers) child.kill('SIGTERM');
    await this.sleep(RECORDING_WRITE_MS / 1000 + (options.heap ? 20 : 0));
    for (const { name } of this.controllers) this.printRecording(name);
  }

  /**
   * Ends the first controller, assumed to own the most partitions, without a restart, and continues for half of `--seconds`
   * while the others take over its partitions.
   */
  private async endFirstController(): Promise<void> {
    const first = this.controllers[0] as RunningController;
    first.process.kill('SIGTERM');
    await this.sleep(Number(this.options.seconds) / 2);
  }

  private printRecording(name: string): void {
    const { out } = this.options;
    const profile = JSON.parse(readFileSync(join(out, `${name}.cpuprofile`), 'utf8')) as Profiler.Profile;
    const recording = JSON.parse(readFileSync(join(out, `${name}.json`), 'utf8')) as Recording;
    const { causes, topFunctions } = attribute(profile);
    const { wallMs, peakRssMb, collections, loopDelayMs } = recording;
    const cpuMs = [...causes.values()].reduce((sum, ms) => sum + ms, 0);
    console.log(`\n${name}: ${cpuMs.toFixed(0)} ms of processor time in ${(wallMs / 1000).toFixed(0)} s`);
    console.log(
      `  peak resident memory ${peakRssMb} MB, last memory sample ${JSON.stringify(recording.memory.at(-1))}`,
    );
    console.log(
      `  garbage collections ${JSON.stringify(collections)}, event loop delay ${JSON.stringify(loopDelayMs)}`,
    );
    for (const [cause, ms] of causes) console.log(`  ${ms.toFixed(0).padStart(7)} ms  ${cause}`);
    console.log('  by function:');
    for (const [frame, ms] of topFunctions.slice(0, SHOWN_FUNCTION_COUNT))
      console.log(`  ${ms.toFixed(0).padStart(7)} ms  ${frame}`);
  }
}

const program = new Command('load')
  .description(
    'Puts real controllers under the load of a simulated fleet and prints their processor time by cause.',
  )
  .option('--controllers <n>', 'number of controllers', '3')
  .option('--machines <n>', 'number of machines that send heartbeats', '700')
  .option('--jobs <n>', 'jobs per minute', '60')
  .option('--tasks <n>', 'tasks per job', '50')
  .option('--task-seconds <n>', 'mean run time of a task, in seconds', '30')
  .option('--warm-up <n>', 'seconds before the first job', '10')
  .option('--seconds <n>', 'seconds under load', '40')
  .option('--heap', 'write heap snapshots as well', false)
  .option('--end-leader', 'then end the first controller and continue for half of --seconds', false)
  .option('--out <folder>', 'folder for settings, profiles and recordings', 'target-test/load');
program.parse();
void new LoadRun(program.opts<Options>()).run().then(() => process.exit());
