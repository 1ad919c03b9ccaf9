import { type PartitionCore } from '../../src/coordination/partition/partition-core';
import { type Command, type Heartbeat, type HeartbeatTask } from '../../src/protocol/workers';

interface SimulatedTask {
  ref: string;
  index: number;
  attempt: number;
  phase: 'fetching' | 'running' | 'checkpointing' | 'exited';
  exit: HeartbeatTask['exit'];
  /** The time at which its current phase ends unless it is stopped. */
  endsAt: number;
}

/** The durations of a worker's operations. */
export interface SimulatedWorkerOptions {
  imageFetchMs: number;
  checkpointDurationMs: number;
  leaseMs: number;
  /** The remaining run time of a task. */
  runMs: (ref: string, index: number) => number;
  /** Called when a task begins to write a checkpoint after a run of `ranMs`. */
  checkpointed: (ref: string, index: number, ranMs: number) => void;
}

/** A worker that is connected to a partition core without a network and executes commands at once. */
export class SimulatedWorker {
  readonly tasks = new Map<string, SimulatedTask>();
  /** Whether its heartbeats are lost. */
  heartbeatsLost = false;
  /** Whether the responses to its heartbeats are lost. */
  responsesLost = false;
  /** Whether the machine is gone with all tasks on it. */
  terminated = false;
  preemptionNoticeS: number | null = null;
  lastHeartbeat: Heartbeat | null = null;
  private agentEpoch = 1;
  private sequence = 0;
  private token = 0;
  private leaseRenewedAt: number;

  constructor(
    readonly id: string,
    private readonly options: SimulatedWorkerOptions,
    now: number,
  ) {
    this.leaseRenewedAt = now;
  }

  /** The tasks that occupy their share of the machine, as `ref/index`. */
  executingTasks(): string[] {
    const executing = [...this.tasks].filter(([, t]) => t.phase === 'running' || t.phase === 'checkpointing');
    return this.terminated ? [] : executing.map(([key]) => key);
  }

  /** Drops all tasks if the lease has expired, and ends the phases of tasks that are due. */
  advance(now: number): void {
    if (now - this.leaseRenewedAt > this.options.leaseMs) {
      this.tasks.clear();
      this.agentEpoch++;
      this.leaseRenewedAt = now;
    }
    for (const task of this.tasks.values()) if (now >= task.endsAt) this.endPhase(task, now);
  }

  private endPhase(task: SimulatedTask, now: number): void {
    if (task.phase === 'fetching') {
      task.phase = 'running';
      task.endsAt = now + this.options.runMs(task.ref, task.index);
    } else if (task.phase !== 'exited') {
      task.exit = task.phase === 'checkpointing' ? 'stopped' : 'done';
      task.phase = 'exited';
    }
  }

  sendHeartbeat(core: PartitionCore, now: number): void {
    if (this.terminated) return;
    const heartbeat: Heartbeat = {
      machine: this.id,
      address: 'x',
      type: 'small',
      zone: 'a',
      spot: true,
      agentEpoch: this.agentEpoch,
      sequence: ++this.sequence,
      token: this.token,
      preemptionNoticeS: this.preemptionNoticeS,
      tasks: [...this.tasks.values()].map(({ ref, index, attempt, phase, exit }) => ({
        ref,
        index,
        attempt,
        phase,
        exit,
      })),
    };
    this.lastHeartbeat = heartbeat;
    if (this.heartbeatsLost) return;
    const answer = core.handleHeartbeat(heartbeat, now);
    if (!answer || this.responsesLost || answer.token < this.token) return;
    this.token = answer.token;
    this.leaseRenewedAt = now;
    for (const command of answer.commands) this.handleCommand(command, now);
  }

  private handleCommand(command: Command, now: number): void {
    const { ref, index, attempt } = command;
    const key = `${ref}/${index}`;
    const existing = this.tasks.get(key);
    if (command.op === 'forget') {
      if (existing?.phase === 'exited' && existing.attempt === attempt) this.tasks.delete(key);
    } else if (command.op === 'start') {
      if (existing && existing.phase !== 'exited') return;
      const endsAt = now + this.options.imageFetchMs;
      this.tasks.set(key, { ref, index, attempt, phase: 'fetching', exit: null, endsAt });
    } else if (existing && existing.attempt === attempt) this.stop(existing, command.gracePeriodS, now);
  }

  private stop(task: SimulatedTask, graceS: number, now: number): void {
    if (task.phase === 'exited' || (task.phase === 'checkpointing' && graceS > 0)) return;
    const writesCheckpoint = task.phase === 'running' && this.options.checkpointDurationMs <= graceS * 1000;
    if (writesCheckpoint) {
      const ranMs = this.options.runMs(task.ref, task.index) - (task.endsAt - now);
      this.options.checkpointed(task.ref, task.index, ranMs);
    }
    task.phase = writesCheckpoint ? 'checkpointing' : 'exited';
    task.exit = writesCheckpoint ? null : 'stopped';
    task.endsAt = now + this.options.checkpointDurationMs;
  }
}
