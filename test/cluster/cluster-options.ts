import { type LoadBalancing } from '../../src/coordination/balancing/balancing';
import { type Clock } from '../../src/transport/clock';
import { type FakeMachineType } from '../standin/fake-cloud';

/** What a job asks for where it is not left to chance. */
export interface JobShape {
  team: string;
  tasks: number;
  cpus: number;
  /** As users name it. */
  priority: string;
  /** How long each task really runs. */
  runMs: number;
  /** What its owner expects. */
  expectedS: number;
  /** Interval of checkpoints, 0: it writes none. */
  checkpointIntervalS: number;
  checkpointDurationS: number;
  image: string;
  imageGb: number;
}

/** Receives what happens to tasks, for measurements. Times are virtual milliseconds. */
export interface TaskListener {
  submitted(ref: string, shape: JobShape, at: number): void;
  started(taskId: string, at: number): void;
  completed(taskId: string, at: number): void;
  stopped(taskId: string, ranMs: number, saved: boolean): void;
}

/** How large a virtual cluster is. */
export interface VirtualClusterOptions {
  controllers: number;
  /** Machines that the cloud has. */
  maxMachines: number;
  /** By how much the teams' limits are multiplied. */
  teamLimitFactor: number;
  /** Tasks run so much longer than the few seconds that they take otherwise. */
  extraRunMs?: number;
  /** Some jobs are bound to a zone, or must spread over zones. */
  zoneConstraints?: boolean;
  machineTypes?: readonly FakeMachineType[];
  /** Machines that are up from the start. */
  initialMachines?: { kind: string; count: number }[];
  taskListener?: TaskListener;
  /** Load is balanced by this. */
  balancing?: (clock: Clock) => LoadBalancing;
}

/** A team as the settings name it. */
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
/** After a cancellation tasks must be gone from all machines within this time. */
export const CANCEL_BOUND_MS = 37_000;
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

/** The teams with their limits at this size of the cluster. */
export function teamsOf({ teamLimitFactor }: VirtualClusterOptions): TeamSettings[] {
  return TEAMS.map(({ name, cpus, cpus_max: limit }) => ({
    name,
    cpus: cpus * teamLimitFactor,
    cpus_max: limit * teamLimitFactor,
  }));
}

/** The settings file of one controller. */
export function settingsOf(index: number, options: VirtualClusterOptions): string {
  const others = Array.from({ length: options.controllers }, (_, i) => i).filter((i) => i !== index);
  return JSON.stringify({
    member: `velodrome-${index}`,
    site: 'a',
    serve_on: `10.0.0.${index + 1}:8080`,
    cluster_listen: `10.0.0.${index + 1}:8081`,
    peers: others.map((i) => ({ member: `velodrome-${i}`, addr: `10.0.0.${i + 1}:8081` })),
    external: { cloud: '10.2.0.2:1', state: '10.2.0.1:1' },
    facts: {
      teams: teamsOf(options),
      workers: {
        report_s: HEARTBEAT_INTERVAL_MS / 1000,
        lease_s: LEASE_MS / 1000,
        cancel_s: CANCEL_BOUND_MS / 1000,
      },
      state: { rps: 150, write_rps: 40, value_kb: 4, txn_ops: 12 },
      cloud: { rps: 6, list_lag_s: 3 },
    },
  });
}

/** The index of a controller in the cluster, from its member name. */
export function controllerIndex(member: string): number {
  return Number(member.split('-')[1]);
}
