import { type LoadBalancing } from '../../src/coordination/balancing/balancing';
import { type Clock } from '../../src/transport/clock';
import { type FakeMachineType } from '../standin/fake-cloud';
import { type StoreLimits } from '../standin/transaction-limits';

/** The parameters of a job that a test specifies instead of drawing them at random. */
export interface JobParameters {
  team: string;
  tasks: number;
  cpus: number;
  /** The name of the priority in submissions, such as `urgent`. */
  priority: string;
  /** The actual run time of each task. */
  runMs: number;
  /** The run time that the user states. */
  expectedS: number;
  /** Interval between checkpoints; 0 if the job writes none. */
  checkpointIntervalS: number;
  checkpointDurationS: number;
  image: string;
  imageGb: number;
  /** The only allowed zone; any if absent. */
  zone?: string;
  /** The only allowed machine types; any if absent. */
  machineTypes?: string[];
}

/** Receives task events for measurements. Times are in virtual milliseconds. */
export interface TaskListener {
  submitted(ref: string, parameters: JobParameters, at: number): void;
  started(taskId: string, at: number): void;
  completed(taskId: string, at: number): void;
  stopped(taskId: string, ranMs: number, saved: boolean): void;
}

/** The size and the contents of a virtual cluster. */
export interface VirtualClusterOptions {
  controllers: number;
  /** The most machines that exist at once, booting ones included. */
  maxMachines: number;
  /** The factor by which the guarantees and limits of `TEAMS` are multiplied. */
  teamLimitFactor: number;
  /** Time that is added to the 2 to 11 s that the tasks of random jobs run; 0 by default. */
  extraRunMs?: number;
  /** Binds some random jobs to a zone and requires others to spread over the zones. */
  zoneConstraints?: boolean;
  /** Binds some random jobs to a machine type. */
  typeConstraints?: boolean;
  /** The teams in the settings of a controller that starts now; `TEAMS` by default. */
  teamsInSettings?: () => readonly TeamSettings[];
  machineTypes?: readonly FakeMachineType[];
  /** Machines that are up from the start; three small ones by default. */
  initialMachines?: { type: string; count: number }[];
  /** The state store's limits on transactions; `STORE_LIMITS` by default. */
  storeLimits?: StoreLimits;
  /** Maximum number of entries on a page of the state store or of the cloud's list; few by default. */
  entriesPerPage?: number;
  taskListener?: TaskListener;
  /** Creates the load balancing of a controller; load is not balanced if absent. */
  balancing?: (clock: Clock) => LoadBalancing;
}

/** A team in the form of the settings file. */
export interface TeamSettings {
  name: string;
  cpus: number;
  cpus_max: number;
}

export const DEFAULT_OPTIONS: VirtualClusterOptions = {
  controllers: 3,
  maxMachines: 10,
  teamLimitFactor: 1,
};
export const HEARTBEAT_INTERVAL_MS = 2000;
export const LEASE_MS = 12_000;
/** The time within which the tasks of a cancelled job must be gone from all machines. */
export const CANCELLATION_DEADLINE_MS = 37_000;
export const STORE_LIMITS: StoreLimits = { valueKb: 4, txnOps: 12 };
export const ZONES = ['a', 'b'];
export const TEAMS: readonly TeamSettings[] = [
  { name: 'north', cpus: 8, cpus_max: 16 },
  { name: 'south', cpus: 8, cpus_max: 12 },
  { name: 'west', cpus: 4, cpus_max: 8 },
];
export const MACHINE_TYPES: readonly FakeMachineType[] = [
  { label: 'small', cpus: 4, memoryGb: 16 },
  { label: 'large', cpus: 12, memoryGb: 48 },
];

/** These teams, or all, with their guarantees and limits multiplied by `teamLimitFactor`. */
export function teamSettings({ teamLimitFactor }: VirtualClusterOptions, teams = TEAMS): TeamSettings[] {
  return teams.map(({ name, cpus, cpus_max: limit }) => ({
    name,
    cpus: cpus * teamLimitFactor,
    cpus_max: limit * teamLimitFactor,
  }));
}

/** The contents of one controller's settings file. */
export function controllerSettings(index: number, options: VirtualClusterOptions): string {
  const { valueKb, txnOps } = options.storeLimits ?? STORE_LIMITS;
  const others = Array.from({ length: options.controllers }, (_, i) => i).filter((i) => i !== index);
  return JSON.stringify({
    member: `velodrome-${index}`,
    site: 'a',
    serve_on: `10.0.0.${index + 1}:8080`,
    cluster_listen: `10.0.0.${index + 1}:8081`,
    peers: others.map((i) => ({ member: `velodrome-${i}`, addr: `10.0.0.${i + 1}:8081` })),
    external: { cloud: '10.2.0.2:1', state: '10.2.0.1:1' },
    facts: {
      teams: teamSettings(options, options.teamsInSettings?.()),
      workers: {
        report_s: HEARTBEAT_INTERVAL_MS / 1000,
        lease_s: LEASE_MS / 1000,
        cancel_s: CANCELLATION_DEADLINE_MS / 1000,
      },
      state: { rps: 150, write_rps: 40, value_kb: valueKb, txn_ops: txnOps },
      cloud: { rps: 6, list_lag_s: 3 },
    },
  });
}

/** The index of the controller with this member name. */
export function controllerIndex(member: string): number {
  return Number(member.split('-')[1]);
}
