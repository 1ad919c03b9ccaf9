import { type JobSpec } from '../protocol/jobs';
import { type Command } from '../protocol/workers';
import { type PartitionJob } from './job';
import { taskKey, type InFlightTask, type MachineState } from './machine';
import { allows, fits, zoneRoom, type Free } from './placement';
import { type TeamQuota } from './team-quota';

/** Failures without a success between them after which a machine is taken to be the one at fault. */
const FAULTY_AFTER = 3;
/** Who has waited this long is not passed over for jobs whose image a machine holds. */
const IMAGE_PATIENCE_MS = 30_000;
const ATTEMPTS_PER_INCARNATION = 1_000_000;
/** A machine that has missed this many reports, and a moment, gets nothing new. */
const MISSED_REPORTS = 1.5;
const MISSED_REPORT_MARGIN_MS = 1000;
/** A task counts for at least so many CPUs. */
const LEAST_CPUS = 0.01;

/** What placement needs to know of a partition. */
export interface PlacementHost {
  readonly version: number;
  readonly machines: ReadonlyMap<string, MachineState>;
  readonly jobs: ReadonlyMap<string, PartitionJob>;
  readonly quota: TeamQuota;
  readonly reportMs: number;
  /** Machines that have not spoken since the partition was taken over. */
  readonly unconfirmed: number;
  readonly counters: { started: number; placementPasses: number };
  /** Whether the store knows that tasks may be on this machine. */
  isAssigned(machine: string): boolean;
  free(machine: MachineState): Free | null;
  /** The open jobs in the order in which they get room. */
  sorted(): readonly PartitionJob[];
  /** Spreads new tasks over the machines; null: they go to the cheap and full ones first. */
  readonly spreader: PlacementSpreader | null;
}

/** Bounds what new tasks may take on each machine, so that all are filled alike. */
export interface PlacementSpreader {
  /** Looks at the machines that take work, and at how many CPUs wait. */
  look(machines: Iterable<MachineState>, waitingCpus: number): void;
  /** CPUs that new tasks of a job may take on a machine now. */
  allowance(machine: MachineState, free: Free, spec: JobSpec): number;
}

/** Chooses machines for waiting tasks, and starts the tasks there. */
export class TaskPlacement {
  private attempts = 0;
  /** Free CPUs beyond what waits, less what stopped tasks will take; null: to be counted anew. */
  private slackCpus: number | null = null;

  constructor(private readonly host: PlacementHost) {}

  /** Whether nothing new is to be put on a machine just now. */
  unfit(machine: MachineState, now: number): boolean {
    const late = this.host.reportMs * MISSED_REPORTS + MISSED_REPORT_MARGIN_MS;
    return (
      machine.locked ||
      machine.leavingTo !== null ||
      machine.noticeUntil !== null ||
      this.isFaulty(machine) ||
      machine.lastReport === null ||
      now - machine.lastReport > late
    );
  }

  /**
   * Whether it is the machine that is at fault when tasks fail on it. A job that succeeds elsewhere and fails here says so,
   * and so do several jobs that fail here. One that has succeeded nowhere yet says it only of a machine where nothing was
   * ever done: jobs with a mistake fail everywhere, and once had good machines sent back by the dozen.
   */
  isFaulty(machine: MachineState): boolean {
    let failures = 0;
    let doubtful = 0;
    for (const [ref, n] of machine.failing) {
      const job = this.host.jobs.get(ref);
      if (!job || job.faulty) continue;
      if (job.done > 0 || !machine.proven) failures += n;
      else doubtful++;
    }
    return failures >= FAULTY_AFTER || doubtful >= FAULTY_AFTER;
  }

  /** Whether tasks may be started on it at all: nothing unseen is there, it hears us, and the store knows. */
  private takesWork(machine: MachineState, now: number): boolean {
    const { id, confirmed, hears } = machine;
    return confirmed && hears && this.host.isAssigned(id) && !this.unfit(machine, now);
  }

