import { PartitionCore } from '../../src/coordination/partition/partition-core';
import { type JobSpec } from '../../src/protocol/jobs';
import { type JobState, type MachineRecord } from '../../src/protocol/records';
import { type Command, type Heartbeat, type HeartbeatTask } from '../../src/protocol/workers';
import { SMALL_TYPE } from './machine-types';

/** The epoch in which the partition under test began. */
export const OWNER_EPOCH = 100;
/** A revision from before that epoch: what an earlier owner may have acted on. */
export const BEFORE_OWNER = 50;
/** A revision from after it: only this owner can have acted on it. */
export const AFTER_OWNER = 150;
/** A token above all that the partition gives out: the machine has acknowledged whatever was sent. */
export const ACKNOWLEDGED_TOKEN = 1000 * 1024 * 1024;

/** A partition `p0` of two teams, and the worker's side of its heartbeats. */
export class PartitionHarness {
  readonly core: PartitionCore;
  private sequence = 0;
  readonly specs = new Map<string, JobSpec>();
  /** Machines that are recorded as assigned to the partition. */
  private readonly assigned = new Set<string>();

  constructor(limit = 8) {
    const team = {
      name: 't',
      guaranteed: { cpus: 4, accelerators: 0 },
      limit: { cpus: limit, accelerators: 0 },
    };
    const options = { heartbeatIntervalMs: 2000, leaseMs: 12_000, valueBytes: 4096, objectives: [] };
    this.core = new PartitionCore({
      id: 'p0',
      epoch: OWNER_EPOCH,
      teams: [team, { ...team, name: 'u' }],
      machineTypes: () => new Map([['small', SMALL_TYPE]]),
      specOfClosedJob: (ref) => this.specs.get(ref),
      options,
      assignedMachines: this.assigned,
    });
  }

  /** A machine that is recorded as assigned. */
  addMachine(id: string, version: number, change: Partial<MachineRecord> = {}): void {
    const row: MachineRecord = {
      partition: 'p0',
      phase: 'active',
      type: 'small',
      zone: 'a',
      spot: true,
      ...change,
    };
    this.assigned.add(id);
    this.core.upsertMachine(id, row, version, 0);
  }

  /** A machine that an earlier owner recorded as assigned, and that is not here now. */
  assignedByEarlierOwner(id: string): void {
    this.assigned.add(id);
  }

  /** A machine that no owner of this partition has recorded as assigned. */
  addUnassignedMachine(id: string, version: number): void {
    const row: MachineRecord = { partition: 'p0', phase: 'active', type: 'small', zone: 'a', spot: true };
    this.core.upsertMachine(id, row, version, 0);
  }

  addJob(job: JobSpec, version = AFTER_OWNER, doneRanges = '', startWatermark = job.tasks): void {
    this.specs.set(job.ref, job);
    const progress = { doneRanges, doneCount: 0, runningCount: 0, startWatermark };
    this.core.openJob({ spec: job, acceptedAt: 0, revision: version, progress }, 0);
  }

  addTerminatedJob(job: JobSpec, state: JobState = 'cancelled'): void {
    this.core.reserveQuotaForCancelled({ spec: job, revision: BEFORE_OWNER }, state);
  }

  closeJob(ref: string, state: JobState): void {
    this.core.closeJob(ref, state, 0);
  }

  /** Takes a heartbeat of a machine; returns the commands of the response. */
  heartbeat(
    id: string,
    now: number,
    tasks: HeartbeatTask[] = [],
    change: Partial<Heartbeat> = {},
  ): Command[] {
    const heartbeat: Heartbeat = {
      machine: id,
      address: 'x',
      type: 'small',
      zone: 'a',
      spot: true,
      agentEpoch: 1,
      sequence: ++this.sequence,
      token: ACKNOWLEDGED_TOKEN,
      preemptionNoticeS: null,
      tasks,
      ...change,
    };
    return this.core.handleHeartbeat(heartbeat, now)?.commands ?? [];
  }
}

/** The tasks that are started by these commands. */
export function startedTasks(commands: Command[]): string[] {
  return commands.filter((c) => c.op === 'start').map((c) => `${c.ref}/${c.index}`);
}

/** The task of a start command as a heartbeat shows it later. */
export function taskInPhase(
  command: Command,
  phase: HeartbeatTask['phase'],
  exit: HeartbeatTask['exit'] = null,
): HeartbeatTask {
  return { ref: command.ref, index: command.index, attempt: command.attempt, phase, exit };
}

/** A named case, what it does with a new partition, and the team's limit of CPUs where it is not 8. */
export type PartitionCase = [name: string, run: (partition: PartitionHarness) => void, limit?: number];
