import avro from 'avsc';

/** What waiting tasks of one shape ask for. */
export interface Demand {
  cpus: number;
  accelerators: number;
  memoryGb: number;
  types: string[] | null;
  zone: string | null;
  spot: boolean;
  rank: number;
  /** How many tasks of this shape wait and may run within their team's limit. */
  tasks: number;
  /** How long one of them is expected to run. */
  seconds: number;
  /** Gigabytes of image to fetch before. */
  imageGb: number;
  /** Seconds until the deadline, or null. */
  slackS: number | null;
}

/** How a part's owner sees one of its machines. */
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
  /** The part that gets it once it is empty, LEAVES_FLEET if the cloud does, or null. */
  leavingTo: string | null;
  /** Seconds until its last task is expected to end. */
  emptyInS: number;
}

/** Stands for a part where an emptied machine is to go back to the cloud. */
export const LEAVES_FLEET = '';

export interface PartLoad {
  part: string;
  version: number;
  demands: Demand[];
  machines: MachineLoad[];
  /** CPU seconds that the tasks now out are expected to take still. */
  workLeft: number;
  /** CPU seconds that wait, also beyond what the teams' limits allow now. */
  backlog: number;
  /** Seconds since a job last came. */
  quietS: number;
}

export type PeerMessage =
  | { kind: 'status'; member: string; seq: number; storeOk: boolean; incarnation: number; parts: PartLoad[] }
  /** Answers status `seq`; `promised`: not to take anything of the asker's over for PROMISE_MS from now. */
  | { kind: 'pong'; member: string; seq: number; storeOk: boolean; promised: boolean }
  /**
   * `drain`: the machine may be in use; nothing new is to be put on it, and it moves once it is empty. Naming
   * the part where it is takes that back.
   */
  | { kind: 'move'; machine: string; toPart: string; drain: boolean }
  | { kind: 'retire'; machine: string; why: string; force: boolean }
  | { kind: 'handover'; part: string; to: string };

const nullableStrings = ['null', { type: 'array', items: 'string' }];
const type = avro.Type.forSchema(
  [
    {
      name: 'status',
      type: 'record',
      fields: [
        { name: 'member', type: 'string' },
        { name: 'seq', type: 'long' },
        { name: 'storeOk', type: 'boolean' },
        { name: 'incarnation', type: 'long' },
        {
          name: 'parts',
          type: {
            type: 'array',
            items: {
              name: 'PartLoad',
              type: 'record',
              fields: [
                { name: 'part', type: 'string' },
                { name: 'version', type: 'long' },
                { name: 'workLeft', type: 'double' },
                { name: 'backlog', type: 'double' },
                { name: 'quietS', type: 'double' },
                {
                  name: 'demands',
                  type: {
                    type: 'array',
                    items: {
                      name: 'Demand',
                      type: 'record',
                      fields: [
                        { name: 'cpus', type: 'double' },
                        { name: 'accelerators', type: 'double' },
                        { name: 'memoryGb', type: 'double' },
                        { name: 'types', type: nullableStrings },
                        { name: 'zone', type: ['null', 'string'] },
                        { name: 'spot', type: 'boolean' },
                        { name: 'rank', type: 'int' },
                        { name: 'tasks', type: 'int' },
                        { name: 'seconds', type: 'double' },
                        { name: 'imageGb', type: 'double' },
                        { name: 'slackS', type: ['null', 'double'] },
                      ],
                    },
                  },
                },
                {
                  name: 'machines',
                  type: {
                    type: 'array',
                    items: {
                      name: 'MachineLoad',
                      type: 'record',
                      fields: [
                        { name: 'machine', type: 'string' },
                        { name: 'tasks', type: 'int' },
                        { name: 'freeCpus', type: 'double' },
                        { name: 'freeMemoryGb', type: 'double' },
                        { name: 'freeAccelerators', type: 'double' },
                        { name: 'idleMs', type: 'double' },
                        { name: 'silentMs', type: 'double' },
                        { name: 'faulty', type: 'boolean' },
                        { name: 'noticed', type: 'boolean' },
                        { name: 'leavingTo', type: ['null', 'string'] },
                        { name: 'emptyInS', type: 'double' },
                      ],
                    },
                  },
                },
              ],
            },
          },
        },
      ],
    },
    {
      name: 'pong',
      type: 'record',
      fields: [
        { name: 'member', type: 'string' },
        { name: 'seq', type: 'long' },
        { name: 'storeOk', type: 'boolean' },
        { name: 'promised', type: 'boolean' },
      ],
    },
    {
      name: 'move',
      type: 'record',
      fields: [
        { name: 'machine', type: 'string' },
        { name: 'toPart', type: 'string' },
        { name: 'drain', type: 'boolean' },
      ],
    },
    {
      name: 'retire',
      type: 'record',
      fields: [
        { name: 'machine', type: 'string' },
        { name: 'why', type: 'string' },
        { name: 'force', type: 'boolean' },
      ],
    },
    {
      name: 'handover',
      type: 'record',
      fields: [
        { name: 'part', type: 'string' },
        { name: 'to', type: 'string' },
      ],
    },
  ] as unknown as avro.Schema,
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