  /** Reserves room for a task that is to go on elsewhere in this partition; false: there is none beyond what waits. */
  takeSlack({ spec }: InFlightTask, now: number): boolean {
    if (!spec || spec.checkpointS <= 0) return false;
    this.slackCpus ??= this.freeCpus(now) - this.waitingCpus();
    if (this.slackCpus < spec.cpus) return false;
    this.slackCpus -= spec.cpus;
    return true;
  }

  private freeCpus(now: number): number {
    let free = 0;
    for (const machine of this.host.machines.values())
      if (this.takesWork(machine, now)) free += this.host.free(machine)?.cpus ?? 0;
    return free;
  }

  private waitingCpus(): number {
    let needed = 0;
    for (const job of this.host.sorted()) needed += job.waiting * job.spec.cpus;
    return needed;
  }

  /**
   * Cheap machines first, then the fullest, as far as what waits needs them: what is dear or nearly empty comes free
   * to be given back. The others are passed over until more waits.
   */
  chooseMachines(now: number): void {
    this.slackCpus = null;
    let needed = this.waitingCpus();
    if (this.host.spreader) return this.spread(this.host.spreader, needed, now);
    const usable: { machine: MachineState; free: number }[] = [];
    for (const machine of this.host.machines.values()) {
      machine.passedOver = false;
      if (needed === 0 || !this.takesWork(machine, now)) continue;
      const free = this.host.free(machine)?.cpus ?? 0;
      if (free > 0) usable.push({ machine, free });
    }
    usable.sort((a, b) => Number(b.machine.record.spot) - Number(a.machine.record.spot) || a.free - b.free);
    for (const { machine, free } of usable) {
      machine.passedOver = needed <= 0;
      needed -= free;
    }
  }

  /** All machines are used, each up to what it is allowed when it is filled. */
  private spread(spreader: PlacementSpreader, waitingCpus: number, now: number): void {
    const usable: MachineState[] = [];
    for (const machine of this.host.machines.values()) {
      machine.passedOver = false;
      if (waitingCpus > 0 && this.takesWork(machine, now)) usable.push(machine);
    }
    spreader.look(usable, waitingCpus);
  }

  /**
   * Starts a task for which room was held on this machine; false: it cannot be started here now. The same conditions hold as
   * for any other start.
   */
  startHeld(
    job: PartitionJob,
    index: number,
    machine: MachineState,
    commands: Command[],
    now: number,
  ): boolean {
    const free = this.host.free(machine);
    if (!free || this.host.unconfirmed > 0 || !this.takesWork(machine, now)) return false;
    if (job.held || !job.isWaiting(index) || index >= job.startWatermark) return false;
    if (machine.tasks.has(taskKey(job.ref, index)) || this.mostStarts(job, machine, free, now) === 0)
      return false;
    commands.push(this.start(job, index, machine, now));
    return true;
  }

  /** Starts the next task of a job on a machine; false: none can be started there now. */
  startNext(job: PartitionJob, machine: MachineState, commands: Command[], now: number): boolean {
    const free = this.host.free(machine);
    const settled = this.host.unconfirmed === 0;
    if (!free || !this.takesWork(machine, now) || this.mostStarts(job, machine, free, now) === 0)
      return false;
    const index = job
      .startable(machine.tasks.size + 1, settled, now)
      .find((i) => !machine.tasks.has(taskKey(job.ref, i)));
    if (index === undefined) return false;
    commands.push(this.start(job, index, machine, now));
    return true;
  }

