import { type JobSpec } from '../protocol/jobs';
import { type FleetEntry, type JobState } from '../protocol/records';

/** A job as the state store holds it. */
export interface StoredJob {
  readonly spec: JobSpec;
  /** Wall-clock time of the acceptance, in milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  /** Revision of the batch that accepted it. */
  readonly revision: number;
  state: JobState;
}

/**
 * A change in the replica. `closed`: the job entered a terminal state. `machine-removed`: no value holds the machine any more.
 */
export type ReplicaEvent =
  | { kind: 'job'; job: StoredJob }
  | { kind: 'closed'; job: StoredJob }
  | { kind: 'machine'; id: string; entry: FleetEntry }
  | { kind: 'machine-removed'; id: string; partition: string }
  | { kind: 'members' };
