import { type ResourceQuota } from '../../protocol/settings';
import { type Resources } from './resources';

/**
 * The machines that are not confirmed after a failover, and an upper bound of what unreported tasks may use on them. The sum is kept
 * up to date by differences: computed anew at each first heartbeat, a failover would cost the square of the fleet's size while the
 * leases of the workers not answered yet run out.
 */
export class UnconfirmedMachines {
  /** What unreported tasks may use on each machine; null: unknown. */
  private readonly shares = new Map<string, ResourceQuota | null>();
  private unknownCount = 0;
  private readonly sum: ResourceQuota = { cpus: 0, accelerators: 0 };

  get count(): number {
    return this.shares.size;
  }

  firstIds(count: number): string[] {
    return [...this.shares.keys()].slice(0, count);
  }

  /** Adds or updates an unconfirmed machine; `free` is null while its type, or a task on it, is unknown. */
  set(id: string, free: Resources | null): void {
    this.remove(id);
    const share = free && { cpus: Math.max(0, free.cpus), accelerators: Math.max(0, free.accelerators) };
    this.shares.set(id, share);
    this.add(share, 1);
  }

  /** Removes a machine that is confirmed or gone. True if it was the last one. */
  remove(id: string): boolean {
    const share = this.shares.get(id);
    if (share === undefined) return false;
    this.shares.delete(id);
    this.add(share, -1);
    return this.shares.size === 0;
  }

  /** The most that unreported tasks may use on all of them. */
  get upperBound(): ResourceQuota {
    if (this.shares.size === 0) return { cpus: 0, accelerators: 0 };
    return this.unknownCount > 0 ? { cpus: Infinity, accelerators: Infinity } : this.sum;
  }

  private add(share: ResourceQuota | null, sign: number): void {
    if (!share) this.unknownCount += sign;
    this.sum.cpus += sign * (share?.cpus ?? 0);
    this.sum.accelerators += sign * (share?.accelerators ?? 0);
  }
}
