import { type PartitionLoad } from '../../protocol/peers';
import { type MachineRecord } from '../../protocol/records';
import { type ListedMachine, type MachineRequest } from '../../protocol/cloud';
import { type FleetMachine } from './capacity-plan';

/** What a leader has seen of a machine since it began to lead. */
interface MachineHistory {
  firstSeenAt: number;
  /** When it was rented, by a list that shows it as booting; else when this leader first heard of it. */
  bootingSince: number;
  transferredAt: number;
  firstListedAt: number | null;
  status: ListedMachine['status'] | null;
  /** When some owner last heard it, as far as this leader was told; null: nobody has since this leader began. */
  lastHeartbeatAt: number | null;
  /** Since when its partition's owner takes it to be at fault. */
  quarantinedSince: number | null;
}

/** How the machines of the fleet have fared, as their owners and the cloud's lists tell a leader. */
export class FleetHistory {
  private readonly machines = new Map<string, MachineHistory>();
  /** Machines asked for whose rental is not answered or recorded yet, by partition and kind. */
  private readonly provisionsInFlight = new Map<
    string,
    { partition: string; kind: MachineRequest; count: number }
  >();

  /** A new leader starts with what it sees itself. */
  clear(): void {
    this.machines.clear();
  }

  /** Begins to watch a machine, unless it is known. */
  historyOf(id: string, now: number): MachineHistory {
    let history = this.machines.get(id);
    if (!history) {
      history = {
        firstSeenAt: now,
        transferredAt: Number.NEGATIVE_INFINITY,
        bootingSince: now,
        firstListedAt: null,
        status: null,
        lastHeartbeatAt: null,
        quarantinedSince: null,
      };
      this.machines.set(id, history);
    }
    return history;
  }

  /** An owner tells how its machines stand. */
  recordLoad({ machines }: PartitionLoad, at: number, now: number): void {
    for (const { machine, sinceHeartbeatMs, quarantined } of machines) {
      if (sinceHeartbeatMs < 0) continue;
      const history = this.historyOf(machine, now);
      history.lastHeartbeatAt = Math.max(
        history.lastHeartbeatAt ?? Number.NEGATIVE_INFINITY,
        at - sinceHeartbeatMs,
      );
      history.quarantinedSince = quarantined ? (history.quarantinedSince ?? now) : null;
    }
  }

  /** A list of the cloud's, asked for at `at`, shows a machine. */
  recordListed({ name, status, ageS }: ListedMachine, at: number, now: number): void {
    const history = this.historyOf(name, now);
    history.firstListedAt ??= now;
    // A new leader must not take what has been booting for minutes for something just rented. Nor, what is up and has
    // not spoken since a take-over for something that never came up: it once gave six hundred machines back at work.
    history.bootingSince =
      status === 'booting' ? Math.min(history.bootingSince, at - ageS * 1000) : history.firstSeenAt;
    history.status = status;
  }

  /** How long before `at` a machine was first listed; null: it was not. */
  listedForMs(id: string, at: number): number | null {
    const firstListed = this.machines.get(id)?.firstListedAt ?? null;
    return firstListed === null ? null : at - firstListed;
  }

  recordTransfer(id: string, now: number): void {
    this.historyOf(id, now).transferredAt = now;
  }

  /** Counts rentals that are under way, or no more. */
  countProvisions(partition: string, kind: MachineRequest, n: number): void {
    const key = JSON.stringify([partition, kind.type, kind.zone, kind.spot]);
    const count = (this.provisionsInFlight.get(key)?.count ?? 0) + n;
    if (count > 0) this.provisionsInFlight.set(key, { partition, kind, count });
    else this.provisionsInFlight.delete(key);
  }

  /** The recorded machines and those on their way, for planning. */
  fleet(recorded: Iterable<[string, { record: MachineRecord }]>, now: number): FleetMachine[] {
    const fleet: FleetMachine[] = [];
    for (const [id, { record }] of recorded) fleet.push(this.machine(id, record, now));
    // Rentals that are not answered or recorded yet count as machines on their way.
    for (const { partition, kind, count } of this.provisionsInFlight.values())
      for (let i = 0; i < count; i++) fleet.push(machineInProvisioning(partition, kind));
    return fleet;
  }

  private machine(
    id: string,
    { partition, type, zone, spot, phase }: MachineRecord,
    now: number,
  ): FleetMachine {
    const { bootingSince, lastHeartbeatAt, status, quarantinedSince, transferredAt } = this.historyOf(
      id,
      now,
    );
    return {
      id,
      partition,
      type,
      zone,
      spot,
      deprovisioning: phase === 'deprovisioning',
      ageMs: now - bootingSince,
      booting: lastHeartbeatAt === null,
      sinceHeartbeatMs: lastHeartbeatAt === null ? 0 : now - lastHeartbeatAt,
      failed: status === 'failed',
      quarantinedMs: quarantinedSince === null ? 0 : now - quarantinedSince,
      sinceTransferMs: now - transferredAt,
    };
  }
}

/** A machine that is rented and has no name yet. */
function machineInProvisioning(partition: string, { type, zone, spot }: MachineRequest): FleetMachine {
  return {
    id: '',
    partition,
    type,
    zone,
    spot,
    deprovisioning: false,
    ageMs: 0,
    booting: true,
    sinceHeartbeatMs: 0,
    failed: false,
    quarantinedMs: 0,
    sinceTransferMs: Infinity,
  };
}
