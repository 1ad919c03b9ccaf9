import { type Log } from '../../transport/log';
import { type PartitionCore } from './partition-core';

/** A machine that has sent no heartbeat this long after a failover is gone, or cannot reach this controller. */
const RECOVERY_GRACE_MS = 8000;
const MAX_LOGGED_MACHINE_COUNT = 5;

/** Tracks the recovery of a partition after it was taken over, and logs it once. */
export class RecoveryLog {
  private recoveryLogged = false;
  private unconfirmedLogged = false;

  constructor(
    private readonly core: PartitionCore,
    private readonly log: Log,
    /** Steady time in milliseconds at which the partition was taken over. */
    private readonly takenOverAt: number,
  ) {}

  /** Whether the partition was taken over less than the grace period ago and has unconfirmed machines. */
  recovering(now: number): boolean {
    return this.core.unconfirmedCount > 0 && !this.graceIsOver(now);
  }

  private graceIsOver(now: number): boolean {
    return now - this.takenOverAt >= RECOVERY_GRACE_MS;
  }

  /** Logs once how long the recovery took, and once before that, after the grace period, which machines delay it. */
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
