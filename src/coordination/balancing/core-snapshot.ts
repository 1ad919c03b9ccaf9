import {
  type JobSnapshot,
  type MachineSnapshot,
  type PartitionSnapshot,
  type PendingTasks,
  type TaskSnapshot,
  type TeamUsage,
} from '@heathbridge/load-balancer';
import { type JobSpec } from '../../protocol/jobs';
import { type PartitionJob } from '../partition/job';
import { type MachineState } from '../partition/machine';
import { type InFlightTask } from '../partition/in-flight-task';
import { type PartitionCore } from '../partition/partition-core';
import { allowsMachine } from '../partition/placement';
import { countWithinQuota } from '../partition/resources';
import { jobsWithinGuarantee } from '../partition/scheduling-order';

/**
 * A job's tasks count as pending after this many heartbeat intervals. Tasks start only in answers to heartbeats, so a
 * shorter wait may just be the time between two heartbeats.
 */
const MIN_PENDING_HEARTBEAT_INTERVALS = 2;
/** Stated as free for a machine with a task of an unknown job: its usage is unknown, so nothing may be started there. */
const NO_RESOURCES = { cpus: 0, accelerators: 0, memoryGb: 0 };

/** The load balancer's view of a partition: the jobs, machines and tasks as the partition's owner knows them now. */
export class CoreSnapshot implements PartitionSnapshot {
  /** The time to which all data refer, in milliseconds of the steady clock. */
  now = 0;
  private readonly jobSnapshots = new WeakMap<JobSpec, JobSnapshot>();
  private machineSnapshots: MachineSnapshot[] | null = null;

  constructor(private readonly core: PartitionCore) {}

  get epoch(): number {
    return this.core.epoch;
  }

  /** Makes the snapshot current as of `now`, in milliseconds of the steady clock. */
  refresh(now: number): void {
    this.now = now;
    this.invalidateMachines();
  }

  /** Discards the cached state of the machines. Must be called when free resources have changed. */
  invalidateMachines(): void {
    this.machineSnapshots = null;
  }

  pendingTasks(): PendingTasks[] {
    const { core, now } = this;
    const jobs = core.jobsInSchedulingOrder();
    const guaranteed = jobsWithinGuarantee(jobs, core.quota.teams);
    const pending: PendingTasks[] = [];
    for (const job of jobs) {
      const taskCount = this.startableTaskCount(job);
      const pendingMs = now - job.firstSeenAt;
      if (taskCount === 0 || pendingMs < MIN_PENDING_HEARTBEAT_INTERVALS * core.heartbeatIntervalMs) continue;
      pending.push({
        spec: this.jobSnapshot(job.spec),
        taskCount,
        pendingS: pendingMs / 1000,
        withinGuarantee: guaranteed.has(job),
      });
    }
    return pending;
  }

  /** How many pending tasks of a job could start now if a machine had room; 0 for a job with zone constraints. */
  private startableTaskCount(job: PartitionJob): number {
    const { spec } = job;
    if (job.heldByPipeline || job.pendingCount === 0 || job.state !== 'open') return 0;
    if (spec.singleZone || spec.spreadZones) return 0;
    const allowedByTeam = countWithinQuota(this.core.quota.remaining(spec.team), spec);
    return Math.max(0, Math.min(job.pendingCount, job.maxNewStarts(this.now), allowedByTeam));
  }

  machines(): readonly MachineSnapshot[] {
    this.machineSnapshots ??= [...this.core.machines.values()].flatMap((machine) =>
      this.machineSnapshot(machine),
    );
    return this.machineSnapshots;
  }

  private machineSnapshot(machine: MachineState): MachineSnapshot[] {
    const { core } = this;
    const type = core.machineTypes().get(machine.record.type);
    if (!type) return [];
    const fetching = fetchingImages(machine);
    const canAccept =
      machine.confirmed && machine.tokenAcknowledged && !core.isUnschedulable(machine, this.now);
    return [
      {
        id: machine.id,
        capacity: type,
        free: machine.free(type) ?? NO_RESOURCES,
        accepting: canAccept && core.isAssigned(machine.id),
        activeFetchCount: fetching.size,
        fetchGbPerS: type.fetchGbPerS,
        hasImage: (image) => machine.images.has(image) && !fetching.has(image),
      },
    ];
  }

  tasksOn(machineId: string): TaskSnapshot[] {
    const machine = this.core.machines.get(machineId);
    if (!machine) return [];
    const tasks: TaskSnapshot[] = [];
    for (const task of machine.tasks.values()) if (task.spec) tasks.push(this.taskSnapshot(task, task.spec));
    return tasks;
  }

  private taskSnapshot(task: InFlightTask, spec: JobSpec): TaskSnapshot {
    const { ref, index, runningSince, startedAt } = task;
    return {
      job: ref,
      index,
      spec: this.jobSnapshot(spec),
      phase: runningSince === null ? 'fetching' : 'running',
      elapsedS: (this.now - (runningSince ?? startedAt)) / 1000,
      pinned: this.pinReason(task, spec),
    };
  }

  private pinReason(task: InFlightTask, spec: JobSpec): TaskSnapshot['pinned'] {
    const { ref, index, stop, checkpointing, phase } = task;
    const job = this.core.jobs.get(ref);
    // Until the worker has reported the task, the start command may not even have arrived.
    if (phase === 'sent') return 'starting';
    if (stop || checkpointing) return 'stopping';
    if (!job || job.state !== 'open' || job.isDone(index)) return 'job over';
    if (job.runsAtMostOnce) return 'run once';
    return spec.singleZone || spec.spreadZones ? 'zone bound' : null;
  }

  jobAllowsMachine(ref: string, machineId: string): boolean {
    const job = this.core.jobs.get(ref);
    const machine = this.core.machines.get(machineId);
    return job !== undefined && machine !== undefined && allowsMachine(job.spec, machine.record);
  }

  teamUsage(name: string): TeamUsage {
    const { quota } = this.core;
    return {
      usedCpus: quota.usageOf(name).cpus,
      guaranteedCpus: quota.teams.get(name)?.guaranteed.cpus ?? 0,
    };
  }

  /** The load balancer's view of a job, created once for each specification. */
  jobSnapshot(spec: JobSpec): JobSnapshot {
    const cached = this.jobSnapshots.get(spec);
    if (cached) return cached;
    const { cpus, accelerators, memoryGb } = spec;
    const snapshot: JobSnapshot = {
      job: spec.ref,
      team: spec.team,
      workload: spec.workload,
      priority: spec.priority,
      resources: { cpus, accelerators, memoryGb },
      image: spec.image,
      imageGb: spec.imageGb,
      expectedS: spec.expectedS,
      checkpointIntervalS: spec.checkpointIntervalS,
      checkpointDurationS: spec.checkpointDurationS,
    };
    this.jobSnapshots.set(spec, snapshot);
    return snapshot;
  }
}

/** Images that a machine is fetching: needed by tasks that do not run yet, and not used by any task that runs. */
function fetchingImages(machine: MachineState): Set<string> {
  const fetching = new Set<string>();
  const present = new Set<string>();
  for (const { runningSince, spec } of machine.tasks.values())
    if (spec) (runningSince === null ? fetching : present).add(spec.image);
  for (const image of present) fetching.delete(image);
  return fetching;
}
