import { type MachineType } from '../protocol/cloud';
import { URGENCIES, type JobSpec } from '../protocol/jobs';
import { LEAVES_FLEET, type PartitionLoad } from '../protocol/peers';
import { type FinalState, type JobProgress, type JobState, type MachineRecord } from '../protocol/records';
import { type Objective, type Quantity, type Team } from '../protocol/settings';
import { type Command, type Report, type ReportedTask } from '../protocol/workers';
import { PartitionJob } from './job';
import { MachineState, taskKey, type Exit, type InFlightTask } from './machine';
import { partitionLoad } from './partition-load';
import { PartitionPipelines } from './pipelines';
import { type Free } from './placement';
import { TaskPlacement, type PlacementHost, type PlacementSpreader } from './task-placement';
import { TeamQuota } from './team-quota';
import { UnconfirmedMachines } from './unconfirmed-machines';
import { schedulingOrder } from './scheduling-order';
import { deadlinesOf, Estimates } from './priority';
import { progressToWrite, type ProgressToWrite } from './start-watermarks';
import { type TaskObserver } from './task-observer';

export interface PartitionOptions {
  reportMs: number;
  leaseMs: number;
  valueBytes: number;
  objectives: readonly Objective[];
}

const REORDER_MS = 1000;
/** A task that has run for less than this is not stopped for another partition's sake: it would seem never to have begun. */
const RUN_BEFORE_STOP_MS = 30_000;
/** Of a stored value, what the ranges of one job may take. */
const RANGES_SHARE = 0.25;

/**
 * The pure core of a partition: the jobs of its teams and the machines lent to it. No tasks of these teams are on
 * any other machine, so everything that quota, placement and recovery ask is known here. A report costs what its
 * own machine's tasks cost, and a look through the jobs that wait if there is room; never a look at the fleet.
 */
export class PartitionCore implements PlacementHost {
  readonly machines = new Map<string, MachineState>();
  readonly jobs = new Map<string, PartitionJob>();
  private queue: PartitionJob[] = [];
  private queueStale = false;
  private orderedAt = Number.NEGATIVE_INFINITY;
  private today = 0;
  lastArrival = 0;
  readonly estimates = new Estimates();
  private readonly unconfirmedMachines = new UnconfirmedMachines();
  readonly quota: TeamQuota;
  readonly placement: TaskPlacement;
  /** Moves tasks between machines; null: nothing is moved. */
  observer: TaskObserver | null = null;
  private readonly ended = new Map<string, FinalState>();
  private readonly pipelines = new PartitionPipelines();
  readonly counters = { started: 0, done: 0, lost: 0, failed: 0, reports: 0, stale: 0, placementPasses: 0 };

  constructor(
    readonly id: string,
    /** Version of the partition's record: fences every earlier owner. */
    public readonly version: number,
    teams: readonly Team[],
    readonly types: () => ReadonlyMap<string, MachineType>,
    /** What a job that is not open any more asked for; its tasks may still be on machines. */
    private readonly settled: (ref: string) => JobSpec | undefined,
    readonly options: PartitionOptions,
    /** Machines that tasks may have been started on, as the store knows: nothing starts on any other. */
    private readonly assigned: Set<string> = new Set<string>(),
  ) {
    this.quota = new TeamQuota(teams, this.unconfirmedMachines, this.jobs);
    this.placement = new TaskPlacement(this);
  }

  get reportMs(): number {
    return this.options.reportMs;
  }

  get spreader(): PlacementSpreader | null {
    return this.observer?.spreader ?? null;
  }

  isAssigned(machine: string): boolean {
    return this.assigned.has(machine);
  }

  /** What the ranges of one job may take of a stored value. */
  get rangeBytes(): number {
    return this.options.valueBytes * RANGES_SHARE;
  }

  owns(team: string): boolean {
    return this.quota.has(team);
  }

  // Machines.

