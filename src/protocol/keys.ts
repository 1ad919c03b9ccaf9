/**
 * The keys under which the controllers keep their records in the state store. All share one prefix, so that one watch brings
 * every controller all records in the order of the changes. Writes are what the state store has least of: wherever many
 * things change together they share a value.
 */
export const KEY_PREFIX = 'hb/';

/** The kinds of keys: the stored word after the prefix, by the term that it stands for. */
export const KEY_KINDS = {
  member: 'member',
  leader: 'leader',
  catalog: 'catalog',
  partition: 'part',
  batch: 'batch',
  cancellation: 'cancel',
  terminalStates: 'final',
  progress: 'progress',
  assignedMachines: 'opened',
  fleet: 'fleet',
} as const;

function keyOf(kind: string, ...parts: (string | number)[]): string {
  return [`${KEY_PREFIX}${kind}`, ...parts].join('/');
}

/** Builds the keys of records. */
export const keys = {
  member: (member: string): string => keyOf(KEY_KINDS.member, member),
  leader: keyOf(KEY_KINDS.leader),
  catalog: keyOf(KEY_KINDS.catalog),
  partition: (partition: string): string => keyOf(KEY_KINDS.partition, partition),
  /** Jobs accepted together; written once, never changed. */
  batch: (name: string): string => keyOf(KEY_KINDS.batch, name),
  /** Present once the job's user has cancelled it; written once. */
  cancellation: (ref: string): string => keyOf(KEY_KINDS.cancellation, ref),
  /** How jobs of a partition ended; the values are filled one after the other. */
  terminalStates: (partition: string, index: number): string =>
    keyOf(KEY_KINDS.terminalStates, partition, index),
  /** Progress of a partition's open jobs. */
  progress: (partition: string, index: number): string => keyOf(KEY_KINDS.progress, partition, index),
  /** Machines of a partition that tasks may have been started on: written before the first start. */
  assignedMachines: (partition: string, index: number): string =>
    keyOf(KEY_KINDS.assignedMachines, partition, index),
  /** Machines of a partition. */
  fleet: (partition: string, name: string): string => keyOf(KEY_KINDS.fleet, partition, name),
  /** Never written: reading it yields the store's revision. */
  neverWritten: keyOf('nothing'),
};

/** The kind of a key: the word after the shared prefix. */
export function keyKind(key: string): string {
  return key.split('/')[1] ?? '';
}

/** The member or the job that a key of one of these kinds is named after. */
export function nameInKey(
  kind: typeof KEY_KINDS.member | typeof KEY_KINDS.cancellation,
  key: string,
): string {
  return key.slice(KEY_PREFIX.length + kind.length + 1);
}

/** The partition of a key whose kind holds one. */
export function partitionOfKey(key: string): string {
  return key.split('/')[2] ?? '';
}

/** The last part of a partition's key: the index of a numbered value, or the name of a fleet value. */
export function valueNameOfKey(key: string): string {
  return key.split('/')[3] ?? '';
}

/** The name of a fleet value that a leader first writes machines to. */
export function initialFleetValueName(leaderTerm: number, index: number): string {
  return `${leaderTerm}-${index}`;
}

/** The term of the leader that first wrote the value of a fleet key; null if an owner did, by transferring machines. */
export function leaderTermOfFleetKey(key: string): number | null {
  const term = /^(\d+)-\d+$/.exec(valueNameOfKey(key))?.[1];
  return term === undefined ? null : Number(term);
}
