import {
  evenAllowance,
  evenLevel,
  fetchSeconds,
  PartitionBalancer,
  type BalancerSettings,
  type JobView,
  type KeptRoom,
  type MachineView,
  type Move,
  type MoveDecision,
  type MoveExecutor,
  type PartitionView,
  type TaskId,
  type TaskView,
  type TeamView,
  type WaitingView,
} from '@heathbridge/load-balancer';
import { WorkPacer } from '../transport/work-pacer';
import { URGENCIES, type JobSpec } from '../protocol/jobs';
import { type MachineType } from '../protocol/cloud';
import { type Command } from '../protocol/workers';
import { type PartitionJob } from './job';
import { taskKey, type InFlightTask, type MachineState } from './machine';
import { type PartitionCore } from './partition';
import { allows, fits, type Free } from './placement';
import { withinGuarantee } from './scheduling-order';
import { type PlacementSpreader } from './task-placement';
import { type TaskObserver } from './task-observer';

/** Planning may take this share of the time. */
const PLAN_SHARE = 0.04;
/** Planning is due after so many times its interval at the latest, however much it costs. */
const PLAN_LATEST = 10;
/** A task that has waited for so many reports is not merely between two of them. */
const REPORTS_WAITED = 2;
/** Added to the time that a task needs to save: it must not be cut short by its own estimate. */
const GRACE_MARGIN_S = 1;
/** Room and images are not known better than this while a fetch is under way. */
const NO_ROOM = { cpus: 0, accelerators: 0, memoryGb: 0 };

/** Implements what the balancer needs of a partition: how it stands, and the steps of moves. */
export class TaskMoves implements TaskObserver, PartitionView, MoveExecutor {
  readonly balancer: PartitionBalancer;
  readonly spreader: PlacementSpreader | null;
  private readonly pacer: WorkPacer;
  /** Tasks that no one but their move may start, with what they count for against their team's limit. */
  private readonly holds = new Map<string, JobSpec>();
  private readonly jobViews = new WeakMap<JobSpec, JobView>();
  private machineViews: MachineView[] | null = null;
  private now = 0;

  constructor(
    private readonly core: PartitionCore,
    private readonly settings: BalancerSettings,
    private readonly steady: () => number,
  ) {
    const { reportMs, leaseMs } = core.options;
    const timeouts = { reportMs, leaseMs };
    this.balancer = new PartitionBalancer({
      ...{ partition: core.id, priorities: URGENCIES.length, settings, timeouts },
      ...{ view: this, executor: this },
    });
    this.spreader = settings.placement === 'even' ? new EvenSpreader(core, settings.locality_weight) : null;
    const leastMs = settings.plan_interval_s * 1000;
    this.pacer = new WorkPacer({ leastMs, mostMs: PLAN_LATEST * leastMs, share: PLAN_SHARE });
  }

  get epoch(): number {
    return this.core.version;
  }

  // What becomes of tasks.

  gone(ref: string, index: number, now: number): void {
    const { tracker } = this.balancer;
    tracker.on({ job: ref, index }, { kind: 'source-gone' }, now);
    // A move that has just come to its target's turn is not concerned by this.
    tracker.on({ job: ref, index }, { kind: 'target-gone' }, now);
  }

  finished(ref: string, index: number, now: number): void {
    this.balancer.tracker.on({ job: ref, index }, { kind: 'finished' }, now);
  }

  failed(ref: string, index: number, now: number): void {
    this.balancer.tracker.on({ job: ref, index }, { kind: 'source-failed' }, now);
  }

  ran(spec: JobSpec, seconds: number): void {
    this.balancer.estimator.learn(this.jobView(spec), seconds);
  }

  closed(ref: string, now: number): void {
    this.balancer.tracker.jobClosed(ref, now);
    this.balancer.estimator.forget(ref);
  }

  machineLost(id: string, now: number): void {
    this.balancer.tracker.targetLost(id, now);
  }

  answering(machine: MachineState, commands: Command[], now: number): void {
    const { tracker } = this.balancer;
    if (tracker.idle) return;
    for (const move of tracker.running) {
      if (move.target !== machine.id) continue;
      const shown = machine.tasks.get(taskKey(move.task.job, move.task.index));
      if (shown?.phase === 'seen') tracker.on(move.task, { kind: 'target-seen' }, now);
    }
    for (const task of tracker.startsOn(machine.id)) this.startAtTarget(task, machine, commands, now);
    for (const room of tracker.keptOn(machine.id)) this.startInKeptRoom(room, machine, commands, now);
  }

  /** Starts a task of the job that room was made for, once all of the room is there. */
  private startInKeptRoom(kept: KeptRoom, machine: MachineState, commands: Command[], now: number): void {
    const { tracker } = this.balancer;
    const job = this.core.jobs.get(kept.job);
    this.endKeeping(machine.id, kept.job);
    if (job && this.core.placement.startNext(job, machine, commands, now))
      return tracker.endKeeping((room) => room === kept);
    this.keepRoom(machine.id, kept.job);
  }

