import { type MachineType } from '../protocol/cloud';
import { URGENCIES, type JobSpec } from '../protocol/jobs';
import { LEAVES_FLEET, type Demand, type PartLoad } from '../protocol/peers';
import {
  decodeRanges,
  encodeRanges,
  type JobState,
  type MachineRecord,
  type PipelineRecord,
} from '../protocol/records';
import { type Objective, type Quantity, type Team } from '../protocol/settings';
import { type Command, type Report } from '../protocol/workers';
import { MachineState, taskKey, type Exit, type Presumed } from './machine';
import { allows, fits, zoneRoom, type Free } from './placement';
import { walk } from './recovery';
import { duesOf, effectiveRank, Estimates, missed } from './urgency';

enum TaskState {
  Waiting,
  Out,
  Done,
  /** Done, and the store knows it. */
  Durable,
}

interface Usable {
  machine: MachineState;
  free: Free;
}

interface Job {
  ref: string;
  spec: JobSpec;
  record: PipelineRecord;
  version: number;
  acceptedAt: number;
  /** Urgency that it is placed with. */
  rank: number;
  dues: number[];
  state: JobState;
  tasks: Uint8Array;
  waiting: number;
  done: number;
  /** Where tasks that are out are presumed to be. */
  out: Map<number, MachineState>;
  /** Accepted before we took the part over: its tasks may be on machines that have not spoken yet. */
  suspect: boolean;
  notBefore: Map<number, number>;
  errors: Map<number, number>;
  failedOn: Set<string>;
  changed: boolean;
  /** When this owner first saw it. */
  readySince: number;
  lastWrite: number;
  writing: boolean;
}

export interface PartOptions {
  reportMs: number;
  leaseMs: number;
  valueBytes: number;
  objectives: readonly Objective[];
}

export interface JobWrite {
  ref: string;
  version: number;
  record: PipelineRecord;
  final: boolean;
  included: number[];
}

/** Failures in a row after which a machine is taken to be the one at fault. */
const FAULTY_AFTER = 3;
/** A job that failed on this many machines and never succeeded is taken to be at fault itself. */
const JOB_AT_FAULT = 3;
const STEP_BACK = 4;
/** Estimates err by half: a job is given up on for a due only if this share of it would be too long. */
const SURELY_NEEDED = 0.6;
const REORDER_MS = 1000;
const IMAGE_PATIENCE_MS = 30_000;
const ATTEMPTS_PER_INCARNATION = 1_000_000;

/**
 * The pure core of a part: the jobs of its teams and the machines lent to it. No tasks of these teams are on
 * any other machine, so everything that quota, placement and recovery ask is known here.
 */
export class PartCore {
  readonly machines = new Map<string, MachineState>();
  private readonly jobs = new Map<string, Job>();
  private order: Job[] = [];
  private orderStale = false;
  private orderedAt = Number.NEGATIVE_INFINITY;
  private today = 0;
  private lastArrival = 0;
  private readonly estimates = new Estimates();
  private readonly used = new Map<string, Quantity>();
  private readonly limits = new Map<string, Team>();
  private attempts = 0;
  readonly counters = { started: 0, done: 0, lost: 0, failed: 0 };

  constructor(
    readonly id: string,
    /** Version of the part's record: fences every earlier owner. */
    public readonly version: number,
    teams: readonly Team[],
    private readonly types: () => ReadonlyMap<string, MachineType>,
    /** What a job that is not open any more asked for; its tasks may still be on machines. */
    private readonly settled: (ref: string) => JobSpec | undefined,
    private readonly options: PartOptions,
  ) {
    for (const team of teams) {
      this.limits.set(team.name, team);
      this.used.set(team.name, { cpus: 0, accelerators: 0 });
    }
  }

  owns(team: string): boolean {
    return this.limits.has(team);
  }

  // Machines.

  putMachine(id: string, record: MachineRecord, version: number, now: number): void {
    const known = this.machines.get(id);
    if (known) {
      known.record = record;
      known.version = version;
      known.locked = record.phase === 'returning';
      return;
    }
    // Lent to this part after we took it over: it came with nothing on it (see `lock`).
    const clean = version > this.version;
    const machine = new MachineState(id, record, version, clean, now);
    machine.locked = record.phase === 'returning';
    this.machines.set(id, machine);
  }

