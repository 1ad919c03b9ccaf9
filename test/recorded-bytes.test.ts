import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodePeerMessage, encodePeerMessage } from '../src/protocol/peer-codec';
import { type PeerMessage } from '../src/protocol/peers';
import {
  decodeBatch,
  decodeFleet,
  decodeProgress,
  encodeAcceptedJob,
  encodeFleet,
  encodeProgress,
} from '../src/protocol/records';
import { keys } from '../src/protocol/keys';

/** Frames between controllers and stored values, as version 0.2.0 first wrote them. Renames in the code must not change them. */
const status: PeerMessage = {
  ...{
    kind: 'status',
    member: 'a',
    sequence: 1,
    storeReachable: true,
    memberIncarnation: 4,
    sinceHeartbeatMs: 1.5,
    revision: 412,
  },
  misrouted: [{ partition: 'p0', machines: 3 }],
  partitions: [
    {
      ...{
        partition: 'p0',
        epoch: 9,
        remainingWork: [1, 0, 0, 0],
        backlog: [0, 2, 0, 0],
        unconfirmed: 2,
        sinceLastJobS: 3,
      },
      demands: [
        {
          ...{ workload: 'w', cpus: 1, accelerators: 0, memoryGb: 2, machineTypes: ['a'], zones: ['z'] },
          ...{ spot: true, priority: 1, tasks: 3, expectedS: 9 },
        },
      ],
      machines: [
        {
          ...{ machine: 'i-1', tasks: 1, freeCpus: 2, freeMemoryGb: 3, freeAccelerators: 0, idleMs: 0 },
          ...{
            sinceHeartbeatMs: 5,
            quarantined: false,
            preemptionNotice: false,
            transferTarget: '',
            emptyInS: 4,
          },
        },
      ],
    },
  ],
};

const frames: [PeerMessage, string][] = [
  [
    status,
    'AAJhAgEIAgRwMBIIAAAAAAAA8D8AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAACAAAAAAAAAAAAAAAAAAAAEAAAAAAAAAAAAAA' +
      'AAAAAAAAAAAAAAAAAAhABAICdwAAAAAAAPA/AAAAAAAAAAAAAAAAAAAAQAICAmEAAgICegABAgYAAAAAAAAiQAACBmktMQIA' +
      'AAAAAAAAQAAAAAAAAAhAAAAAAAAAAAAAAAAAAAAAAAAAAAAAABRAAAACAAAAAAAAABBAAAACBHAwBgAAAAAAAAD4P7gG',
  ],
  [
    {
      ...{ kind: 'pong', member: 'a', sequence: 7, storeReachable: false, extended: true, page: 1, pages: 2 },
      cancelled: [{ job: 'job-000001', revision: 413 }],
    },
    'AgJhDgABAgQCFGpvYi0wMDAwMDG6BgA=',
  ],
  [{ kind: 'move', machine: 'i-1', toPartition: 'p1', drain: true }, 'BAZpLTEEcDEB'],
  [{ kind: 'retire', machine: 'i-1', reason: 'idle', force: false }, 'BgZpLTEIaWRsZQA='],
  [{ kind: 'handover', partition: 'p0', to: 'b' }, 'CARwMAJi'],
];

const throughJson = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

test('frames recorded by earlier builds are decoded and encoded unchanged', async (t) => {
  for (const [message, recorded] of frames) {
    await t.test(message.kind, () => {
      assert.equal(encodePeerMessage(message).toString('base64'), recorded);
      assert.deepEqual(throughJson(decodePeerMessage(Buffer.from(recorded, 'base64'))), throughJson(message));
    });
  }
});

test('values and keys stored by earlier builds are decoded and encoded unchanged', async (t) => {
  await t.test('an accepted job', () => {
    const stored = [
      'job-000001',
      {
        ...{ w: 'w', t: 't', r: 2, n: 5, c: 1, a: 0, m: 2, i: 'i', g: 1, y: ['a'], z: 'z', b: 5, e: 30 },
        ...{ k: 30, s: 3, d: 90 },
      },
      '2026-01-02T03:04:05.678Z',
    ];
    const spec = {
      ...{ ref: 'job-000001', workload: 'w', team: 't', priority: 2, tasks: 5, cpus: 1, accelerators: 0 },
      ...{
        memoryGb: 2,
        image: 'i',
        imageGb: 1,
        machineTypes: ['a'],
        zone: 'z',
        singleZone: true,
        spreadZones: false,
      },
      ...{
        spot: true,
        expectedS: 30,
        checkpointIntervalS: 30,
        checkpointDurationS: 3,
        deadlineS: 90,
        pipeline: null,
      },
    };
    const acceptedAt = '2026-01-02T03:04:05.678Z';
    assert.deepEqual(decodeBatch([stored]), [{ spec, acceptedAt }]);
    assert.deepEqual(throughJson(encodeAcceptedJob({ spec, acceptedAt })), stored);
  });
  await t.test('progress', () => {
    const stored = { 'job-000001': ['0-3,7', 5, 2, 16] };
    const progress = decodeProgress(stored);
    assert.deepEqual(progress?.get('job-000001'), {
      doneRanges: '0-3,7',
      doneCount: 5,
      runningCount: 2,
      startWatermark: 16,
    });
    assert.deepEqual(encodeProgress(progress ?? new Map()), stored);
  });
  await t.test('machines', () => {
    const stored = [
      { since: 7, type: 'a', zone: 'z', spot: true, phase: 'kept', ids: ['i-1'] },
      { type: 'a', zone: 'z', spot: false, phase: 'returning', ids: ['i-2'], why: 'idle' },
    ];
    const fleet = decodeFleet('p0', stored, 9);
    assert.deepEqual(
      [...(fleet ?? [])].map(([id, { record, revision }]) => [id, record.phase, record.reason, revision]),
      [
        ['i-1', 'active', undefined, 7],
        ['i-2', 'deprovisioning', 'idle', 9],
      ],
    );
    const entries = [...(fleet ?? [])].map(
      ([id, entry]) => [id, { record: entry.record, revision: id === 'i-1' ? 7 : null }] as const,
    );
    assert.deepEqual(throughJson(encodeFleet(entries)), stored);
  });
  await t.test('keys', () => {
    const builtKeys = [
      ...[
        keys.member('m'),
        keys.leader,
        keys.catalog,
        keys.partition('p0'),
        keys.batch('b'),
        keys.cancellation('j'),
      ],
      ...[
        keys.terminalStates('p0', 1),
        keys.progress('p0', 2),
        keys.assignedMachines('p0', 3),
        keys.fleet('p0', 'f'),
      ],
    ];
    assert.deepEqual(builtKeys, [
      ...['hb/member/m', 'hb/leader', 'hb/catalog', 'hb/part/p0', 'hb/batch/b', 'hb/cancel/j'],
      ...['hb/final/p0/1', 'hb/progress/p0/2', 'hb/opened/p0/3', 'hb/fleet/p0/f'],
    ]);
  });
});
