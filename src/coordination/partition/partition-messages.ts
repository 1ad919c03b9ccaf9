import { type FleetEntry, type JobProgress, type JobState } from '../../protocol/records';
import { type JobSpec } from '../../protocol/jobs';
import { type Heartbeat } from '../../protocol/workers';
import { type StoredProgress } from '../../storage/job-index';
import { type HeartbeatAnswer } from './heartbeat-handler';

/** Sent when a job is open in the state store. */
export interface JobOpenedMessage {
  kind: 'job-opened';
  spec: JobSpec;
  /** Wall-clock time in milliseconds. */
  acceptedAt: number;
  /** Revision at which the state store accepted the job. */
  revision: number;
  /** Null if no progress has been written. */
  progress: StoredProgress | null;
}

/**
 * A message to a partition actor. `move`, `retire` and `handover` originate from the leader and are named like its messages to
 * peers.
 */
export type PartitionMessage =
  | { kind: 'tick' }
  /**
   * `reply` is called exactly once, while the message is handled. It is called with null if this controller may not answer for the
   * machine.
   */
  | { kind: 'heartbeat'; heartbeat: Heartbeat; reply: (answer: HeartbeatAnswer | null) => void }
  /** `entry` is null if the machine is gone or belongs to another partition. */
  | { kind: 'machine-changed'; id: string; entry: FleetEntry | null }
  | JobOpenedMessage
  /** Sent when a job's terminal state is in the state store. */
  | { kind: 'job-closed'; ref: string; state: JobState }
  /** Sent for a job that had terminated before this owner took over. */
  | { kind: 'job-terminated'; spec: JobSpec; revision: number; state: JobState }
  /**
   * Transfers a machine to another partition, or drains it first if `drain` is true. With `drain`, `toPartition` may also be
   * `DRAIN_TO_CLOUD`, which deprovisions the machine once it is drained, or the actor's own partition, which cancels a drain.
   */
  | { kind: 'move'; machine: string; toPartition: string; drain: boolean }
  /** Deprovisions a machine; only if it is empty, unless `force` is true. */
  | { kind: 'retire'; machine: string; reason: string; force: boolean }
  /** Hands the partition over to the member `to` in this incarnation. */
  | { kind: 'handover'; to: string; incarnation: number }
  /** Sent by the actor to itself once the state store has the progress of these jobs. */
  | { kind: 'progress-written'; jobs: ReadonlyMap<string, JobProgress> }
  /** Sent by the actor to itself once the state store lists these machines as assigned. */
  | { kind: 'machines-assigned'; machines: string[] }
  /**
   * Sent by the actor to itself once it is known whether a change of these machines' records was applied, or once the partition is
   * released.
   */
  | { kind: 'records-decided'; machines: string[] };