  private startAtTarget(task: TaskId, machine: MachineState, commands: Command[], now: number): void {
    const { tracker } = this.balancer;
    const job = this.core.jobs.get(task.job);
    // What was held for it becomes what the start itself takes.
    this.release(machine.id, task);
    this.releaseHold(task);
    const started = job && this.core.placement.startHeld(job, task.index, machine, commands, now);
    tracker.on(task, { kind: started ? 'start-sent' : 'target-full' }, now);
  }

  /** What is told from here on is as of now. */
  protected refresh(now: number): void {
    this.now = now;
    this.machineViews = null;
  }

  tick(now: number): void {
    this.now = now;
    const { tracker } = this.balancer;
    tracker.tick(now);
    for (const move of tracker.running)
      if (move.target !== null && this.targetIsLost(move, now)) tracker.targetLost(move.target, now);
    // Until all machines have spoken nothing is known well enough to be moved.
    if (this.core.unconfirmed > 0 || !this.pacer.due(now)) return;
    this.refresh(now);
    const startedAt = this.steady();
    this.balancer.plan(now);
    this.pacer.took(startedAt, this.steady());
  }

  private targetIsLost({ target, state }: Readonly<Move>, now: number): boolean {
    if (state === 'starting' || target === null) return false;
    const machine = this.core.machines.get(target);
    return !machine || this.core.takesNothing(machine, now);
  }

  /** Lines for the operators' log. */
  takeDecisions(): object[] {
    return this.balancer.tracker.takeDecisions().map(logLine);
  }

  // The balancer's view of the partition.

  waiting(): WaitingView[] {
    const { core, now } = this;
    const limits = core.quota.teams;
    const jobs = core.sorted();
    const owed = withinGuarantee(jobs, limits);
    const found: WaitingView[] = [];
    for (const job of jobs) {
      const tasks = this.startableNow(job);
      const waitedMs = now - job.readySince;
      if (tasks === 0 || waitedMs < REPORTS_WAITED * core.reportMs) continue;
      const of = this.jobView(job.spec);
      found.push({ of, tasks, waitedS: waitedMs / 1000, withinGuarantee: owed.has(job) });
    }
    return found;
  }

  /** Waiting tasks that lack nothing but a machine. */
  private startableNow(job: PartitionJob): number {
    const { spec } = job;
    if (job.held || job.waiting === 0 || job.state !== 'open' || spec.together || spec.apart) return 0;
    const room = this.core.room(spec.team);
    const ofTeam = fits({ ...room, memoryGb: Infinity }, { ...spec, memoryGb: 0 });
    return Math.max(0, Math.min(job.waiting, job.mostOut(this.now), ofTeam));
  }

  machines(): readonly MachineView[] {
    this.machineViews ??= [...this.core.machines.values()].flatMap((machine) => this.machineView(machine));
    return this.machineViews;
  }

  private machineView(machine: MachineState): MachineView[] {
    const type = this.core.types().get(machine.record.type);
    if (!type) return [];
    const fetching = fetchingImages(machine);
    const accepting = machine.confirmed && machine.hears && !this.core.takesNothing(machine, this.now);
    return [
      {
        id: machine.id,
        capacity: type,
        free: machine.free(type) ?? NO_ROOM,
        accepting: accepting && this.core.isAssigned(machine.id),
        fetching: fetching.size,
        fetchGbPerS: type.fetchGbPerS,
        hasImage: (image) => machine.images.has(image) && !fetching.has(image),
      },
    ];
  }

  tasksOn(id: string): TaskView[] {
    const machine = this.core.machines.get(id);
    if (!machine) return [];
    const views: TaskView[] = [];
    for (const task of machine.tasks.values()) if (task.spec) views.push(this.taskView(task, task.spec));
    return views;
  }

  private taskView(task: InFlightTask, spec: JobSpec): TaskView {
    const { ref, index, runningSince, since } = task;
    return {
      ...{ job: ref, index, of: this.jobView(spec) },
      phase: runningSince === null ? 'fetching' : 'running',
      elapsedS: (this.now - (runningSince ?? since)) / 1000,
      pinned: this.whyPinned(task, spec),
    };
  }

  private whyPinned({ ref, index, stop, saving, phase }: InFlightTask, spec: JobSpec): TaskView['pinned'] {
    const job = this.core.jobs.get(ref);
    // What was sent and not seen yet may not even be there.
    if (phase === 'sent') return 'starting';
    if (stop || saving) return 'stopping';
    if (!job || job.state !== 'open' || job.isDone(index)) return 'job over';
    if (job.onceOnly) return 'run once';
    return spec.together || spec.apart ? 'zone bound' : null;
  }

  allows(ref: string, id: string): boolean {
    const job = this.core.jobs.get(ref);
    const machine = this.core.machines.get(id);
    return job !== undefined && machine !== undefined && allows(job.spec, machine.record);
  }

  team(name: string): TeamView {
    const guaranteedCpus = this.core.quota.teams.get(name)?.guaranteed.cpus ?? 0;
    return { usedCpus: this.core.quota.usedBy(name).cpus, guaranteedCpus };
  }

