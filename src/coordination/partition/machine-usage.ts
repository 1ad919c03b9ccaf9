import { type JobSpec } from '../../protocol/jobs';
import { type Resources } from './resources';

/** Resources of a machine that are used by its tasks, or reserved for tasks that are to be moved to it. */
export class MachineUsage {
  private readonly used: Resources = { cpus: 0, accelerators: 0, memoryGb: 0 };
  /** Number of tasks whose job is unknown, and hence also the resources that they use. */
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

  /** Reserves the resources of a task. Ignored if the key has a reservation already. */
  reserve(key: string, spec: JobSpec): void {
    if (this.reservations.has(key)) return;
    this.reservations.set(key, spec);
    this.count(spec, 1);
  }

  releaseReservation(key: string): void {
    const spec = this.reservations.get(key);
    if (spec && this.reservations.delete(key)) this.count(spec, -1);
  }

  /**
   * Free resources of a machine with this capacity; null while a task on it is of an unknown job. Values are negative if more is
   * used and reserved than the machine has.
   */
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
