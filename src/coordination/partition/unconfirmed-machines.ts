import { type ResourceQuota } from '../../protocol/settings';
import { type Resources } from './resources';

/**
 * The machines that are not confirmed after a failover, and an upper bound of what unreported tasks may use on them. The sum is kept
 * up to date by differences: computed anew at each first heartbeat, a failover would cost the square of the fleet's size while the
 * leases of the workers not answered yet run out.
 */
export class UnconfirmedMachines {
  /** What unreported tasks may use on each machine; null: unknown. */
  private readonly usageBounds = new Map<string, ResourceQuota | null>();
  private unknownCount = 0;
  private readonly sum: ResourceQuota = { cpus: 0, accelerators: 0 };

  get count(): number {
    return this.usageBounds.size;
  }

  firstIds(count: number): string[] {
    return [...this.usageBounds.keys()].slice(0, count);
  }

  /** Adds or updates an unconfirmed machine; `free` is null while its type, or a task on it, is unknown. */
  set(id: string, free: Resources | null): void {
    this.remove(id);
    const bound = free && { cpus: Math.max(0, free.cpus), accelerators: Math.max(0, free.accelerators) };
    this.usageBounds.set(id, bound);
    this.addBound(bound, 1);
  }

  /** Removes a machine that is confirmed or gone. True if it was the last one. */
  remove(id: string): boolean {
    const bound = this.usageBounds.get(id);
    if (bound === undefined) return false;
    this.usageBounds.delete(id);
    this.addBound(bound, -1);
    return this.usageBounds.size === 0;
  }

  /** The most that unreported tasks may use on all of them. */
  get upperBound(): ResourceQuota {
    if (this.usageBounds.size === 0) return { cpus: 0, accelerators: 0 };
    return this.unknownCount > 0 ? { cpus: Infinity, accelerators: Infinity } : this.sum;
  }

  private addBound(bound: ResourceQuota | null, sign: number): void {
    if (!bound) this.unknownCount += sign;
    this.sum.cpus += sign * (bound?.cpus ?? 0);
    this.sum.accelerators += sign * (bound?.accelerators ?? 0);
  }
}
