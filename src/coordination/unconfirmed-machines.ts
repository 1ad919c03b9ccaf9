import { type Quantity } from '../protocol/settings';
import { type Free } from './placement';

/**
 * What may be on the machines that have not spoken since a partition was taken over. Kept up to date by differences: a
 * take-over hears hundreds of first reports, and to look through all machines at each costs the square of the fleet,
 * at the very time when the leases of those not answered yet run out.
 */
export class UnconfirmedMachines {
  /** What each of them has free for tasks that nobody has told of; null: unknown. */
  private readonly shares = new Map<string, Quantity | null>();
  private unknown = 0;
  private readonly sum: Quantity = { cpus: 0, accelerators: 0 };

  get count(): number {
    return this.shares.size;
  }

  first(count: number): string[] {
    return [...this.shares.keys()].slice(0, count);
  }

  /** Notes how a machine that has not spoken stands; `has` is null while its type or its tasks are not known. */
  put(id: string, has: Free | null): void {
    this.remove(id);
    const share = has && { cpus: Math.max(0, has.cpus), accelerators: Math.max(0, has.accelerators) };
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
  get most(): Quantity {
    if (this.shares.size === 0) return { cpus: 0, accelerators: 0 };
    return this.unknown > 0 ? { cpus: Infinity, accelerators: Infinity } : this.sum;
  }

  private add(share: Quantity | null, sign: number): void {
    if (!share) this.unknown += sign;
    this.sum.cpus += sign * (share?.cpus ?? 0);
    this.sum.accelerators += sign * (share?.accelerators ?? 0);
  }
}
