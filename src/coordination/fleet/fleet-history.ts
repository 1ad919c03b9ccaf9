import { type ListedMachine, type ProvisionRequest } from '../../protocol/cloud';
import { type PartitionLoad } from '../../protocol/peers';
import { type MachineRecord } from '../../protocol/records';
import { type FleetMachine, type MachineKind } from './fleet-snapshot';

/** What a leader has seen of a machine in its term. Times are milliseconds of the steady clock. */
interface MachineHistory {
  firstSeenAt: number;
  /** When it was provisioned, by a list that shows it as booting; else when this leader first saw it. */
  bootingSince: number;
  transferredAt: number;
  firstListedAt: number | null;
  status: ListedMachine['status'] | null;
  /** When some owner last received a heartbeat, as far as this leader was told; null: none has in this term. */
  lastHeartbeatAt: number | null;
  /** Since when its partition's owner quarantines it, null: it does not. */
  quarantinedSince: number | null;
}

interface ProvisionsInFlight {
  partition: string;
  kind: ProvisionRequest;
  count: number;
}

/** What a leader has seen of the fleet in its term: by the owners' loads, the cloud's lists and its own requests. */
export class FleetHistory {
  private readonly machines = new Map<string, MachineHistory>();
  /** Machines that were requested and are not recorded yet, by partition and kind. */
  private readonly provisionsInFlight = new Map<string, ProvisionsInFlight>();

  /** Begins a new term: a leader goes by what it sees itself. */
  clear(): void {
    this.machines.clear();
  }

  /** A machine's history, which begins now unless the machine is known. */
  historyOf(id: string, now: number): MachineHistory {
    const known = this.machines.get(id);
    if (known) return known;
    const history = {
      firstSeenAt: now,
      bootingSince: now,
      transferredAt: Number.NEGATIVE_INFINITY,
      firstListedAt: null,
      status: null,
      lastHeartbeatAt: null,
      quarantinedSince: null,
    };
    this.machines.set(id, history);
    return history;
  }

  /** Takes what a partition's owner sent of its machines, received at `at`. */
  recordLoad({ machines }: PartitionLoad, at: number, now: number): void {
    for (const { machine, sinceHeartbeatMs, quarantined } of machines) {
      if (sinceHeartbeatMs < 0) continue;
      const history = this.historyOf(machine, now);
      const before = history.lastHeartbeatAt ?? Number.NEGATIVE_INFINITY;
      history.lastHeartbeatAt = Math.max(before, at - sinceHeartbeatMs);
      history.quarantinedSince = quarantined ? (history.quarantinedSince ?? now) : null;
    }
  }

  /**
   * Takes one machine of a list that was requested at `at`. The age counts only while the machine boots: a machine that
   * boots for minutes must not look new to a new leader, and one that is up and has sent no heartbeat since a failover must
   * not look as if it never came up, or a new leader would give working machines back.
   */
  recordListed({ name, status, ageS }: ListedMachine, at: number, now: number): void {
    const history = this.historyOf(name, now);
    history.firstListedAt ??= now;
    history.status = status;
    history.bootingSince =
      status === 'booting' ? Math.min(history.bootingSince, at - ageS * 1000) : history.firstSeenAt;
  }

  /** How long before `at` a machine was first listed; null: it was not. */
  listedForMs(id: string, at: number): number | null {
    const firstListedAt = this.machines.get(id)?.firstListedAt ?? null;
    return firstListedAt === null ? null : at - firstListedAt;
  }

  recordTransfer(id: string, now: number): void {
    this.historyOf(id, now).transferredAt = now;
  }

  /** Adds to the machines that are being provisioned for a partition; with a negative `n`, that many are no longer. */
  countProvisions(partition: string, kind: ProvisionRequest, n: number): void {
    const key = JSON.stringify([partition, kind.type, kind.zone, kind.spot]);
    const count = (this.provisionsInFlight.get(key)?.count ?? 0) + n;
    if (count > 0) this.provisionsInFlight.set(key, { partition, kind, count });
    else this.provisionsInFlight.delete(key);
  }

  /** The recorded machines and those that are being provisioned, for planning. */
  fleet(recorded: Iterable<[string, { record: MachineRecord }]>, now: number): FleetMachine[] {
    const fleet: FleetMachine[] = [];
    for (const [id, { record }] of recorded) fleet.push(this.fleetMachine(id, record, now));
    for (const { partition, kind, count } of this.provisionsInFlight.values())
      for (let i = 0; i < count; i++) fleet.push(machineInProvisioning(partition, kind));
    return fleet;
  }

  private fleetMachine(id: string, record: MachineRecord, now: number): FleetMachine {
    const { partition, type, zone, spot, phase } = record;
    const history = this.historyOf(id, now);
    const { lastHeartbeatAt, quarantinedSince } = history;
    return {
      id,
      partition,
      type,
      zone,
      spot,
      deprovisioning: phase === 'deprovisioning',
      ageMs: now - history.bootingSince,
      booting: lastHeartbeatAt === null,
      sinceHeartbeatMs: lastHeartbeatAt === null ? 0 : now - lastHeartbeatAt,
      failed: history.status === 'failed',
      quarantinedMs: quarantinedSince === null ? 0 : now - quarantinedSince,
      sinceTransferMs: now - history.transferredAt,
    };
  }
}

function machineInProvisioning(partition: string, { type, zone, spot }: MachineKind): FleetMachine {
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
