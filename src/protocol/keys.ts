/**
 * Prefix of all keys under which the controllers keep their records in the state store. One watch on it brings every controller
 * all records in the order of the changes. Writes are the scarcest resource of the state store, so records that change together
 * share a value.
 */
export const KEY_PREFIX = 'hb/';

/** The stored word of each kind of key, which follows the prefix. */
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

/** The keys of records. */
export const keys = {
  member: (member: string): string => keyOf(KEY_KINDS.member, member),
  leader: keyOf(KEY_KINDS.leader),
  catalog: keyOf(KEY_KINDS.catalog),
  partition: (partition: string): string => keyOf(KEY_KINDS.partition, partition),
  /** Jobs that were accepted together; written once, never changed. */
  batch: (name: string): string => keyOf(KEY_KINDS.batch, name),
  /** Present once the job's user has cancelled it; written once. */
  cancellation: (ref: string): string => keyOf(KEY_KINDS.cancellation, ref),
  /** Terminal states of jobs of a partition; the values are filled one after the other. */
  terminalStates: (partition: string, index: number): string =>
    keyOf(KEY_KINDS.terminalStates, partition, index),
  /** Progress of open jobs of a partition. */
  progress: (partition: string, index: number): string => keyOf(KEY_KINDS.progress, partition, index),
  /** Machines of a partition that tasks may have been started on; written before the first start on a machine. */
  assignedMachines: (partition: string, index: number): string =>
    keyOf(KEY_KINDS.assignedMachines, partition, index),
  /** Records of machines of a partition. */
  fleet: (partition: string, name: string): string => keyOf(KEY_KINDS.fleet, partition, name),
  /** Never written; reading it yields the store's revision. */
  neverWritten: keyOf('nothing'),
};

/** The kind of a key: the word after the shared prefix. */
export function keyKind(key: string): string {
  return key.split('/')[1] ?? '';
}

/** The member or the job that a key of this kind is named after. */
export function nameInKey(
  kind: typeof KEY_KINDS.member | typeof KEY_KINDS.cancellation,
  key: string,
): string {
  return key.slice(KEY_PREFIX.length + kind.length + 1);
}

/** The partition of a key whose kind includes one. */
export function partitionOfKey(key: string): string {
  return key.split('/')[2] ?? '';
}

/** The last part of a partition's key: the index of a numbered value, or the name of a fleet value. */
export function valueNameOfKey(key: string): string {
  return key.split('/')[3] ?? '';
}

/** The name of a fleet value to which a leader first writes new machines. */
export function initialFleetValueName(leaderTerm: number, index: number): string {
  return `${leaderTerm}-${index}`;
}

/**
 * The term of the leader that first wrote the value of a fleet key, or null if a partition's owner did so by transferring
 * machines.
 */
export function leaderTermOfFleetKey(key: string): number | null {
  const term = /^(\d+)-\d+$/.exec(valueNameOfKey(key))?.[1];
  return term === undefined ? null : Number(term);
}
