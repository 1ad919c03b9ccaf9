import { PartitionCore } from '../../src/coordination/partition/partition-core';
import { type JobSpec } from '../../src/protocol/jobs';
import { type JobState, type MachineRecord } from '../../src/protocol/records';
import { type Command, type Heartbeat, type HeartbeatTask } from '../../src/protocol/workers';
import { LARGE_TYPE, SMALL_TYPE } from './machine-types';

/** The epoch with which the partition under test began. */
export const OWNER_EPOCH = 100;
/** A revision before that epoch; an earlier owner may have acted on a record of this revision. */
export const REVISION_BEFORE_EPOCH = 50;
/** A revision after that epoch; only this owner can have acted on a record of this revision. */
export const REVISION_AFTER_EPOCH = 150;
/** A token above all that the partition issues; with it a machine has acknowledged everything sent to it. */
export const ACKNOWLEDGED_TOKEN = 1000 * 1024 * 1024;

/** A partition `p0` with the teams `t` and `u`, to which tests send the heartbeats of its machines. */
export class PartitionHarness {
  readonly core: PartitionCore;
  private sequence = 0;
  readonly specs = new Map<string, JobSpec>();
  /** Machines that are recorded as assigned to the partition. */
  private readonly assigned = new Set<string>();

  constructor(cpuLimit = 8) {
    const team = {
      name: 't',
      guaranteed: { cpus: 4, accelerators: 0 },
      limit: { cpus: cpuLimit, accelerators: 0 },
    };
    const options = { heartbeatIntervalMs: 2000, leaseMs: 12_000, valueBytes: 4096, objectives: [] };
    this.core = new PartitionCore({
      id: 'p0',
      epoch: OWNER_EPOCH,
      teams: [team, { ...team, name: 'u' }],
      machineTypes: () => new Map([SMALL_TYPE, LARGE_TYPE].map((type) => [type.name, type])),
      specOfClosedJob: (ref) => this.specs.get(ref),
      options,
      assignedMachines: this.assigned,
    });
  }

  /** Adds a machine that is recorded as assigned. */
  addMachine(id: string, revision: number, overrides: Partial<MachineRecord> = {}): void {
    const record: MachineRecord = {
      partition: 'p0',
      phase: 'active',
      type: 'small',
      zone: 'a',
      spot: true,
      ...overrides,
    };
    this.assigned.add(id);
    this.core.upsertMachine(id, record, revision, 0);
  }

  /** Records a machine as assigned by an earlier owner without adding it to the partition. */
  recordAssignedByEarlierOwner(id: string): void {
    this.assigned.add(id);
  }

  /** Adds a machine that no owner of this partition has recorded as assigned. */
  addUnassignedMachine(id: string, revision: number): void {
    const record: MachineRecord = { partition: 'p0', phase: 'active', type: 'small', zone: 'a', spot: true };
    this.core.upsertMachine(id, record, revision, 0);
  }

  addJob(job: JobSpec, revision = REVISION_AFTER_EPOCH, doneRanges = '', startWatermark = job.tasks): void {
    this.specs.set(job.ref, job);
    const progress = { doneRanges, doneCount: 0, runningCount: 0, startWatermark };
    this.core.openJob({ spec: job, acceptedAt: 0, revision, progress }, 0);
  }

  addTerminatedJob(job: JobSpec, state: JobState = 'cancelled'): void {
    this.core.reserveQuotaForCancelled({ spec: job, revision: REVISION_BEFORE_EPOCH }, state);
  }

  closeJob(ref: string, state: JobState): void {
    this.core.closeJob(ref, state, 0);
  }

  /** Handles a heartbeat of a machine and returns the commands of the response. */
  heartbeat(
    id: string,
    now: number,
    tasks: HeartbeatTask[] = [],
    overrides: Partial<Heartbeat> = {},
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
      ...overrides,
    };
    return this.core.handleHeartbeat(heartbeat, now)?.commands ?? [];
  }
}

/** The tasks that these commands start, as `ref/index`. */
export function startedTasks(commands: Command[]): string[] {
  return commands.filter((c) => c.op === 'start').map((c) => `${c.ref}/${c.index}`);
}

/** The task of a start command as a later heartbeat reports it. */
export function taskInPhase(
  command: Command,
  phase: HeartbeatTask['phase'],
  exit: HeartbeatTask['exit'] = null,
): HeartbeatTask {
  return { ref: command.ref, index: command.index, attempt: command.attempt, phase, exit };
}

/** A test case: its name, the function that runs it on a new partition, and the team's CPU limit if it is not 8. */
export type PartitionCase = [name: string, run: (partition: PartitionHarness) => void, cpuLimit?: number];
