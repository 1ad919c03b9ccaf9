import type { JobSpec } from './jobs';

/**
 * What the controllers keep in the state service. All keys share one prefix, so that one watch brings every
 * controller the whole picture in the order of the changes.
 */
export const PREFIX = 'hb/';
export const keys = {
  member: (member: string): string => `${PREFIX}member/${member}`,
  leader: `${PREFIX}leader`,
  catalog: `${PREFIX}catalog`,
  part: (part: string): string => `${PREFIX}part/${part}`,
  machine: (machine: string): string => `${PREFIX}machine/${machine}`,
  pipeline: (ref: string): string => `${PREFIX}pipeline/${ref}`,
};

/** Present while a controller's grant lives; its version is the controller's incarnation. */
export interface MemberRecord {
  member: string;
}

/** A part: teams that one controller looks after. Its version fences all earlier owners. */
export interface PartRecord {
  teams: string[];
  owner: string;
  incarnation: number;
}

/** `returning`: nothing new is started on it and the leader gives it back to the cloud. */
export interface MachineRecord {
  part: string;
  phase: 'kept' | 'returning';
  type: string;
  zone: string;
  spot: boolean;
  /** Why it is returned, for the log. */
  why?: string;
}

export type JobState = 'open' | 'done' | 'cancelled' | 'failed';

export interface JobRecord {
  spec: JobSpec;
  state: JobState;
  /** Tasks known to be done, as ranges ("0-3,7"). May lag behind; a task run again ends at once. */
  done: string;
  /** How many tasks were done and running at the last write, for display. */
  doneCount: number;
  running: number;
}

/** One record per pipeline; a plain submission is a pipeline of one. */
export interface PipelineRecord {
  /** Time of day of the acceptance (ISO), which gives the arrival order. */
  accepted: string;
  jobs: JobRecord[];
}

/** Writes a set of task numbers as ranges, leaving out what goes beyond `maxLength` characters. */
export function encodeRanges(done: Uint8Array, isDone: (v: number) => boolean, maxLength: number): string {
  let text = '';
  for (let i = 0; i < done.length; i++) {
    if (!isDone(done[i] as number)) continue;
    let end = i;
    while (end + 1 < done.length && isDone(done[end + 1] as number)) end++;
    const range = `${text ? ',' : ''}${i}${end > i ? `-${end}` : ''}`;
    if (text.length + range.length > maxLength) break;
    text += range;
    i = end;
  }
  return text;
}

export function decodeRanges(text: string): [number, number][] {
  if (!text) return [];
  return text.split(',').map((range) => {
    const [from, to] = range.split('-');
    return [Number(from), Number(to ?? from)];
  });
}
