import { type PartitionLoad, type MisroutedCount } from '../protocol/peers';

/** For how long a machine that came to the wrong controller counts as misrouted: it tries the owner, waits 4 s, comes again. */
const MISROUTED_MS = 6000;
/** Of a partition's machines, the share that must have come here of late for their reports to be kept waiting. */
const MANY = 0.1;
const MANY_LATELY_MS = 2000;
const FEWEST = 2;
/** An owner is cut off if it has missed reports of this share of its machines while this share came to others. */
const UNHEARD = 0.8;
const MISROUTED_SHARE = 0.25;
/** For this long at least a controller that machines could not reach gets no partition. */
const SHUNNED_MS = 20_000;
/** After this long it gets another chance though it has heard nothing: perhaps nobody had a reason to come. */
const FORGIVEN_MS = 60_000;
const HEARD_LATELY_MS = 6000;

/** The machines that came to this controller though another owns their partition. */
export class MisroutedReports {
  private readonly came = new Map<string, Map<string, number>>();

  note(partition: string, machine: string, now: number): void {
    let here = this.came.get(partition);
    if (!here) this.came.set(partition, (here = new Map<string, number>()));
    // The order of the map is that in which they came.
    here.delete(machine);
    here.set(machine, now);
    for (const [id, at] of here) {
      if (now - at <= MISROUTED_MS) break;
      here.delete(id);
    }
  }

  /** Whether so many of a partition's machines come here that their owner may be about to change. */
  many(partition: string, machines: number, now: number): boolean {
    const lately = this.within(partition, MANY_LATELY_MS, now);
    return lately >= FEWEST && lately >= MANY * machines;
  }

  counts(now: number): MisroutedCount[] {
    return [...this.came.keys()].map((partition) => ({
      partition,
      machines: this.within(partition, MISROUTED_MS, now),
    }));
  }

  private within(partition: string, ms: number, now: number): number {
    let n = 0;
    for (const at of this.came.get(partition)?.values() ?? []) if (now - at <= ms) n++;
    return n;
  }
}

/** What a controller tells of the machines that come to it. */
export interface Heard {
  misrouted: readonly MisroutedCount[];
  /** Time since it last heard any machine, -1: never. */
  heardMs: number;
}

/**
 * How well machines reach the controllers, as the leader sees it. An owner that is cut from its machines alone keeps its
 * session lease and its partitions; the others would go on sending its machines back to it until all their leases have run out.
 */
export class Reachability {
  private readonly told = new Map<string, Heard & { at: number }>();
  private readonly shunned = new Map<string, number>();

  tell(member: string, heard: Heard, now: number): void {
    this.told.set(member, { ...heard, at: now });
    const since = this.shunned.get(member);
    if (since === undefined || now - since < SHUNNED_MS) return;
    const hears = heard.heardMs >= 0 && heard.heardMs < HEARD_LATELY_MS;
    if (hears || now - since > FORGIVEN_MS) this.shunned.delete(member);
  }

  /** Machines have lately failed to reach this controller. */
  avoided(member: string): boolean {
    return this.shunned.has(member);
  }

  /**
   * To whom a partition should go because its machines reach others and not its owner; null: it stays. Machines that are
   * gone come to nobody, so their silence moves nothing.
   */
  better(
    owner: string,
    load: PartitionLoad,
    reportMs: number,
    others: readonly string[],
    now: number,
  ): string | null {
    const tooLong = 1.25 * reportMs + 1000;
    const up = load.machines.filter((m) => m.silentMs >= 0);
    const unheard = up.filter((m) => m.silentMs > tooLong).length;
    if (up.length === 0 || unheard < UNHEARD * up.length) return null;
    // One that hears some machine, late as it may, is not cut off but has too much to do: a take-over makes it more.
    const heardMs = this.told.get(owner)?.heardMs ?? 0;
    if (heardMs < tooLong) return null;
    const misroutedAt = (member: string): number => {
      const told = this.told.get(member);
      if (!told || now - told.at > HEARD_LATELY_MS) return 0;
      return told.misrouted.find((s) => s.partition === load.partition)?.machines ?? 0;
    };
    const reached = others.filter((m) => m !== owner && !this.avoided(m) && misroutedAt(m) > 0);
    const sum = reached.reduce((n, m) => n + misroutedAt(m), 0);
    if (sum < Math.max(FEWEST, MISROUTED_SHARE * up.length)) return null;
    this.shunned.set(owner, now);
    return reached.sort((a, b) => misroutedAt(b) - misroutedAt(a))[0] ?? null;
  }
}