  /** The machine is gone, and everything on it. */
  dropMachine(id: string): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    this.machines.delete(id);
    const lost = [...machine.tasks.values()];
    machine.tasks.clear();
    for (const task of lost) this.giveBack(task);
  }

  /** Locks an empty machine, to be moved or returned. False if it is not empty or not known well enough. */
  lock(id: string): boolean {
    const machine = this.machines.get(id);
    if (!machine || machine.locked || !machine.resolved || machine.tasks.size > 0) return false;
    machine.locked = true;
    return true;
  }

  unlock(id: string): void {
    const machine = this.machines.get(id);
    if (machine) machine.locked = machine.record.phase === 'returning';
  }

  /** Empties a machine for another part: nothing new is put on it. */
  drainTo(id: string, part: string): void {
    const machine = this.machines.get(id);
    if (!machine || machine.locked) return;
    machine.leavingTo = part === this.id ? null : part;
    if (machine.leavingTo === null) return;
    for (const task of machine.unplan()) this.giveBack(task);
    if (part !== LEAVES_FLEET) return;
    // A dear machine is not kept for the sake of tasks that can go on elsewhere from what they saved.
    for (const task of machine.tasks.values()) {
      const spec = this.jobs.get(task.ref)?.spec;
      if (!spec || spec.checkpointS <= 0 || task.stop || task.runningSince === null) continue;
      task.stop = { graceS: spec.saveS + 1 };
    }
  }

  /** Machines that were emptied for another part. */
  emptied(): { id: string; toPart: string }[] {
    const found = [];
    for (const m of this.machines.values()) {
      if (m.leavingTo !== null && m.tasks.size === 0 && !m.locked)
        found.push({ id: m.id, toPart: m.leavingTo });
    }
    return found;
  }

  tokenOf(machine: MachineState): number {
    return Math.max(this.version, machine.version);
  }

  // Jobs.

  /** A pipeline as the store has it: a new one, or one that somebody cancelled. */
  putPipeline(record: PipelineRecord, version: number, now: number): void {
    const jobRecord = record.jobs[0];
    if (!jobRecord || !this.owns(jobRecord.spec.team)) return;
    const ref = jobRecord.spec.ref;
    const known = this.jobs.get(ref);
    if (known) {
      if (version <= known.version) return;
      known.version = version;
      if (jobRecord.state !== 'open') this.close(known, jobRecord.state);
      return;
    }
    if (jobRecord.state !== 'open') return;
    const tasks = new Uint8Array(jobRecord.spec.tasks);
    let done = 0;
    for (const [from, to] of decodeRanges(jobRecord.done)) {
      tasks.fill(TaskState.Durable, from, to + 1);
      done += to + 1 - from;
    }
    const job: Job = {
      ref,
      spec: jobRecord.spec,
      record,
      version,
      acceptedAt: new Date(record.accepted).getTime(),
      rank: jobRecord.spec.rank,
      dues: duesOf(jobRecord.spec, this.options.objectives),
      state: 'open',
      tasks,
      waiting: tasks.length - done,
      done,
      out: new Map(),
      suspect: version <= this.version,
      notBefore: new Map(),
      errors: new Map(),
      failedOn: new Set(),
      changed: done === tasks.length,
      readySince: now,
      lastWrite: Number.NEGATIVE_INFINITY,
      writing: false,
    };
    if (job.suspect && done < tasks.length) this.recover(job);
    this.jobs.set(ref, job);
    this.lastArrival = now;
    this.orderStale = true;
  }

  /** After a take-over each open job counts as interrupted; a plain submission can always be run again. */
  private recover(job: Job): void {
    const nodes = [
      { state: 'interrupted' as const, reExecutable: true, inputsRecorded: true, alternates: [] },
    ];
    const decision = walk(nodes, [], [0]);
    if (!decision.rerun.includes(0)) job.state = 'failed';
  }

  private close(job: Job, state: JobState): void {
    job.state = state;
    this.jobs.delete(job.ref);
    this.orderStale = true;
    for (const [index, machine] of job.out) {
      const task = machine.tasks.get(taskKey(job.ref, index));
      if (!task) continue;
      if (task.phase === 'planned') {
        machine.tasks.delete(taskKey(job.ref, index));
        this.release(job.spec, 1);
      } else {
        // It stays presumed, and counted against the quota, until the machine no longer has it.
        task.stop = { graceS: 0 };
      }
    }
  }

  private specOf(ref: string): JobSpec | undefined {
    return this.jobs.get(ref)?.spec ?? this.settled(ref);
  }

  /** Job records to write: finished ones, and progress not written for `progressMs`. */
  writes(now: number, progressMs: number): JobWrite[] {
    const out: JobWrite[] = [];
    for (const job of this.jobs.values()) {
      if (!job.changed || job.writing) continue;
      const final = job.done === job.tasks.length;
      if (!final && now - job.lastWrite < progressMs) continue;
      out.push(this.recordOf(job, final, now));
    }
    return out;
  }

  private recordOf(job: Job, final: boolean, now: number): JobWrite {
    job.changed = false;
    job.writing = true;
    job.lastWrite = now;
    const included: number[] = [];
    job.tasks.forEach((state, index) => {
      if (state === TaskState.Done) included.push(index);
    });
    const spare = this.options.valueBytes - JSON.stringify(job.spec).length - 300;
    const text = final ? '' : encodeRanges(job.tasks, (s) => s >= TaskState.Done, Math.max(0, spare));
    const record: PipelineRecord = {
      accepted: job.record.accepted,
      jobs: [
        {
          spec: job.spec,
          state: final ? 'done' : 'open',
          done: text,
          doneCount: job.done,
          running: final ? 0 : [...job.out.keys()].length,
        },
      ],
    };
    return { ref: job.ref, version: job.version, record, final, included };
  }

  /** A write was applied as `version`. */
  written(write: JobWrite, version: number): void {
    const job = this.jobs.get(write.ref);
    if (!job) return;
    job.writing = false;
    job.version = Math.max(job.version, version);
    for (const index of write.included) job.tasks[index] = TaskState.Durable;
    if (write.final) this.close(job, 'done');
  }

  /** A write was not applied, or nobody knows. */
  unwritten(write: JobWrite): void {
    const job = this.jobs.get(write.ref);
    if (!job) return;
    job.writing = false;
    job.changed = true;
    if (!write.final) job.lastWrite = Number.NEGATIVE_INFINITY;
  }

  // Reports.

  /** Takes a worker's report and answers with our token and commands; null: not a machine of this part. */
  report(report: Report, now: number): { token: number; commands: Command[] } | null {
    const machine = this.machines.get(report.machine);
    if (!machine) return null;
    const token = this.tokenOf(machine);
    if (!machine.isNews(report)) return { token, commands: [] };
    const outcome = machine.take(report, token, now);
    for (const task of outcome.lost) {
      this.counters.lost++;
      this.giveBack(task);
    }
    for (const exit of outcome.exits) this.exited(machine, exit, now);
    for (const stranger of outcome.strangers) this.adopt(machine, stranger, now);
    if (machine.noticeUntil !== null) this.drain(machine, now);
    if (machine.tasks.size > 0) machine.idleSince = now;
    this.plan(now);
    const commands = machine.answer((exit) => this.forgettable(exit), !this.unfit(machine, now), now);
    for (const c of commands) if (c.op === 'start') this.counters.started++;
    return { token, commands };
  }

  private forgettable(exit: Exit): boolean {
    const job = this.jobs.get(exit.ref);
    // A job that is not open is settled in the store; failures leave nothing worth keeping.
    return !job || exit.reason !== 'done' || job.tasks[exit.index] === TaskState.Durable;
  }

  private exited(machine: MachineState, exit: Exit, now: number): void {
    if (exit.presumed) this.giveBack(exit.presumed);
    const job = this.jobs.get(exit.ref);
    const since = exit.presumed?.runningSince;
    if (job && exit.reason === 'done' && typeof since === 'number' && job.spec.checkpointS === 0) {
      this.estimates.learn(job.spec.workload, job.spec.expectedS, (now - since) / 1000);
    }
    if (!job || exit.index >= job.tasks.length) return;
    if (exit.reason === 'done') {
      machine.failures = 0;
      if ((job.tasks[exit.index] as number) >= TaskState.Done) return;
      // Done is done, whichever attempt it was. If another attempt is out, it is stopped.
      if (job.tasks[exit.index] === TaskState.Waiting) job.waiting--;
      else this.stopElsewhere(job, exit.index);
      job.tasks[exit.index] = TaskState.Done;
      job.done++;
      job.changed = true;
      this.counters.done++;
      return;
    }
    if (!exit.presumed) return;
    if (exit.reason === 'error' || exit.reason === 'unknown') {
      this.counters.failed++;
      job.failedOn.add(machine.id);
      const jobAtFault = job.done === 0 && job.failedOn.size >= JOB_AT_FAULT;
      if (exit.reason === 'error' && !jobAtFault) machine.failures++;
      const errors = (job.errors.get(exit.index) ?? 0) + 1;
      job.errors.set(exit.index, errors);
      // Tried again elsewhere, with growing pauses: the job is not over until its user says so.
      job.notBefore.set(
        exit.index,
        now + Math.min(30_000, jobAtFault ? 1000 * 2 ** errors : 250 * 2 ** errors),
      );
    } else if (exit.reason === 'no_room') {
      job.notBefore.set(exit.index, now + this.options.reportMs);
    }
  }

  private stopElsewhere(job: Job, index: number): void {
    const other = job.out.get(index);
    const task = other?.tasks.get(taskKey(job.ref, index));
    if (!other || !task) return;
    if (task.phase === 'planned') {
      other.tasks.delete(taskKey(job.ref, index));
      this.release(job.spec, 1);
      job.out.delete(index);
    } else {
      task.stop = { graceS: 0 };
    }
  }

  private adopt(
    machine: MachineState,
    task: { ref: string; index: number; attempt: number; running: boolean },
    now: number,
  ): void {
    const { ref, index } = task;
    const job = this.jobs.get(ref);
    const presumed = machine.adopt(ref, index, task.attempt, task.running, now);
    if (job && index < job.tasks.length) {
      const elsewhere = job.out.get(index);
      if (job.tasks[index] === TaskState.Waiting) {
        job.tasks[index] = TaskState.Out;
        job.waiting--;
        job.out.set(index, machine);
        machine.images.add(job.spec.image);
        this.reserve(job.spec);
        return;
      }
      if (elsewhere && this.takeBackPlanned(job, index, elsewhere)) {
        job.out.set(index, machine);
        this.reserve(job.spec);
        return;
      }
    }
    presumed.stop = { graceS: 0 };
    const spec = this.specOf(ref);
    if (spec) this.reserve(spec);
  }

  private takeBackPlanned(job: Job, index: number, machine: MachineState): boolean {
    const key = taskKey(job.ref, index);
    if (machine.tasks.get(key)?.phase !== 'planned') return false;
    machine.tasks.delete(key);
    this.release(job.spec, 1);
    return true;
  }

  /** A presumed task is surely not on its machine any more. */
  private giveBack(task: Presumed): void {
    const job = this.jobs.get(task.ref);
    const spec = this.specOf(task.ref);
    if (spec) this.release(spec, 1);
    if (!job) return;
    const machine = job.out.get(task.index);
    // The same task may be presumed on another machine too, being stopped there.
    if (machine && machine.tasks.get(taskKey(task.ref, task.index))) return;
    job.out.delete(task.index);
    if (job.tasks[task.index] === TaskState.Out) {
      job.tasks[task.index] = TaskState.Waiting;
      job.waiting++;
    }
  }

  private reserve(spec: JobSpec): void {
    this.release(spec, -1);
  }

  private release(spec: JobSpec, n: number): void {
    const used = this.used.get(spec.team);
    if (!used) return;
    used.cpus -= n * spec.cpus;
    used.accelerators -= n * spec.accelerators;
  }

  /** The cloud takes the machine away: tasks that can save do so in time. */
  private drain(machine: MachineState, now: number): void {
    const left = ((machine.noticeUntil ?? now) - now) / 1000;
    for (const task of machine.tasks.values()) {
      const spec = this.jobs.get(task.ref)?.spec;
      if (!spec || spec.checkpointS <= 0 || task.stop || task.phase === 'planned') continue;
      // A notice may be half as long as it says; two reports may pass until the next command arrives.
      if (left * 0.5 <= spec.saveS + (2 * this.options.reportMs) / 1000 + 1)
        task.stop = { graceS: spec.saveS + 1 };
    }
  }

  // Time.

  tick(now: number, today: number): void {
    this.today = today;
    if (now - this.orderedAt > REORDER_MS) {
      this.orderedAt = now;
      this.orderStale = true;
    }
    for (const machine of this.machines.values()) {
      const lost = machine.expire(now, this.options.leaseMs);
      for (const task of lost ?? []) {
        this.counters.lost++;
        this.giveBack(task);
      }
      if (this.unfit(machine, now)) for (const task of machine.unplan()) this.giveBack(task);
    }
    this.plan(now);
  }

  get unresolved(): number {
    let n = 0;
    for (const machine of this.machines.values()) if (!machine.resolved) n++;
    return n;
  }

  // Placement.

  private unfit(machine: MachineState, now: number): boolean {
    return (
      machine.locked ||
      machine.leavingTo !== null ||
      machine.noticeUntil !== null ||
      machine.failures >= FAULTY_AFTER ||
      machine.lastReport === null ||
      now - machine.lastReport > this.options.reportMs * 1.5 + 1000
    );
  }

  private free(machine: MachineState): { cpus: number; accelerators: number; memoryGb: number } | null {
    const type = this.types().get(machine.record.type);
    if (!type) return null;
    const free = { cpus: type.cpus, accelerators: type.accelerators, memoryGb: type.memoryGb };
    for (const task of machine.tasks.values()) {
      const spec = this.specOf(task.ref);
      if (!spec) return null;
      free.cpus -= spec.cpus;
      free.accelerators -= spec.accelerators;
      free.memoryGb -= spec.memoryGb;
    }
    return free;
  }

  /** What a team may still use, counting all that may be on machines that have not spoken yet. */
  private room(team: string): Quantity {
    const limit = this.limits.get(team)?.limit ?? { cpus: 0, accelerators: 0 };
    const used = this.used.get(team) ?? { cpus: 0, accelerators: 0 };
    const room = { cpus: limit.cpus - used.cpus, accelerators: limit.accelerators - used.accelerators };
    for (const machine of this.machines.values()) {
      if (machine.resolved) continue;
      const free = this.free(machine);
      room.cpus -= Math.max(0, free?.cpus ?? Number.POSITIVE_INFINITY);
      room.accelerators -= Math.max(0, free?.accelerators ?? Number.POSITIVE_INFINITY);
    }
    return room;
  }

  /** The open jobs in their turn. */
  private sorted(): Job[] {
    if (!this.orderStale) return this.order;
    this.orderStale = false;
    let cpus = 1;
    for (const m of this.machines.values()) cpus += this.types().get(m.record.type)?.cpus ?? 0;
    const turns = new Map<Job, { late: number; turn: number }>();
    for (const job of this.jobs.values()) {
      const ageS = (this.today - job.acceptedAt) / 1000;
      const expectedS = this.estimates.expect(job.spec);
      job.rank = effectiveRank(job.spec, job.dues, ageS, expectedS * SURELY_NEEDED);
      const late = missed(job.dues, ageS, expectedS * SURELY_NEEDED);
      // Arrival order, but a job steps back by a few times what it would take all our machines: one large job
      // ahead of twenty small ones makes twenty users wait for one. The step is bounded, so none starves.
      const turn = job.acceptedAt + (STEP_BACK * 1000 * job.spec.tasks * job.spec.cpus * expectedS) / cpus;
      turns.set(job, { late, turn });
    }
    const of = (job: Job): { late: number; turn: number } => turns.get(job) ?? { late: 0, turn: 0 };
    this.order = [...this.jobs.values()].sort(
      (a, b) =>
        a.rank - b.rank || of(a).late - of(b).late || of(a).turn - of(b).turn || (a.ref < b.ref ? -1 : 1),
    );
    return this.order;
  }

  /** Jobs whose waiting tasks are surely nowhere, in arrival order within their urgency. */
  private ready(): Job[] {
    const blocked = this.unresolved > 0;
    return this.sorted().filter((j) => j.state === 'open' && j.waiting > 0 && !(blocked && j.suspect));
  }

  /** Puts waiting tasks on the first machines that fit. The starts go out with the next answers. */
  plan(now: number): void {
    const ready = this.ready();
    if (ready.length === 0) return;
    const usable: Usable[] = [];
    for (const machine of this.machines.values()) {
      if (!machine.resolved || this.unfit(machine, now)) continue;
      const free = this.free(machine);
      if (free && free.cpus > 0) usable.push({ machine, free });
    }
    if (usable.length === 0) return;
    // Cheap machines first, then the fullest: what is dear or nearly empty comes free to be given back.
    usable.sort(
      (a, b) => Number(b.machine.record.spot) - Number(a.machine.record.spot) || a.free.cpus - b.free.cpus,
    );
    const rooms = new Map<string, Quantity>();
    for (let from = 0; from < ready.length;) {
      let to = from;
      while (to < ready.length && ready[to]?.rank === ready[from]?.rank) to++;
      const peers = ready.slice(from, to);
      // First fit in arrival order, in two goes: within an urgency, room on a machine first goes to the jobs
      // whose image it holds, for a fetch costs as much as many a task. Who has waited long is not passed over.
      for (const job of peers) this.fit(job, usable, rooms, now - job.readySince < IMAGE_PATIENCE_MS, now);
      for (const job of peers) this.fit(job, usable, rooms, false, now);
      from = to;
    }
  }

  private fit(
    job: Job,
    usable: readonly Usable[],
    rooms: Map<string, Quantity>,
    held: boolean,
    now: number,
  ): void {
    const { spec } = job;
    if (job.waiting === 0) return;
    let room = rooms.get(spec.team);
    if (!room) rooms.set(spec.team, (room = this.room(spec.team)));
    let quota = fits({ ...room, memoryGb: Number.POSITIVE_INFINITY }, { ...spec, memoryGb: 0 });
    if (quota === 0) return;
    const candidates = usable.filter(
      (u) =>
        allows(spec, u.machine.record) &&
        fits(u.free, spec) > 0 &&
        (!held || u.machine.images.has(spec.image)),
    );
    if (candidates.length === 0) return;
    const placed = this.zonesOf(job);
    let cursor = 0;
    for (const { machine, free } of candidates) {
      if (quota === 0 || job.waiting === 0) break;
      const zone = machine.record.zone;
      let n = Math.min(quota, fits(free, spec), zoneRoom(spec, zone, placed));
      for (; n > 0 && cursor < job.tasks.length; cursor++) {
        if (job.tasks[cursor] !== TaskState.Waiting || (job.notBefore.get(cursor) ?? 0) > now) continue;
        this.place(job, cursor, machine, now);
        n--;
        quota--;
        free.cpus -= spec.cpus;
        free.accelerators -= spec.accelerators;
        free.memoryGb -= spec.memoryGb;
        room.cpus -= spec.cpus;
        room.accelerators -= spec.accelerators;
        placed.set(zone, (placed.get(zone) ?? 0) + 1);
      }
    }
  }

  private zonesOf(job: Job): Map<string, number> {
    const zones = new Map<string, number>();
    if (!job.spec.together && !job.spec.apart) return zones;
    // Not only `out`: a task may also be presumed on a machine where it is being stopped.
    for (const machine of this.machines.values()) {
      for (const task of machine.tasks.values()) {
        if (task.ref !== job.ref) continue;
        zones.set(machine.record.zone, (zones.get(machine.record.zone) ?? 0) + 1);
      }
    }
    return zones;
  }

  private place(job: Job, index: number, machine: MachineState, now: number): void {
    machine.tasks.set(taskKey(job.ref, index), {
      ref: job.ref,
      index,
      attempt: this.version * ATTEMPTS_PER_INCARNATION + ++this.attempts,
      phase: 'planned',
      sentIn: { session: 0, seq: 0 },
      stop: null,
      saving: false,
      runningSince: null,
    });
    machine.images.add(job.spec.image);
    machine.idleSince = now;
    job.tasks[index] = TaskState.Out;
    job.waiting--;
    job.out.set(index, machine);
    this.reserve(job.spec);
  }

  // What the leader and the operators are told.

  load(now: number): PartLoad {
    const demands = new Map<string, Demand>();
    const rooms = new Map<string, Quantity>();
    for (const job of this.ready()) {
      const { spec } = job;
      let room = rooms.get(spec.team);
      if (!room) rooms.set(spec.team, (room = this.room(spec.team)));
      const quota = fits({ ...room, memoryGb: Number.POSITIVE_INFINITY }, { ...spec, memoryGb: 0 });
      const tasks = Math.min(job.waiting, quota);
      if (tasks === 0) continue;
      room.cpus -= tasks * spec.cpus;
      room.accelerators -= tasks * spec.accelerators;
      const expectedS = this.estimates.expect(spec);
      const key = JSON.stringify([spec.workload, spec.cpus, spec.memoryGb, spec.types, spec.zone, spec.spot]);
      const known = demands.get(key);
      if (known) {
        known.seconds = (known.seconds * known.tasks + expectedS * tasks) / (known.tasks + tasks);
        known.tasks += tasks;
      } else {
        const { cpus, accelerators, memoryGb, types, zone, spot, rank } = spec;
        demands.set(key, {
          ...{ cpus, accelerators, memoryGb, types, zone, spot, rank },
          ...{ tasks, seconds: expectedS },
        });
      }
    }
    let workLeft = 0;
    const emptyIn = new Map<string, number>();
    for (const machine of this.machines.values()) {
      for (const task of machine.tasks.values()) {
        const spec = this.jobs.get(task.ref)?.spec;
        if (!spec) continue;
        const ran = task.runningSince === null ? 0 : (now - task.runningSince) / 1000;
        const expectedS = this.estimates.expect(spec);
        const left = Math.max(expectedS - ran, expectedS * 0.2);
        workLeft += spec.cpus * left;
        emptyIn.set(machine.id, Math.max(emptyIn.get(machine.id) ?? 0, left));
      }
    }
    return {
      part: this.id,
      version: this.version,
      workLeft,
      quietS: (now - this.lastArrival) / 1000,
      backlog: this.sorted().reduce(
        (sum, j) => sum + j.waiting * j.spec.cpus * this.estimates.expect(j.spec),
        0,
      ),
      demands: [...demands.values()],
      machines: [...this.machines.values()].map((m) => {
        const free = this.free(m) ?? { cpus: 0, accelerators: 0, memoryGb: 0 };
        return {
          machine: m.id,
          tasks: m.tasks.size,
          freeCpus: free.cpus,
          freeMemoryGb: free.memoryGb,
          freeAccelerators: free.accelerators,
          idleMs: m.tasks.size > 0 ? 0 : now - m.idleSince,
          silentMs: m.silentMs(now),
          faulty: m.failures >= FAULTY_AFTER,
          noticed: m.noticeUntil !== null,
          leavingTo: m.leavingTo,
          emptyInS: emptyIn.get(m.id) ?? 0,
        };
      }),
    };
  }

  /** Numbers for the operators' status. */
  summary(): object {
    const byRank = URGENCIES.map((name, rank) => {
      const jobs = [...this.jobs.values()].filter((j) => j.spec.rank === rank);
      return { urgency: name, jobs: jobs.length, waiting: jobs.reduce((n, j) => n + j.waiting, 0) };
    });
    return {
      part: this.id,
      machines: this.machines.size,
      unresolved: this.unresolved,
      byRank,
      ...this.counters,
    };
  }
}