  putMachine(id: string, record: MachineRecord, version: number, now: number): void {
    const known = this.machines.get(id);
    if (known) {
      known.record = record;
      known.version = version;
      // Never unlocked here: it may be on its way to another partition, and a start now would run there unknown.
      known.locked ||= record.phase === 'returning';
      return;
    }
    // Lent to this partition after we took it over: it came with nothing on it (see `lock`). The same if no owner of this
    // partition has opened it: most of what boots while a partition changes hands would hold up its work for a whole lease.
    const clean = version > this.version || !this.assigned.has(id);
    const machine = new MachineState(id, record, version, clean, now);
    machine.locked = record.phase === 'returning';
    this.machines.set(id, machine);
    if (!clean) this.unconfirmedMachines.put(id, this.free(machine));
  }

  /** The machine is gone, and everything on it. */
  dropMachine(id: string, now: number): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    this.machines.delete(id);
    // The store's list forgets it as well: should it come back, it is opened anew.
    this.assigned.delete(id);
    for (const task of machine.clear()) this.giveBack(task, now);
    this.observer?.machineLost(id, now);
    this.confirmed(id);
  }

  /** Locks an empty machine, to be moved or returned. False if it is not empty or not known well enough. */
  lock(id: string): boolean {
    const machine = this.machines.get(id);
    if (!machine || machine.locked || !machine.confirmed || machine.tasks.size > 0) return false;
    if (machine.reserved) return false;
    machine.locked = true;
    return true;
  }

  unlock(id: string): void {
    const machine = this.machines.get(id);
    if (machine) machine.locked = machine.record.phase === 'returning';
  }

  /** Empties a machine for another partition: nothing new is put on it. */
  drainTo(id: string, partition: string, now: number): void {
    const machine = this.machines.get(id);
    if (!machine || machine.locked) return;
    machine.leavingTo = partition === this.id ? null : partition;
    if (machine.leavingTo === null) return;
    const leavesFleet = machine.leavingTo === LEAVES_FLEET;
    for (const task of machine.tasks.values()) {
      if (task.runningSince === null) continue;
      // A dear machine is not kept for the sake of tasks that can go on elsewhere from what they saved. For another partition's
      // sake a task is stopped only if it loses next to nothing by that: there is room for it here, and it has run a while.
      if (leavesFleet) this.saveElsewhere(task);
      else if (now - task.runningSince > RUN_BEFORE_STOP_MS && this.placement.takeSlack(task, now))
        this.saveElsewhere(task);
    }
  }

  /**
   * Machines that could take tasks once the store knows that they may have some. Names of machines that are not here make
   * room in the store's list, so they are forgotten here as well: one that had been here under an earlier owner came back
   * from another partition and was given tasks, though it was on the list no more, and the next owner took it for empty.
   */
  unassigned(): string[] {
    for (const id of this.assigned) if (!this.machines.has(id)) this.assigned.delete(id);
    const found = [];
    for (const m of this.machines.values())
      if (!this.assigned.has(m.id) && !m.locked && m.lastReport !== null) found.push(m.id);
    return found;
  }

  /** The store knows now that tasks may be on these. */
  markAssigned(machines: readonly string[]): void {
    for (const id of machines) if (this.machines.has(id)) this.assigned.add(id);
  }

  /** Machines that were emptied for another partition. */
  emptied(): { id: string; toPartition: string }[] {
    const found = [];
    for (const m of this.machines.values()) {
      if (m.leavingTo !== null && m.tasks.size === 0 && !m.reserved && !m.locked)
        found.push({ id: m.id, toPartition: m.leavingTo });
    }
    return found;
  }

  capacity(machine: MachineState): Free | null {
    return this.types().get(machine.record.type) ?? null;
  }

  free(machine: MachineState): Free | null {
    const has = this.capacity(machine);
    return has && machine.free(has);
  }

  /** Nothing that an earlier owner started can be on this machine unseen any more. */
  private confirmed(id: string): void {
    if (!this.unconfirmedMachines.remove(id)) return;
    this.quota.releaseCancelled();
    this.failInterrupted();
  }

  /** The first few of the machines that have not spoken since the partition was taken over. */
  firstUnconfirmed(count: number): string[] {
    return this.unconfirmedMachines.first(count);
  }

  get unconfirmed(): number {
    return this.unconfirmedMachines.count;
  }

  // Jobs.

  /** A job that the store has as open. */
  putJob(
    spec: JobSpec,
    acceptedAt: number,
    version: number,
    progress: JobProgress | null,
    now: number,
  ): void {
    if (!this.owns(spec.team) || this.jobs.has(spec.ref)) return;
    const suspect = version <= this.version;
    const deadlines = deadlinesOf(spec, this.options.objectives);
    const job = new PartitionJob(spec, acceptedAt, deadlines, progress, suspect, now);
    this.jobs.set(spec.ref, job);
    this.quota.changed();
    this.pipelines.put(spec, 'open', version);
    this.applyPipeline(spec.ref);
    this.endIfDone(job);
    this.lastArrival = now;
    this.queueStale = true;
  }

  /** A job of a pipeline that is over already: its edges still count. */
  putEnded(spec: JobSpec, state: JobState, version: number): void {
    if (!this.owns(spec.team) || !spec.pipeline) return;
    this.pipelines.put(spec, state, version);
    this.applyPipeline(spec.ref);
  }

  /** A job that was over before we took the partition: cancelled, its tasks may still be on machines that are silent. */
  putOver(spec: JobSpec, state: JobState, version: number): void {
    if (this.owns(spec.team) && state !== 'done' && version <= this.version)
      this.quota.reserveForCancelled(spec, spec.tasks);
  }

  /** Holds and releases the jobs of a pipeline as its edges say, and ends those that a failure reaches. */
  private applyPipeline(ref: string): void {
    const view = this.pipelines.viewOf(ref);
    if (!view) return;
    for (const member of view.standing.keys()) {
      const job = this.jobs.get(member);
      if (job) job.held = !view.ready.has(member);
    }
    // What is done stays done, also while the store does not know it yet.
    for (const [member, state] of view.decided)
      if (this.jobs.get(member)?.finished === false) this.ended.set(member, state);
  }

  /** A task of this job was begun and is lost. A plain job runs it again; one that may not be rerun has failed. */
  private lostTask(job: PartitionJob): void {
    if (job.onceOnly && this.pipelines.interrupt(job.ref)) this.applyPipeline(job.ref);
  }

  /**
   * All machines have spoken or their leases have run out: whatever an earlier owner started and is neither done nor
   * anywhere was interrupted.
   */
  private failInterrupted(): void {
    for (const job of this.jobs.values()) if (job.onceOnly && job.interrupted) this.lostTask(job);
  }

  /** The store knows how a job ended. */
  closeJob(ref: string, state: JobState, now: number): void {
    if (this.pipelines.closed(ref, state)) this.applyPipeline(ref);
    const job = this.jobs.get(ref);
    if (!job) return;
    job.state = state;
    if (state !== 'done') this.quota.reserveForCancelled(job.spec, job.suspects);
    this.jobs.delete(ref);
    this.ended.delete(ref);
    this.queueStale = true;
    // What is out stays in flight, and counted against the quota, until its machine no longer has it.
    for (const [index, machine] of job.out) {
      const task = machine.tasks.get(taskKey(ref, index));
      if (task) task.stop = { graceS: 0 };
    }
    this.observer?.closed(ref, now);
  }

  private specOf(ref: string): JobSpec | undefined {
    return this.jobs.get(ref)?.spec ?? this.settled(ref);
  }

  /** Jobs that have ended and of which the store does not know it yet. */
  get finals(): ReadonlyMap<string, FinalState> {
    return this.ended;
  }

  /** Progress to be written, with start watermarks that let the next tasks in turn start. */
  progress(now: number): ProgressToWrite {
    return progressToWrite(this, now);
  }

  /** The store has this progress: tasks before the start watermarks may start, exits that it tells of may be forgotten. */
  recorded(jobs: ReadonlyMap<string, JobProgress>): void {
    for (const [ref, progress] of jobs) this.jobs.get(ref)?.recorded(progress);
  }

  // Reports.

  /** Takes a worker's report and answers with our token and commands; null: not a machine of this partition. */
  report(report: Report, now: number): { token: number; commands: Command[] } | null {
    const machine = this.machines.get(report.machine);
    if (!machine) return null;
    this.counters.reports++;
    // A late copy proves nothing, renews nothing and is given nothing to do.
    if (!machine.isNews(report)) {
      this.counters.stale++;
      return { token: machine.token(this.version), commands: [] };
    }
    const wasConfirmed = machine.confirmed;
    // What booted until now was not idle: counted from its rental it would be returned the moment it is up.
    if (machine.lastReport === null) machine.idleSince = now;
    const outcome = machine.take(report, this.version, now, this.options.leaseMs);
    for (const task of outcome.lost) {
      this.counters.lost++;
      this.giveBack(task, now);
    }
    for (const exit of outcome.exits) this.exited(machine, exit, now);
    for (const stranger of outcome.strangers) this.adopt(machine, stranger, now);
    if (!wasConfirmed) {
      if (machine.confirmed) this.confirmed(machine.id);
      else this.unconfirmedMachines.put(machine.id, this.free(machine));
    }
    this.quota.changed();
    if (machine.noticeUntil !== null) this.drain(machine, now);
    if (machine.tasks.size > 0) machine.idleSince = now;
    const commands = machine.answer((exit) => this.forgettable(exit), now);
    this.observer?.answering(machine, commands, now);
    this.placement.fill(machine, commands, now);
    return { token: machine.token(this.version), commands };
  }

  private forgettable(exit: Exit): boolean {
    // A job that is not open is settled in the store; failures leave nothing worth keeping.
    return exit.reason !== 'done' || this.jobs.get(exit.ref)?.isDurable(exit.index) !== false;
  }

  private exited(machine: MachineState, exit: Exit, now: number): void {
    if (exit.inFlight) this.giveBack(exit.inFlight, now, false);
    const job = this.jobs.get(exit.ref);
    const since = exit.inFlight?.runningSince;
    if (job && exit.reason === 'done' && typeof since === 'number' && job.spec.checkpointS === 0) {
      this.estimates.learn(job.spec.workload, job.spec.expectedS, (now - since) / 1000);
      this.observer?.ran(job.spec, (now - since) / 1000);
    }
    if (!job?.has(exit.index)) return;
    if (exit.reason === 'done') {
      machine.failing.clear();
      machine.proven = true;
      if (job.isDone(exit.index)) return;
      // If another attempt is out, it is stopped.
      if (!job.isWaiting(exit.index)) this.stopElsewhere(job, exit.index);
      job.finishes(exit.index);
      this.observer?.finished(exit.ref, exit.index, now);
      this.counters.done++;
      this.endIfDone(job);
      return;
    }
    if (!exit.inFlight) return;
    if (exit.reason !== 'stopped') this.observer?.failed(exit.ref, exit.index, now);
    if (exit.reason !== 'no_room' && exit.reason !== 'busy') this.lostTask(job);
    if (exit.reason === 'error' || exit.reason === 'unknown') {
      this.counters.failed++;
      job.failedOn.add(machine.id);
      if (exit.reason === 'error') machine.failing.set(job.ref, (machine.failing.get(job.ref) ?? 0) + 1);
      const errors = job.fails(exit.index);
      // Tried again elsewhere, with growing pauses: the job is not over until its user says so.
      job.waits(exit.index, now + Math.min(30_000, 250 * 2 ** errors));
      if (job.faulty) job.pause(now);
    } else if (exit.reason === 'no_room') {
      job.waits(exit.index, now + this.options.reportMs);
    }
  }

  private stopElsewhere(job: PartitionJob, index: number): void {
    const task = job.out.get(index)?.tasks.get(taskKey(job.ref, index));
    if (task) task.stop = { graceS: 0 };
  }

  private adopt(machine: MachineState, t: ReportedTask, now: number): void {
    const job = this.jobs.get(t.ref);
    const spec = this.specOf(t.ref);
    const inFlight = machine.adopt(t, spec ?? null, now);
    if (spec) this.quota.use(spec, 1);
    if (job?.has(t.index) && job.isWaiting(t.index)) {
      job.goesOut(t.index, machine);
      machine.images.add(job.spec.image);
    } else {
      inFlight.stop = { graceS: 0 };
    }
  }

  /** A task in flight is surely not on its machine any more. */
  private giveBack(task: InFlightTask, now: number, lost = true): void {
    if (task.spec) this.quota.use(task.spec, -1);
    const job = this.jobs.get(task.ref);
    const machine = job?.out.get(task.index);
    // The same task may be in flight on another machine too, being stopped there.
    if (!job || machine?.tasks.has(taskKey(task.ref, task.index))) return;
    job.comesBack(task.index);
    if (job.isWaiting(task.index)) this.observer?.gone(task.ref, task.index, now);
    this.endIfDone(job);
    if (lost && task.phase === 'seen') this.lostTask(job);
  }

  /**
   * All tasks are done, and no other attempt of one is still being stopped: what is told as done leaves nothing on any
   * machine, for the next owner counts nothing of it against the team.
   */
  private endIfDone(job: PartitionJob): void {
    if (job.finished && job.out.size === 0) this.ended.set(job.ref, 'done');
  }

  /** The cloud takes the machine away: tasks that can save do so in time. */
  private drain(machine: MachineState, now: number): void {
    const left = ((machine.noticeUntil ?? now) - now) / 1000;
    for (const task of machine.tasks.values()) {
      // A notice may be half as long as it says; two reports may pass until the next command arrives.
      const saveS = task.spec?.saveS ?? 0;
      if (left * 0.5 <= saveS + (2 * this.options.reportMs) / 1000 + 1) this.saveElsewhere(task);
    }
  }

  /** Stops a task that can go on elsewhere from what it saves. */
  private saveElsewhere(task: InFlightTask): void {
    const job = this.jobs.get(task.ref);
    if (!job || job.onceOnly || job.spec.checkpointS <= 0 || task.stop) return;
    task.stop = { graceS: job.spec.saveS + 1 };
  }

  // Time.

  tick(now: number, today: number): void {
    this.today = today;
    if (now - this.orderedAt > REORDER_MS) {
      this.orderedAt = now;
      this.queueStale = true;
    }
    for (const machine of this.machines.values()) {
      const lost = machine.expire(now, this.options.leaseMs);
      if (!lost) continue;
      this.counters.lost += lost.length;
      for (const task of lost) this.giveBack(task, now);
      this.confirmed(machine.id);
    }
    this.quota.changed();
    this.placement.chooseMachines(now);
    this.observer?.tick(now);
  }

  // Placement.

  /** The open jobs in their turn. */
  sorted(): readonly PartitionJob[] {
    if (!this.queueStale) return this.queue;
    this.queueStale = false;
    let cpus = 1;
    for (const m of this.machines.values()) cpus += this.capacity(m)?.cpus ?? 0;
    const { estimates, today } = this;
    const limits = this.quota.teams;
    this.queue = schedulingOrder([...this.jobs.values()], {
      ...{ cpus, estimates, limits, today },
      objectives: this.options.objectives,
    });
    return this.queue;
  }

  // What the leader and the operators are told.

  /** What a team may still use. */
  room(team: string): Quantity {
    return this.quota.room(team);
  }

  /** Whether nothing new is to be put on a machine just now. */
  takesNothing(machine: MachineState, now: number): boolean {
    return this.placement.unfit(machine, now);
  }

  isFaulty(machine: MachineState): boolean {
    return this.placement.isFaulty(machine);
  }

  load(now: number): PartitionLoad {
    return partitionLoad(this, now);
  }

  /** Numbers for the operators' status. */
  summary(): object {
    const byRank = URGENCIES.map((name, rank) => {
      const jobs = [...this.jobs.values()].filter((j) => j.spec.rank === rank);
      return { urgency: name, jobs: jobs.length, waiting: jobs.reduce((n, j) => n + j.waiting, 0) };
    });
    const { size } = this.machines;
    return { partition: this.id, machines: size, unconfirmed: this.unconfirmed, byRank, ...this.counters };
  }
}
