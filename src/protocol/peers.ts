import avro from 'avsc';
import type { LoadSummary } from '@heathbridge/load-balancer';

/** What waiting tasks of one shape ask for. */
export interface Demand {
  workload: string;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  types: string[] | null;
  /** Where a task of it may start now, null: anywhere. */
  zones: string[] | null;
  spot: boolean;
  rank: number;
  /** How many tasks of this shape wait and may run within their team's limit. */
  tasks: number;
  /** How long one of them is expected to run. */
  seconds: number;
}

/** How a partition's owner sees one of its machines. */
export interface MachineLoad {
  machine: string;
  tasks: number;
  freeCpus: number;
  freeMemoryGb: number;
  freeAccelerators: number;
  idleMs: number;
  /** Time since the last report; -1: it has never reported to this owner. */
  silentMs: number;
  faulty: boolean;
  noticed: boolean;
  /** The partition that gets it once it is empty, LEAVES_FLEET if the cloud does, or null. */
  leavingTo: string | null;
  /** Seconds until its last task is expected to end. */
  emptyInS: number;
}

/** Stands for a partition where an emptied machine is to go back to the cloud. */
export const LEAVES_FLEET = '';

export interface PartitionLoad {
  partition: string;
  version: number;
  demands: Demand[];
  machines: MachineLoad[];
  /** Machines that have not spoken since it was taken over. */
  unconfirmed: number;
  /** CPU seconds that the tasks now out are expected to take still, by urgency. */
  workLeft: number[];
  /** CPU seconds that wait, also beyond what the teams' limits allow now, by urgency. */
  backlog: number[];
  /** Seconds since a job last came. */
  quietS: number;
}

/** How many machines of a partition came to a controller that does not own it. */
export interface MisroutedCount {
  partition: string;
  machines: number;
}

export type PeerMessage =
  | {
      kind: 'status';
      member: string;
      seq: number;
      storeOk: boolean;
      incarnation: number;
      partitions: PartitionLoad[];
      misrouted: MisroutedCount[];
      /** Time since the sender last heard any machine, -1: never. */
      heardMs: number;
      /** The sender's replica holds everything up to this revision of the store. */
      revision: number;
    }
  /**
   * Answers status `seq`; `extended`: not to take anything of the asker's over for EXTENSION_MS from now. With an extension goes
   * every cancellation that the granter has seen or confirmed beyond the asker's revision, on as many pages as it takes.
   */
  | {
      kind: 'pong';
      member: string;
      seq: number;
      storeOk: boolean;
      extended: boolean;
      page: number;
      pages: number;
      cancelled: { job: string; version: number }[];
    }
  /**
   * `drain`: the machine may be in use; nothing new is to be put on it, and it moves once it is empty. Naming
   * the partition where it is takes that back.
   */
  | { kind: 'move'; machine: string; toPartition: string; drain: boolean }
  | { kind: 'retire'; machine: string; why: string; force: boolean }
  | { kind: 'handover'; partition: string; to: string }
  /** How the load of a partition stands, where load is balanced. Controllers of earlier versions drop it. */
  | { kind: 'balance'; summary: LoadSummary };

function record(name: string, fields: Record<string, unknown>): object {
  return {
    name,
    type: 'record',
    fields: Object.entries(fields).map(([field, type]) => ({ name: field, type })),
  };
}

const listOf = (items: unknown): object => ({ type: 'array', items });
const text = 'string';
const amount = 'double';

const demandType = record('Demand', {
  workload: text,
  ...{
    cpus: amount,
    accelerators: amount,
    memoryGb: amount,
    types: ['null', listOf(text)],
    zones: ['null', listOf(text)],
  },
  ...{
    spot: 'boolean',
    rank: 'int',
    tasks: 'int',
    seconds: amount,
  },
});
const machineType = record('MachineLoad', {
  ...{ machine: text, tasks: 'int', freeCpus: amount, freeMemoryGb: amount, freeAccelerators: amount },
  ...{ idleMs: amount, silentMs: amount, faulty: 'boolean', noticed: 'boolean', leavingTo: ['null', text] },
  emptyInS: amount,
});
const partitionType = record('PartitionLoad', {
  ...{
    partition: text,
    version: 'long',
    workLeft: listOf(amount),
    backlog: listOf(amount),
    quietS: amount,
    unconfirmed: 'int',
  },
  ...{ demands: listOf(demandType), machines: listOf(machineType) },
});
const misroutedType = record('MisroutedCount', { partition: text, machines: 'int' });
const countOf = (name: string, what: string): object => listOf(record(name, { [what]: text, count: 'long' }));
const summaryType = record('LoadSummary', {
  ...{ partition: text, epoch: 'long', sequence: 'long', ageMs: amount },
  ...{ cpus: amount, freeCpus: amount, largestFreeCpus: amount },
  ...{ running: listOf(amount), waiting: listOf(amount), trendPerS: amount },
  teams: listOf(record('TeamLoad', { team: text, running: amount, waiting: amount })),
  moves: record('MoveCounts', {
    ...{ planned: 'long', begun: 'long', completed: 'long', abandoned: 'long', inFlight: 'long' },
  }),
  refusals: countOf('RefusalCount', 'reason'),
});
const messages: Record<PeerMessage['kind'], Record<string, unknown>> = {
  status: {
    ...{
      member: text,
      seq: 'long',
      storeOk: 'boolean',
      incarnation: 'long',
      partitions: listOf(partitionType),
    },
    ...{ misrouted: listOf(misroutedType), heardMs: amount, revision: 'long' },
  },
  // New fields come last: a frame of an earlier version is then cut short for us, and ours too long for it.
  pong: {
    ...{ member: text, seq: 'long', storeOk: 'boolean', extended: 'boolean', page: 'int', pages: 'int' },
    cancelled: listOf(record('Cancellation', { job: text, version: 'long' })),
  },
  move: { machine: text, toPartition: text, drain: 'boolean' },
  retire: { machine: text, why: text, force: 'boolean' },
  handover: { partition: text, to: text },
  // New kinds come last: the kinds before keep their numbers on the wire.
  balance: { summary: summaryType },
};
const type = avro.Type.forSchema(
  Object.entries(messages).map(([kind, fields]) => record(kind, fields)) as unknown as avro.Schema,
  { wrapUnions: 'auto' } as never,
);

export function encodePeer(message: PeerMessage): Buffer {
  const { kind, ...fields } = message;
  return type.toBuffer({ [kind]: fields });
}

/** Reads a frame of a peer; null if it is malformed. */
export function decodePeer(bytes: Buffer): PeerMessage | null {
  try {
    const branch = type.fromBuffer(bytes) as Record<string, object>;
    const kind = Object.keys(branch)[0];
    return kind ? ({ kind, ...branch[kind] } as PeerMessage) : null;
  } catch {
    return null;
  }
}
