import { type ListedMachine, type ProvisionRequest } from '../../protocol/cloud';
import { type PartitionLoad } from '../../protocol/peers';
import { type MachineRecord } from '../../protocol/records';
import { type MachineKind } from '../partition/placement';
import { type FleetMachine } from './fleet-snapshot';

/** What the leader has observed of a machine in its term. Times are in milliseconds of the steady clock. */
interface MachineHistory {
  firstSeenAt: number;
  /** When the machine was provisioned, according to a list that shows it as booting; else when this leader first saw it. */
  bootingSince: number;
  /** When this leader last ordered its transfer or a drain to the cloud; -Infinity if it never did. */
  transferredAt: number;
  firstListedAt: number | null;
  status: ListedMachine['status'] | null;
  /** When any owner last received a heartbeat, according to the loads sent to this leader; null if none has in this term. */
  lastHeartbeatAt: number | null;
  /** When the loads first showed its present quarantine; null if the owner does not quarantine it. */
  quarantinedSince: number | null;
  /** When the loads last showed it as quarantined; -Infinity if they never did. */
  lastQuarantinedAt: number;
  /** When the first of several quarantines in short succession began; null if there was none lately. */
  failingSince: number | null;
}

/** A machine has recovered if it was not quarantined for this long: tasks that show that run for at most half of it. */
const RECOVERED_AFTER_MS = 60_000;

interface ProvisionsInFlight {
  partition: string;
  kind: ProvisionRequest;
  count: number;
}

/** What the leader has observed of the fleet in its term, from the owners' loads, the cloud's lists and its own requests. */
export class FleetHistory {
  private readonly machines = new Map<string, MachineHistory>();
  /** Machines that were requested but are not recorded yet, by partition and kind. */
  private readonly provisionsInFlight = new Map<string, ProvisionsInFlight>();

  /** Clears the histories of machines for a new term, because a leader relies only on its own observations. */
  clear(): void {
    this.machines.clear();
  }

  /** Number of machines with a history. */
  get size(): number {
    return this.machines.size;
  }

  /** Drops the histories of all machines but these. A machine that appears again gets a history that begins then. */
  retain(isKnown: (id: string) => boolean): void {
    for (const id of this.machines.keys()) if (!isKnown(id)) this.machines.delete(id);
  }

  /** Returns a machine's history. For an unknown machine, creates one that begins now. */
  getOrCreateHistory(id: string, now: number): MachineHistory {
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
      lastQuarantinedAt: Number.NEGATIVE_INFINITY,
      failingSince: null,
    };
    this.machines.set(id, history);
    return history;
  }

  /** Records the heartbeats and quarantines in a load that was received at `at`. */
  recordLoad({ machines }: PartitionLoad, at: number, now: number): void {
    for (const { machine, sinceHeartbeatMs, quarantined } of machines) {
      if (sinceHeartbeatMs < 0) continue;
      const history = this.getOrCreateHistory(machine, now);
      const previousHeartbeatAt = history.lastHeartbeatAt ?? Number.NEGATIVE_INFINITY;
      history.lastHeartbeatAt = Math.max(previousHeartbeatAt, at - sinceHeartbeatMs);
      recordQuarantine(history, quarantined, now);
    }
  }

  /**
   * Records one machine of a list that was requested at `at`. The listed age counts while the machine boots, because a machine
   * that has been booting for minutes must not look new to a new leader. It does not count afterwards: a machine that is up but
   * has sent no heartbeat since a failover must not look as if it never came up, or a new leader would return working machines.
   */
  recordListed({ name, status, ageS }: ListedMachine, at: number, now: number): void {
    const history = this.getOrCreateHistory(name, now);
    history.firstListedAt ??= now;
    history.status = status;
    history.bootingSince =
      status === 'booting' ? Math.min(history.bootingSince, at - ageS * 1000) : history.firstSeenAt;
  }

  /** How long before `at` a machine was first listed, in milliseconds; null if it was never listed. */
  listedForMs(id: string, at: number): number | null {
    const firstListedAt = this.machines.get(id)?.firstListedAt ?? null;
    return firstListedAt === null ? null : at - firstListedAt;
  }

  recordTransfer(id: string, now: number): void {
    this.getOrCreateHistory(id, now).transferredAt = now;
  }

  /** Adds `delta`, which may be negative, to the number of machines that are being provisioned for a partition. */
  adjustProvisionsInFlight(partition: string, kind: ProvisionRequest, delta: number): void {
    const key = JSON.stringify([partition, kind.type, kind.zone, kind.spot]);
    const count = (this.provisionsInFlight.get(key)?.count ?? 0) + delta;
    if (count > 0) this.provisionsInFlight.set(key, { partition, kind, count });
    else this.provisionsInFlight.delete(key);
  }

  /** The recorded machines and those that are being provisioned, as input for planning. */
  fleetMachines(recorded: Iterable<[string, { record: MachineRecord }]>, now: number): FleetMachine[] {
    const fleet: FleetMachine[] = [];
    for (const [id, { record }] of recorded) fleet.push(this.fleetMachine(id, record, now));
    for (const { partition, kind, count } of this.provisionsInFlight.values())
      for (let i = 0; i < count; i++) fleet.push(machineInProvisioning(partition, kind));
    return fleet;
  }

  private fleetMachine(id: string, record: MachineRecord, now: number): FleetMachine {
    const { partition, type, zone, spot, phase } = record;
    const history = this.getOrCreateHistory(id, now);
    const { lastHeartbeatAt, quarantinedSince, failingSince } = history;
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
      failingMs: failingSince === null ? 0 : now - failingSince,
      sinceTransferMs: now - history.transferredAt,
    };
  }
}

function recordQuarantine(history: MachineHistory, quarantined: boolean, now: number): void {
  history.quarantinedSince = quarantined ? (history.quarantinedSince ?? now) : null;
  if (now - history.lastQuarantinedAt > RECOVERED_AFTER_MS) history.failingSince = null;
  if (!quarantined) return;
  history.lastQuarantinedAt = now;
  history.failingSince ??= now;
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
    failingMs: 0,
    sinceTransferMs: Infinity,
  };
}
