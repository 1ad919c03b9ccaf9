import { type FleetEntry, type JobProgress, type JobState } from '../../protocol/records';
import { type JobSpec } from '../../protocol/jobs';
import { type Heartbeat } from '../../protocol/workers';
import { type StoredProgress } from '../../storage/job-index';
import { type HeartbeatAnswer } from './heartbeat-handler';

/** A job that is open in the state store. */
export interface JobOpenedMessage {
  kind: 'job-opened';
  spec: JobSpec;
  /** Wall-clock time in milliseconds. */
  acceptedAt: number;
  /** Revision at which the state store accepted the job. */
  revision: number;
  /** Null: no progress has been written. */
  progress: StoredProgress | null;
}

/** What a partition actor is sent. `move`, `retire` and `handover` come from the leader and have the names of its peer messages. */
export type PartitionMessage =
  | { kind: 'tick' }
  /** `reply` is called once, before the message is done with; null: this controller may not answer for the machine. */
  | { kind: 'heartbeat'; heartbeat: Heartbeat; reply: (answer: HeartbeatAnswer | null) => void }
  /** `entry` is null if the machine is gone, or belongs to another partition. */
  | { kind: 'machine-changed'; id: string; entry: FleetEntry | null }
  | JobOpenedMessage
  /** The state store has a job's terminal state. */
  | { kind: 'job-closed'; ref: string; state: JobState }
  /** A job that had terminated before this owner took over. */
  | { kind: 'job-terminated'; spec: JobSpec; revision: number; state: JobState }
  /** Transfers a machine; `drain`: once it is empty. Naming this partition takes a drain back. */
  | { kind: 'move'; machine: string; toPartition: string; drain: boolean }
  /** Deprovisions a machine; `force`: even if tasks run on it. */
  | { kind: 'retire'; machine: string; reason: string; force: boolean }
  | { kind: 'handover'; to: string; incarnation: number }
  /** Sent by the actor to itself once the state store has what was written. */
  | { kind: 'progress-written'; jobs: ReadonlyMap<string, JobProgress> }
  | { kind: 'machines-assigned'; machines: string[] }
  /** The outcome of a change of machine records is known, applied or not. */
  | { kind: 'records-decided'; machines: string[] };
