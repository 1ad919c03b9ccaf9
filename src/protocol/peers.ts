import type { LoadSummary } from '@heathbridge/load-balancer';

/*
 * Messages between controllers; `peer-codec.ts` encodes them. Arrays by priority are indexed like PRIORITIES.
 */

/** The resource request of pending tasks of one shape. */
export interface Demand {
  workload: string;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  machineTypes: string[] | null;
  /** Zones in which one of the tasks may start now, or null for any zone. */
  zones: string[] | null;
  spot: boolean;
  priority: number;
  /** Number of pending tasks of this shape that may run within their team's limit. */
  tasks: number;
  /** Expected run time of one of the tasks, in seconds. */
  expectedS: number;
}

/** A machine as the owner of its partition sees it. */
export interface MachineLoad {
  machine: string;
  tasks: number;
  freeCpus: number;
  freeMemoryGb: number;
  freeAccelerators: number;
  idleMs: number;
  /** Milliseconds since its last heartbeat, or -1 if this owner has received none. */
  sinceHeartbeatMs: number;
  quarantined: boolean;
  preemptionNotice: boolean;
  /** The partition that gets the machine once it is empty, DRAIN_TO_CLOUD if it returns to the cloud, or null if it stays. */
  transferTarget: string | null;
  /** Seconds until its last task is expected to end. */
  emptyInS: number;
}

/** In place of a partition id: the machine returns to the cloud once it is empty. */
export const DRAIN_TO_CLOUD = '';

/** The load of one partition, as its owner reports it to the leader. */
export interface PartitionLoad {
  partition: string;
  epoch: number;
  demands: Demand[];
  machines: MachineLoad[];
  /** Number of machines that have sent no heartbeat since the failover to this owner. */
  unconfirmed: number;
  /** CPU seconds that started tasks are still expected to take, by priority. */
  remainingWork: number[];
  /** CPU seconds of pending tasks, including those beyond the teams' current limits, by priority. */
  backlog: number[];
  /** Seconds since the last job was submitted. */
  sinceLastJobS: number;
}

/** Number of machines of a partition that sent heartbeats to a controller that does not own it. */
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
      storeReachable: boolean;
      memberIncarnation: number;
      partitions: PartitionLoad[];
      misrouted: MisroutedCount[];
      /** Milliseconds since the sender received a heartbeat of any machine, or -1 if it never did. */
      sinceHeartbeatMs: number;
      /** The sender's replica holds everything up to this revision; 0 if it is no snapshot. */
      revision: number;
    }
  /**
   * The response to the status message with this sequence number. `extended`: the sender will take over none of the receiver's
   * partitions for the time of a lease extension from now. An extension is sent with every cancellation that the sender has
   * seen or confirmed after the receiver's revision, on as many pages as it takes.
   */
  | {
      kind: 'pong';
      member: string;
      sequence: number;
      storeReachable: boolean;
      extended: boolean;
      page: number;
      pages: number;
      cancelled: { job: string; revision: number }[];
    }
  /**
   * Sent by the leader: the owner is to transfer a machine. `drain`: the machine may be in use; no new tasks are to be started
   * on it, and it is transferred once it is empty. Naming its present partition revokes the drain.
   */
  | { kind: 'move'; machine: string; toPartition: string; drain: boolean }
  /** Sent by the leader: the owner is to return a machine to the cloud. `force`: even if tasks run on it. */
  | { kind: 'retire'; machine: string; reason: string; force: boolean }
  /** Sent by the leader: the owner is to hand a partition over to another member. */
  | { kind: 'handover'; partition: string; to: string }
  /** The load of a partition, sent if load balancing is on. Controllers of versions without it drop the message. */
  | { kind: 'balance'; summary: LoadSummary };
