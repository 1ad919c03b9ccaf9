import { type JobSpec } from '../../protocol/jobs';
import { type Resources } from './resources';

/** What the tasks on a machine, and reservations for tasks that are to be moved there, take of it. */
export class MachineUsage {
  private readonly used: Resources = { cpus: 0, accelerators: 0, memoryGb: 0 };
  /** Tasks of unknown jobs: what they take is unknown too. */
  private unknownTaskCount = 0;
  private readonly reservations = new Map<string, JobSpec>();

  addTask(spec: JobSpec | null): void {
    this.countTask(spec, 1);
  }

  removeTask(spec: JobSpec | null): void {
    this.countTask(spec, -1);
  }

  private countTask(spec: JobSpec | null, sign: 1 | -1): void {
    if (spec) this.count(spec, sign);
    else this.unknownTaskCount += sign;
  }

  private count(spec: JobSpec, sign: 1 | -1): void {
    this.used.cpus += sign * spec.cpus;
    this.used.accelerators += sign * spec.accelerators;
    this.used.memoryGb += sign * spec.memoryGb;
  }

  get hasReservations(): boolean {
    return this.reservations.size > 0;
  }

  /** Reserves what a task takes; ignored if the key has a reservation. */
  reserve(key: string, spec: JobSpec): void {
    if (this.reservations.has(key)) return;
    this.reservations.set(key, spec);
    this.count(spec, 1);
  }

  releaseReservation(key: string): void {
    const spec = this.reservations.get(key);
    if (spec && this.reservations.delete(key)) this.count(spec, -1);
  }

  /** What is free of a machine's capacity, below zero if more is reserved than there is; null while a task is unknown. */
  freeOf(capacity: Resources): Resources | null {
    if (this.unknownTaskCount > 0) return null;
    const { cpus, accelerators, memoryGb } = this.used;
    return {
      cpus: capacity.cpus - cpus,
      accelerators: capacity.accelerators - accelerators,
      memoryGb: capacity.memoryGb - memoryGb,
    };
  }
}
