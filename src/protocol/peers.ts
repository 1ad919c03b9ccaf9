import avro from 'avsc';
import type { LoadSummary } from '@heathbridge/load-balancer';

/** What waiting tasks of one shape ask for. */
export interface Demand {
  workload: string;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  machineTypes: string[] | null;
  /** Where a task of it may start now, null: anywhere. */
  zones: string[] | null;
  spot: boolean;
  priority: number;
  /** How many tasks of this shape wait and may run within their team's limit. */
  tasks: number;
  /** How long one of them is expected to run. */
  expectedS: number;
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
  sinceHeartbeatMs: number;
  quarantined: boolean;
  preemptionNotice: boolean;
  /** The partition that gets it once it is empty, LEAVES_FLEET if the cloud does, or null. */
  transferTarget: string | null;
  /** Seconds until its last task is expected to end. */
  emptyInS: number;
}

/** Stands for a partition where an emptied machine is to go back to the cloud. */
export const DRAIN_TO_CLOUD = '';

export interface PartitionLoad {
  partition: string;
  epoch: number;
  demands: Demand[];
  machines: MachineLoad[];
  /** Machines that have not spoken since it was taken over. */
  unconfirmed: number;
  /** CPU seconds that the tasks now out are expected to take still, by urgency. */
  remainingWork: number[];
  /** CPU seconds that wait, also beyond what the teams' limits allow now, by urgency. */
  backlog: number[];
  /** Seconds since a job last came. */
  sinceLastJobS: number;
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
      sequence: number;
      storeOk: boolean;
      memberIncarnation: number;
      partitions: PartitionLoad[];
      misrouted: MisroutedCount[];
      /** Time since the sender last heard any machine, -1: never. */
      sinceHeartbeatMs: number;
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
      sequence: number;
      storeOk: boolean;
      extended: boolean;
      page: number;
      pages: number;
      cancelled: { job: string; revision: number }[];
    }
  /**
   * `drain`: the machine may be in use; nothing new is to be put on it, and it moves once it is empty. Naming
   * the partition where it is takes that back.
   */
  | { kind: 'move'; machine: string; toPartition: string; drain: boolean }
  | { kind: 'retire'; machine: string; reason: string; force: boolean }
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
const textType = 'string';
const amountType = 'double';

const demandType = record('Demand', {
  workload: textType,
  ...{
    cpus: amountType,
    accelerators: amountType,
    memoryGb: amountType,
    machineTypes: ['null', listOf(textType)],
    zones: ['null', listOf(textType)],
  },
  ...{
    spot: 'boolean',
    priority: 'int',
    tasks: 'int',
    expectedS: amountType,
  },
});
const machineLoadType = record('MachineLoad', {
  ...{
    machine: textType,
    tasks: 'int',
    freeCpus: amountType,
    freeMemoryGb: amountType,
    freeAccelerators: amountType,
  },
  ...{
    idleMs: amountType,
    sinceHeartbeatMs: amountType,
    quarantined: 'boolean',
    preemptionNotice: 'boolean',
    transferTarget: ['null', textType],
  },
  emptyInS: amountType,
});
const partitionLoadType = record('PartitionLoad', {
  ...{
    partition: textType,
    epoch: 'long',
    remainingWork: listOf(amountType),
    backlog: listOf(amountType),
    sinceLastJobS: amountType,
    unconfirmed: 'int',
  },
  ...{ demands: listOf(demandType), machines: listOf(machineLoadType) },
});
const misroutedCountType = record('MisroutedCount', { partition: textType, machines: 'int' });
const countOf = (name: string, what: string): object =>
  listOf(record(name, { [what]: textType, count: 'long' }));
const loadSummaryType = record('LoadSummary', {
  ...{ partition: textType, epoch: 'long', sequence: 'long', ageMs: amountType },
  ...{ cpus: amountType, freeCpus: amountType, largestFreeCpus: amountType },
  ...{ running: listOf(amountType), waiting: listOf(amountType), trendPerS: amountType },
  teams: listOf(record('TeamLoad', { team: textType, running: amountType, waiting: amountType })),
  moves: record('MoveCounts', {
    ...{ planned: 'long', begun: 'long', completed: 'long', abandoned: 'long', inFlight: 'long' },
  }),
  refusals: countOf('RefusalCount', 'reason'),
});
const messageFields: Record<PeerMessage['kind'], Record<string, unknown>> = {
  status: {
    ...{
      member: textType,
      sequence: 'long',
      storeOk: 'boolean',
      memberIncarnation: 'long',
      partitions: listOf(partitionLoadType),
    },
    ...{ misrouted: listOf(misroutedCountType), sinceHeartbeatMs: amountType, revision: 'long' },
  },
  // New fields come last: a frame of an earlier version is then cut short for us, and ours too long for it.
  pong: {
    ...{
      member: textType,
      sequence: 'long',
      storeOk: 'boolean',
      extended: 'boolean',
      page: 'int',
      pages: 'int',
    },
    cancelled: listOf(record('Cancellation', { job: textType, revision: 'long' })),
  },
  move: { machine: textType, toPartition: textType, drain: 'boolean' },
  retire: { machine: textType, reason: textType, force: 'boolean' },
  handover: { partition: textType, to: textType },
  // New kinds come last: the kinds before keep their numbers on the wire.
  balance: { summary: loadSummaryType },
};
const peerMessageType = avro.Type.forSchema(
  Object.entries(messageFields).map(([kind, fields]) => record(kind, fields)) as unknown as avro.Schema,
  { wrapUnions: 'auto' } as never,
);

export function encodePeerMessage(message: PeerMessage): Buffer {
  const { kind, ...fields } = message;
  return peerMessageType.toBuffer({ [kind]: fields });
}

/** Reads a frame of a peer; null if it is malformed. */
export function decodePeerMessage(bytes: Buffer): PeerMessage | null {
  try {
    const branch = peerMessageType.fromBuffer(bytes) as Record<string, object>;
    const kind = Object.keys(branch)[0];
    return kind ? ({ kind, ...branch[kind] } as PeerMessage) : null;
  } catch {
    return null;
  }
}
