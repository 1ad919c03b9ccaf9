import { type ResourceQuota } from '../../protocol/settings';
import { type Resources } from './placement';

/**
 * What may be on the machines that have not spoken since a partition was taken over. Kept up to date by differences: a
 * take-over hears hundreds of first reports, and to look through all machines at each costs the square of the fleet,
 * at the very time when the leases of those not answered yet run out.
 */
export class UnconfirmedMachines {
  /** What each of them has free for tasks that nobody has told of; null: unknown. */
  private readonly shares = new Map<string, ResourceQuota | null>();
  private unknownCount = 0;
  private readonly sum: ResourceQuota = { cpus: 0, accelerators: 0 };

  get count(): number {
    return this.shares.size;
  }

  firstIds(count: number): string[] {
    return [...this.shares.keys()].slice(0, count);
  }

  /** Notes how a machine that has not spoken stands; `has` is null while its type or its tasks are not known. */
  set(id: string, free: Resources | null): void {
    this.remove(id);
    const share = free && { cpus: Math.max(0, free.cpus), accelerators: Math.max(0, free.accelerators) };
    this.shares.set(id, share);
    this.add(share, 1);
  }

  /** It has spoken, is gone, or nobody can have answered it for a lease. True if it was the last one. */
  remove(id: string): boolean {
    const share = this.shares.get(id);
    if (share === undefined) return false;
    this.shares.delete(id);
    this.add(share, -1);
    return this.shares.size === 0;
  }

  /** All that may be on them. */
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
