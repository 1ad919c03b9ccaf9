/**
 * Puts real controllers under the load of a fleet on the loopback interface, records where their processor time and memory
 * go, and prints it by cause. CONTRIBUTING.md has the recipe.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { Agent } from 'node:http';
import { type Profiler } from 'node:inspector';
import { join } from 'node:path';
import { Command } from 'commander';
import { type HttpAnswer } from '../../src/transport/http-client';
import { StandinCloud, type FleetHooks, type Worker } from '../../test/standin/fleet';
import { StandinStore } from '../../test/standin/store';
import { attribute } from './attribution';
import { post, serveStandin } from '../../test/standin/http-front';
import { RealTime } from '../../test/standin/real-time';
import { type Recording } from './recorder';
import { LoadUsers } from './users';

const STORE_PORT = 21_379;
const CLOUD_PORT = 21_443;
const FIRST_PORT = 21_500;
const REPORT_MS = 3000;
const LEASE_MS = 19_000;
const BOOT_MS = 5000;
const LIST_LAG_MS = 1000;
const ANSWER_WITHIN_MS = 4000;
const LARGE_PAGE = 1000;
const WRITE_OUT_MS = 4000;
const HOTTEST_SHOWN = 25;
const TEAMS = ['north', 'south', 'west', 'east'];
const KIND = { label: 'small', cpus: 4, memory: 16 };

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

function settingsOf(index: number, controllers: number, machines: number): object {
  const addressOf = (i: number, offset: number): string => `127.0.0.1:${FIRST_PORT + 2 * i + offset}`;
  const others = Array.from({ length: controllers }, (_, i) => i).filter((i) => i !== index);
  const cpus = (machines * KIND.cpus) / TEAMS.length;
  return {
    member: `velodrome-${index}`,
    site: 'a',
    serve_on: addressOf(index, 0),
    cluster_listen: addressOf(index, 1),
    peers: others.map((i) => ({ member: `velodrome-${i}`, addr: addressOf(i, 1) })),
    external: { cloud: `127.0.0.1:${CLOUD_PORT}`, state: `127.0.0.1:${STORE_PORT}` },
    facts: {
      teams: TEAMS.map((name) => ({ name, cpus, cpus_max: 2 * cpus })),
      workers: { report_s: REPORT_MS / 1000, lease_s: LEASE_MS / 1000, cancel_s: 49 },
      state: { rps: 200, write_rps: 40, value_kb: 32, txn_ops: 24 },
      cloud: { rps: 8, list_lag_s: LIST_LAG_MS / 1000 },
    },
  };
}

class Load {
  private readonly time = new RealTime();
  private readonly store = new StandinStore(this.time, LARGE_PAGE);
  private readonly agents = new Map<string, Agent>();
  private readonly cloud: StandinCloud;
  private readonly running: RunningController[] = [];
  private readonly users: LoadUsers;

  constructor(private readonly options: Options) {
    const machines = Number(options.machines);
    const hooks: FleetHooks = {
      began: () => undefined,
      completed: () => undefined,
      expired: () => undefined,
      runMs: () => Number(options.taskSeconds) * 1000 * (0.5 + Math.random()),
      deliver: (node, worker, report) => this.deliver(node, worker, report),
      nodeIndex: (name) => Number(name.split('-')[1]),
      nodes: Number(options.controllers),
      reportMs: REPORT_MS,
      leaseMs: LEASE_MS,
    };
    const zones = ['a', 'b'];
    this.cloud = new StandinCloud(
      this.time,
      hooks,
      [KIND],
      zones,
      machines,
      LIST_LAG_MS,
      BOOT_MS,
      LARGE_PAGE,
    );
    for (let i = 0; i < machines; i++) this.cloud.open(KIND.label, zones[i % 2] as string, true, 0);
    const ask = (path: string, body: object, method: string): Promise<HttpAnswer | null> => {
      const index = Math.floor(Math.random() * Number(options.controllers));
      return post(
        this.agentOf(`users-${index}`),
        FIRST_PORT + 2 * index,
        path,
        body,
        method,
        ANSWER_WITHIN_MS,
      );
    };
    this.users = new LoadUsers(ask, TEAMS, Number(options.tasks), Number(options.taskSeconds));
  }

  private agentOf(name: string): Agent {
    const known = this.agents.get(name);
    if (known) return known;
    const agent = new Agent({ keepAlive: true, maxSockets: name.startsWith('users') ? 20 : 1 });
    this.agents.set(name, agent);
    return agent;
  }

  private deliver(node: number, worker: Worker, report: object): Promise<HttpAnswer | null> {
    return post(this.agentOf(worker.name), FIRST_PORT + 2 * node, '/hello', report, 'POST', ANSWER_WITHIN_MS);
  }

  private start(index: number, life: number): void {
    const { out, controllers, machines, heap } = this.options;
    const name = `controller-${index}-${life}`;
    const config = join(out, `${name}.settings.json`);
    writeFileSync(config, JSON.stringify(settingsOf(index, Number(controllers), Number(machines))));
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
    this.running.push({ name, port: FIRST_PORT + 2 * index, process: child });
  }

  private wait(seconds: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, seconds * 1000));
  }

  async run(): Promise<void> {
    const { options } = this;
    mkdirSync(options.out, { recursive: true });
    serveStandin(STORE_PORT, (method, path, body) => this.store.request(method, path, body, () => false));
    serveStandin(CLOUD_PORT, (method, path, body) => this.cloud.request(method, path, body));
    for (let i = 0; i < Number(options.controllers); i++) this.start(i, 0);
    await this.wait(Number(options.warmUp));
    this.users.begin(Number(options.jobs));
    await this.wait(Number(options.seconds));
    if (options.endLeader) await this.endLeader();
    console.log(`users: ${JSON.stringify(this.users.counters)}, machines ${this.cloud.workers.size}`);
    for (const { name, port } of this.running) {
      const status = await post(this.agentOf(name), port, '/status', {}, 'GET', ANSWER_WITHIN_MS);
      console.log(`${name} ${JSON.stringify(status?.body ?? null)}`);
    }
    for (const { process: child } of this.running) child.kill('SIGTERM');
    await this.wait(WRITE_OUT_MS / 1000 + (options.heap ? 20 : 0));
    for (const { name } of this.running) this.print(name);
  }

  /** Ends the controller that owns most, starts it again, and looks on while its partitions change hands. */
  private async endLeader(): Promise<void> {
    const busiest = this.running[0] as RunningController;
    busiest.process.kill('SIGTERM');
    await this.wait(Number(this.options.seconds) / 2);
  }

  private print(name: string): void {
    const { out } = this.options;
    const profile = JSON.parse(readFileSync(join(out, `${name}.cpuprofile`), 'utf8')) as Profiler.Profile;
    const recording = JSON.parse(readFileSync(join(out, `${name}.json`), 'utf8')) as Recording;
    const { causes, hottest } = attribute(profile);
    const { wallMs, peakRssMb, collections, loopDelayMs } = recording;
    const cpuMs = [...causes.values()].reduce((sum, ms) => sum + ms, 0);
    console.log(`\n${name}: ${cpuMs.toFixed(0)} ms of processor time in ${(wallMs / 1000).toFixed(0)} s`);
    console.log(`  peak ${peakRssMb} MB, last ${JSON.stringify(recording.memory.at(-1))}`);
    console.log(`  collections ${JSON.stringify(collections)}, loop delay ${JSON.stringify(loopDelayMs)}`);
    for (const [cause, ms] of causes) console.log(`  ${ms.toFixed(0).padStart(7)} ms  ${cause}`);
    console.log('  by function:');
    for (const [own, ms] of hottest.slice(0, HOTTEST_SHOWN))
      console.log(`  ${ms.toFixed(0).padStart(7)} ms  ${own}`);
  }
}

const program = new Command('load')
  .description('Loads real controllers with a fleet of stand-ins and shows where their processor time goes.')
  .option('--controllers <n>', 'how many controllers', '3')
  .option('--machines <n>', 'how many machines report', '700')
  .option('--jobs <n>', 'jobs a minute', '60')
  .option('--tasks <n>', 'tasks a job', '50')
  .option('--task-seconds <n>', 'how long a task runs', '30')
  .option('--warm-up <n>', 'seconds before the first job', '10')
  .option('--seconds <n>', 'seconds under load', '40')
  .option('--heap', 'write heap snapshots as well', false)
  .option('--end-leader', 'end one controller after that and go on for half as long', false)
  .option('--out <folder>', 'where profiles go', 'target-test/load');
program.parse();
void new Load(program.opts<Options>()).run().then(() => process.exit());
