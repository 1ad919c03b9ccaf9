import type { LoadSummary } from '@heathbridge/load-balancer';

/*
 * What controllers tell each other; `peer-codec.ts` encodes it. Arrays by priority are indexed like PRIORITIES.
 */

/** What pending tasks of one shape ask for. */
export interface Demand {
  workload: string;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  machineTypes: string[] | null;
  /** Zones in which a task of it may start now; null: any. */
  zones: string[] | null;
  spot: boolean;
  priority: number;
  /** How many pending tasks of this shape may run within their team's limit. */
  tasks: number;
  /** How long one of them is expected to run, in seconds. */
  expectedS: number;
}

/** One machine, as the owner of its partition sees it. */
export interface MachineLoad {
  machine: string;
  tasks: number;
  freeCpus: number;
  freeMemoryGb: number;
  freeAccelerators: number;
  idleMs: number;
  /** Time since its last heartbeat; -1: this owner has received none. */
  sinceHeartbeatMs: number;
  quarantined: boolean;
  preemptionNotice: boolean;
  /** The partition that gets it once it is empty, DRAIN_TO_CLOUD if it goes back to the cloud, null if it stays. */
  transferTarget: string | null;
  /** Seconds until its last task is expected to end. */
  emptyInS: number;
}

/** In place of a partition: the machine goes back to the cloud once it is empty. */
export const DRAIN_TO_CLOUD = '';

/** The load of one partition, as its owner reports it to the leader. */
export interface PartitionLoad {
  partition: string;
  epoch: number;
  demands: Demand[];
  machines: MachineLoad[];
  /** How many machines have sent no heartbeat since the failover to this owner. */
  unconfirmed: number;
  /** CPU seconds that the started tasks are still expected to take, by priority. */
  remainingWork: number[];
  /** CPU seconds of pending tasks, also beyond what the teams' limits allow now, by priority. */
  backlog: number[];
  /** Seconds since the last job was submitted. */
  sinceLastJobS: number;
}

/** How many machines of a partition sent heartbeats to a controller that does not own it. */
export interface MisroutedCount {
  partition: string;
  machines: number;
}

/** A message from one controller to another. */
export type PeerMessage =
  | {
      kind: 'status';
      member: string;
      sequence: number;
      storeOk: boolean;
      memberIncarnation: number;
      partitions: PartitionLoad[];
      misrouted: MisroutedCount[];
      /** Time since the sender received a heartbeat of any machine; -1: never. */
      sinceHeartbeatMs: number;
      /** The sender's replica holds everything up to this revision; 0: it is no snapshot. */
      revision: number;
    }
  /**
   * The response to the status message with this sequence number. `extended`: the sender takes over nothing of the receiver's
   * for the time of a lease extension from now. With an extension goes every cancellation that the sender has seen or confirmed
   * after the receiver's revision, on as many pages as it takes.
   */
  | {
      kind: 'pong';
      member: string;
      sequence: number;
      storeOk: boolean;
      extended: boolean;
      page: number;
      pages: number;
      cancelled: { job: string; revision: number }[];
    }
  /**
   * The leader tells an owner to transfer a machine. `drain`: the machine may be in use; nothing new is to be started on it, and
   * it is transferred once it is empty. Naming the partition that it is in cancels that.
   */
  | { kind: 'move'; machine: string; toPartition: string; drain: boolean }
  /** The leader tells an owner to give a machine up to the cloud; `force`: also if tasks run on it. */
  | { kind: 'retire'; machine: string; reason: string; force: boolean }
  /** The leader tells an owner to hand a partition to another member. */
  | { kind: 'handover'; partition: string; to: string }
  /** The load of a partition, where load balancing is on. Controllers of versions without it drop the message. */
  | { kind: 'balance'; summary: LoadSummary };
