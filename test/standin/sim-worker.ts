import { type PartitionCore } from '../../src/coordination/partition/partition-core';
import { type Command, type Heartbeat, type HeartbeatTask } from '../../src/protocol/workers';

interface SimulatedTask {
  ref: string;
  index: number;
  attempt: number;
  phase: 'fetching' | 'running' | 'checkpointing' | 'exited';
  exit: HeartbeatTask['exit'];
  /** When its present phase ends by itself. */
  endsAt: number;
}

/** How long what a worker does takes. */
export interface SimulatedWorkerOptions {
  imageFetchMs: number;
  checkpointDurationMs: number;
  leaseMs: number;
  /** Run time left of a task. */
  runMs: (ref: string, index: number) => number;
  /** A task has saved after it ran for so long. */
  checkpointed: (ref: string, index: number, ranMs: number) => void;
}

/** A worker at a partition's core, without a network between: it carries out commands at once. */
export class SimulatedWorker {
  readonly tasks = new Map<string, SimulatedTask>();
  /** Its heartbeats do not arrive. */
  heartbeatsLost = false;
  /** Responses to its heartbeats do not arrive. */
  responsesLost = false;
  /** It is gone with all that is on it. */
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

  /** Tasks that take their place on the machine, as the rules count them. */
  executingTasks(): string[] {
    const here = [...this.tasks].filter(([, t]) => t.phase === 'running' || t.phase === 'checkpointing');
    return this.terminated ? [] : here.map(([key]) => key);
  }

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
    for (const command of answer.commands) this.execute(command, now);
  }

  private execute(command: Command, now: number): void {
    const { ref, index, attempt } = command;
    const key = `${ref}/${index}`;
    const known = this.tasks.get(key);
    if (command.op === 'forget') {
      if (known?.phase === 'exited' && known.attempt === attempt) this.tasks.delete(key);
    } else if (command.op === 'start') {
      if (known && known.phase !== 'exited') return;
      const endsAt = now + this.options.imageFetchMs;
      this.tasks.set(key, { ref, index, attempt, phase: 'fetching', exit: null, endsAt });
    } else if (known && known.attempt === attempt) this.stop(known, command.gracePeriodS, now);
  }

  private stop(task: SimulatedTask, graceS: number, now: number): void {
    if (task.phase === 'exited' || (task.phase === 'checkpointing' && graceS > 0)) return;
    const saves = task.phase === 'running' && this.options.checkpointDurationMs <= graceS * 1000;
    if (saves) {
      const ranMs = this.options.runMs(task.ref, task.index) - (task.endsAt - now);
      this.options.checkpointed(task.ref, task.index, ranMs);
    }
    task.phase = saves ? 'checkpointing' : 'exited';
    task.exit = saves ? null : 'stopped';
    task.endsAt = now + this.options.checkpointDurationMs;
  }
}