  private jobView(spec: JobSpec): JobView {
    const known = this.jobViews.get(spec);
    if (known) return known;
    const { ref, team, workload, rank, cpus, accelerators, memoryGb } = spec;
    const { image, imageGb, expectedS, checkpointS, saveS } = spec;
    const view: JobView = {
      ...{ job: ref, team, workload, priority: rank, needs: { cpus, accelerators, memoryGb } },
      ...{ image, imageGb, expectedS, checkpointS, saveS },
    };
    this.jobViews.set(spec, view);
    return view;
  }

  // The steps of a move.

  reserve(id: string, { job, index }: TaskId): boolean {
    const machine = this.core.machines.get(id);
    const spec = this.core.jobs.get(job)?.spec;
    const free = machine && this.core.free(machine);
    if (!machine || !spec || !free || fits(free, spec) === 0) return false;
    if (this.core.takesNothing(machine, this.now)) return false;
    machine.reserve(taskKey(job, index), spec);
    this.machineViews = null;
    return true;
  }

  release(id: string, { job, index }: TaskId): void {
    this.core.machines.get(id)?.release(taskKey(job, index));
    this.machineViews = null;
  }

  stop(id: string, { job, index }: TaskId): void {
    const task = this.core.machines.get(id)?.tasks.get(taskKey(job, index));
    if (!task || task.stop) return;
    const saves = (task.spec?.checkpointS ?? 0) > 0;
    task.stop = { graceS: saves ? (task.spec?.saveS ?? 0) + GRACE_MARGIN_S : 0 };
  }

  holdTask({ job: ref, index }: TaskId, untilMs: number): void {
    const job = this.core.jobs.get(ref);
    const key = taskKey(ref, index);
    if (!job || this.holds.has(key)) return;
    job.waits(index, untilMs);
    this.holds.set(key, job.spec);
    // Nobody else of its team may take what it gave up, or it could not start again.
    this.core.quota.use(job.spec, 1);
  }

  keepRoom(id: string, ref: string): void {
    const spec = this.core.jobs.get(ref)?.spec;
    if (spec) this.core.machines.get(id)?.reserve(roomKey(ref), spec);
    this.machineViews = null;
  }

  endKeeping(id: string, ref: string): void {
    this.core.machines.get(id)?.release(roomKey(ref));
    this.machineViews = null;
  }

  freeTask(task: TaskId): void {
    this.releaseHold(task);
  }

  private releaseHold({ job: ref, index }: TaskId): void {
    const key = taskKey(ref, index);
    const spec = this.holds.get(key);
    if (!spec || !this.holds.delete(key)) return;
    this.core.quota.use(spec, -1);
    this.core.jobs.get(ref)?.waitsNoMore(index);
  }
}

/** Room that is kept for the next task of a job, whichever that is. */
function roomKey(ref: string): string {
  return `${ref}/next`;
}

/** Fills all machines of a partition alike. */
class EvenSpreader implements PlacementSpreader {
  private level = 1;

  constructor(
    private readonly core: PartitionCore,
    private readonly localityWeight: number,
  ) {}

  look(machines: Iterable<MachineState>, waitingCpus: number): void {
    const fills: { cpus: number; used: number }[] = [];
    for (const machine of machines) {
      const cpus = this.typeOf(machine)?.cpus ?? 0;
      fills.push({ cpus, used: cpus - (this.core.free(machine)?.cpus ?? 0) });
    }
    this.level = evenLevel(fills, waitingCpus);
  }

  allowance(machine: MachineState, free: Free, spec: JobSpec): number {
    const type = this.typeOf(machine);
    if (!type) return 0;
    const near = machine.images.has(spec.image);
    const elsewhere = { fetching: 0, fetchGbPerS: type.fetchGbPerS, hasImage: () => false };
    const fetchS = fetchSeconds(spec, elsewhere);
    const expectedS = this.core.estimates.expect(spec);
    return evenAllowance(
      { capacity: type, free },
      this.level,
      near ? fetchS : 0,
      expectedS,
      this.localityWeight,
    );
  }

  private typeOf(machine: MachineState): MachineType | undefined {
    return this.core.types().get(machine.record.type);
  }
}

/** Images that a machine fetches for tasks which have not begun. */
function fetchingImages(machine: MachineState): Set<string> {
  const images = new Set<string>();
  const present = new Set<string>();
  for (const { runningSince, spec } of machine.tasks.values())
    if (spec) (runningSince === null ? images : present).add(spec.image);
  for (const image of present) images.delete(image);
  return images;
}

function logLine({ move, event }: MoveDecision): object {
  const { id, task, source, target, cause, gainS, costS, reason } = move;
  const reckoning = { gainS: round(gainS), costS: round(costS) };
  return {
    ...{ move: id, event, task: taskKey(task.job, task.index), source, target },
    ...{ cause: `${cause.kind} ${cause.job}`, ...reckoning, ...(reason === null ? {} : { reason }) },
  };
}

function round(seconds: number): number {
  return Math.round(seconds * 10) / 10;
}
