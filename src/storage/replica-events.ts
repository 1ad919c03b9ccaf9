import { type JobSpec } from '../protocol/jobs';
import { type FleetEntry, type JobState } from '../protocol/records';

/** A job as the state store has it. */
export interface StoredJob {
  readonly spec: JobSpec;
  /** Time of day of the acceptance, in milliseconds. */
  readonly acceptedAt: number;
  /** Revision of its acceptance. */
  readonly revision: number;
  state: JobState;
}

/** What changed in the replica; `gone`: no value holds the machine any more. */
export type ReplicaEvent =
  | { kind: 'job'; job: StoredJob }
  | { kind: 'closed'; job: StoredJob }
  | { kind: 'machine'; id: string; entry: FleetEntry }
  | { kind: 'gone'; id: string; partition: string }
  | { kind: 'members' };
