import { type Log } from '../../transport/log';
import { type PartitionCore } from './partition-core';

/** A machine that sends no heartbeat within this time after a failover is gone, or cut off from this controller. */
const RECOVERY_GRACE_MS = 8000;
const MAX_LOGGED_MACHINE_COUNT = 5;

/** Follows how a partition recovers after it was taken over, and logs it once. */
export class RecoveryLog {
  private recoveryLogged = false;
  private unconfirmedLogged = false;

  constructor(
    private readonly core: PartitionCore,
    private readonly log: Log,
    /** Steady time in milliseconds. */
    private readonly takenOverAt: number,
  ) {}

  /** Whether the partition was just taken over, and machines are yet to be confirmed. */
  recovering(now: number): boolean {
    return this.core.unconfirmedCount > 0 && !this.graceIsOver(now);
  }

  private graceIsOver(now: number): boolean {
    return now - this.takenOverAt >= RECOVERY_GRACE_MS;
  }

  /** Logs once how long the recovery took, and before that once which machines delay it. */
  tick(now: number): void {
    if (this.recoveryLogged) return;
    if (this.core.unconfirmedCount > 0) return this.logUnconfirmed(now);
    this.recoveryLogged = true;
    const { id: partition, counters } = this.core;
    const seconds = Math.round((now - this.takenOverAt) / 100) / 10;
    const { lost: lostTasks, reports: heartbeats, stale: staleHeartbeats } = counters;
    this.log.info({ partition, seconds, lostTasks, heartbeats, staleHeartbeats }, 'partition recovered');
  }

  private logUnconfirmed(now: number): void {
    if (this.unconfirmedLogged || !this.graceIsOver(now)) return;
    this.unconfirmedLogged = true;
    const { id: partition, unconfirmedCount: unconfirmed } = this.core;
    const machines = this.core.firstUnconfirmedMachines(MAX_LOGGED_MACHINE_COUNT);
    this.log.info({ partition, unconfirmed, machines }, 'unconfirmed machines after failover');
  }
}