  /**
   * Starts waiting tasks on a machine that has just reported: first fit in arrival order within an urgency, in two
   * passes. Room first goes to jobs whose image the machine holds, for a fetch costs as much as many a task. Who has
   * waited long is not passed over.
   */
  fill(machine: MachineState, commands: Command[], now: number): void {
    if (machine.passedOver || !this.takesWork(machine, now)) return;
    const free = this.host.free(machine);
    if (!free || free.cpus <= 0) return;
    this.host.counters.placementPasses++;
    const queue = this.host.sorted();
    const settled = this.host.unconfirmed === 0;
    for (let from = 0; from < queue.length && free.cpus > 0;) {
      const rank = queue[from]?.rank;
      let to = from;
      for (; to < queue.length && queue[to]?.rank === rank; to++) {
        const job = queue[to] as PartitionJob;
        if (job.waitingNow(settled) === 0 || !machine.images.has(job.spec.image)) continue;
        if (now - job.readySince < IMAGE_PATIENCE_MS) this.fit(job, machine, free, commands, now);
      }
      for (let i = from; i < to; i++) {
        const job = queue[i] as PartitionJob;
        if (job.waitingNow(settled) > 0) this.fit(job, machine, free, commands, now);
      }
      from = to;
    }
  }

  private fit(job: PartitionJob, machine: MachineState, free: Free, commands: Command[], now: number): void {
    const n = Math.min(this.mostStarts(job, machine, free, now), this.spreadStarts(job, machine, free));
    if (n <= 0) return;
    for (const index of job.startable(n, this.host.unconfirmed === 0, now)) {
      if (machine.tasks.has(taskKey(job.ref, index))) continue;
      commands.push(this.start(job, index, machine, now));
      take(free, job.spec);
    }
  }

  /** How many of them keep the machine as full as the others; one at least while it is emptier than they are. */
  private spreadStarts({ spec }: PartitionJob, machine: MachineState, free: Free): number {
    const { spreader } = this.host;
    if (!spreader) return Number.POSITIVE_INFINITY;
    const cpus = spreader.allowance(machine, free, spec);
    return cpus <= 0 ? 0 : Math.max(1, Math.floor(cpus / Math.max(spec.cpus, LEAST_CPUS)));
  }

  /** How many tasks of a job may be started on a machine that has so much free. */
  private mostStarts(job: PartitionJob, machine: MachineState, free: Free, now: number): number {
    const { spec } = job;
    const places = fits(free, spec);
    if (places === 0 || job.state !== 'open' || !allows(spec, machine.record)) return 0;
    // It succeeded nowhere yet and fails here: another machine tells whose fault it is.
    if (job.done === 0 && (machine.failing.get(job.ref) ?? 0) >= FAULTY_AFTER) return 0;
    const room = this.host.quota.room(spec.team);
    const ofTeam = fits({ ...room, memoryGb: Infinity }, { ...spec, memoryGb: 0 });
    const n = Math.min(places, job.waitingNow(this.host.unconfirmed === 0), job.mostOut(now), ofTeam);
    if (n === 0 || !(spec.together || spec.apart)) return n;
    return Math.min(n, zoneRoom(spec, machine.record.zone, this.zonesOf(job)));
  }

  private start(job: PartitionJob, index: number, machine: MachineState, now: number): Command {
    const { spec } = job;
    const attempt = this.host.version * ATTEMPTS_PER_INCARNATION + ++this.attempts;
    const command = machine.start(spec, index, attempt, now);
    machine.images.add(spec.image);
    machine.idleSince = now;
    job.goesOut(index, machine);
    this.host.quota.use(spec, 1);
    this.host.counters.started++;
    return command;
  }

  /** How many tasks of a job are in each zone. */
  private zonesOf(job: PartitionJob): Map<string, number> {
    const zones = new Map<string, number>();
    // Not only `out`: a task may also be in flight on a machine where it is being stopped.
    for (const machine of this.host.machines.values()) {
      for (const task of machine.tasks.values()) {
        if (task.ref !== job.ref) continue;
        zones.set(machine.record.zone, (zones.get(machine.record.zone) ?? 0) + 1);
      }
    }
    return zones;
  }
}

function take(free: Free, { cpus, accelerators, memoryGb }: JobSpec): void {
  free.cpus -= cpus;
  free.accelerators -= accelerators;
  free.memoryGb -= memoryGb;
}
