import { type ResourceQuota } from '../../protocol/settings';
import { type Resources } from './resources';

/**
 * The machines that are not confirmed after a failover, and an upper bound of the resources that unreported tasks may use on
 * them. The sum is updated incrementally. If it were recomputed at each first heartbeat, the cost of a failover would grow with
 * the square of the number of machines, while the leases of workers that have not been answered yet expire.
 */
export class UnconfirmedMachines {
  /** Upper bound of the resources that unreported tasks may use on each machine; null if it is unknown. */
  private readonly usageBounds = new Map<string, ResourceQuota | null>();
  /** Number of machines whose bound is unknown. */
  private unknownCount = 0;
  /** Sum of the known bounds. */
  private readonly sum: ResourceQuota = { cpus: 0, accelerators: 0 };

  get count(): number {
    return this.usageBounds.size;
  }

  firstIds(count: number): string[] {
    return [...this.usageBounds.keys()].slice(0, count);
  }

  /** Adds or updates an unconfirmed machine. `capacity` is null if its type is unknown. */
  set(id: string, capacity: Resources | null): void {
    this.remove(id);
    const bound = capacity && { cpus: capacity.cpus, accelerators: capacity.accelerators };
    this.usageBounds.set(id, bound);
    this.addBound(bound, 1);
  }

  /** Removes a machine that is confirmed or gone. Returns true if it was the last unconfirmed machine. */
  remove(id: string): boolean {
    const bound = this.usageBounds.get(id);
    if (bound === undefined) return false;
    this.usageBounds.delete(id);
    this.addBound(bound, -1);
    return this.usageBounds.size === 0;
  }

  /** Upper bound of the resources that unreported tasks may use on all these machines; infinity if that of a machine is unknown. */
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
