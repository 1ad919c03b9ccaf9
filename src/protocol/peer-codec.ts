import avro from 'avsc';
import { type PeerMessage } from './peers';

/*
 * Frames between controllers in Avro's binary encoding. The names of fields and records are not on the wire; the order of the
 * fields, their types and the index of the message's kind are. Controllers of one version and the next read each other's
 * frames, so new fields and new kinds are added last. A frame with a field more or less than expected is malformed.
 */

function record(name: string, fields: Record<string, unknown>): object {
  return {
    name,
    type: 'record',
    fields: Object.entries(fields).map(([field, type]) => ({ name: field, type })),
  };
}

const listOf = (items: unknown): object => ({ type: 'array', items });
const optional = (type: unknown): unknown[] => ['null', type];
const textType = 'string';
const amountType = 'double';

const demandType = record('Demand', {
  workload: textType,
  cpus: amountType,
  accelerators: amountType,
  memoryGb: amountType,
  machineTypes: optional(listOf(textType)),
  zones: optional(listOf(textType)),
  spot: 'boolean',
  priority: 'int',
  tasks: 'int',
  expectedS: amountType,
});
const machineLoadType = record('MachineLoad', {
  machine: textType,
  tasks: 'int',
  freeCpus: amountType,
  freeMemoryGb: amountType,
  freeAccelerators: amountType,
  idleMs: amountType,
  sinceHeartbeatMs: amountType,
  quarantined: 'boolean',
  preemptionNotice: 'boolean',
  transferTarget: optional(textType),
  emptyInS: amountType,
});
const partitionLoadType = record('PartitionLoad', {
  partition: textType,
  epoch: 'long',
  remainingWork: listOf(amountType),
  backlog: listOf(amountType),
  sinceLastJobS: amountType,
  unconfirmed: 'int',
  demands: listOf(demandType),
  machines: listOf(machineLoadType),
});
const misroutedCountType = record('MisroutedCount', { partition: textType, machines: 'int' });
const cancellationType = record('Cancellation', { job: textType, revision: 'long' });
const loadSummaryType = record('LoadSummary', {
  partition: textType,
  epoch: 'long',
  sequence: 'long',
  ageMs: amountType,
  cpus: amountType,
  freeCpus: amountType,
  largestFreeCpus: amountType,
  running: listOf(amountType),
  waiting: listOf(amountType),
  trendPerS: amountType,
  teams: listOf(record('TeamLoad', { team: textType, running: amountType, waiting: amountType })),
  moves: record('MoveCounts', {
    planned: 'long',
    begun: 'long',
    completed: 'long',
    abandoned: 'long',
    inFlight: 'long',
  }),
  refusals: listOf(record('RefusalCount', { reason: textType, count: 'long' })),
});

/** The fields of each kind of message, in wire order. */
const messageFields: Record<PeerMessage['kind'], Record<string, unknown>> = {
  status: {
    member: textType,
    sequence: 'long',
    storeReachable: 'boolean',
    memberIncarnation: 'long',
    partitions: listOf(partitionLoadType),
    misrouted: listOf(misroutedCountType),
    sinceHeartbeatMs: amountType,
    revision: 'long',
  },
  pong: {
    member: textType,
    sequence: 'long',
    storeReachable: 'boolean',
    extended: 'boolean',
    page: 'int',
    pages: 'int',
    cancelled: listOf(cancellationType),
  },
  move: { machine: textType, toPartition: textType, drain: 'boolean' },
  retire: { machine: textType, reason: textType, force: 'boolean' },
  handover: { partition: textType, to: textType },
  balance: { summary: loadSummaryType },
};
const peerMessageType = avro.Type.forSchema(
  Object.entries(messageFields).map(([kind, fields]) => record(kind, fields)) as unknown as avro.Schema,
  { wrapUnions: 'auto' } as never,
);

/** Encodes the content of a frame. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  const { kind, ...fields } = message;
  return peerMessageType.toBuffer({ [kind]: fields });
}

/** Decodes the content of a frame; null if it is malformed. */
export function decodePeerMessage(bytes: Buffer): PeerMessage | null {
  try {
    const branch = peerMessageType.fromBuffer(bytes) as Record<string, object>;
    const kind = Object.keys(branch)[0];
    return kind ? ({ kind, ...branch[kind] } as PeerMessage) : null;
  } catch {
    return null;
  }
}
