import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodePeerMessage, encodePeerMessage } from '../../src/protocol/peer-codec';
import { type PeerMessage } from '../../src/protocol/peers';

test('peer messages are decoded as they were encoded, and malformed frames are rejected', () => {
  const demand = {
    workload: 'w',
    cpus: 1,
    accelerators: 0,
    memoryGb: 2,
    machineTypes: ['a'],
    zones: ['z'],
    spot: true,
    priority: 1,
    tasks: 3,
    expectedS: 9,
  };
  const machine = {
    machine: 'i-1',
    tasks: 1,
    freeCpus: 2,
    freeMemoryGb: 3,
    freeAccelerators: 0,
    idleMs: 0,
    sinceHeartbeatMs: 5,
    quarantined: false,
    preemptionNotice: false,
    transferTarget: '',
    emptyInS: 4,
  };
  const partition = {
    partition: 'p0',
    epoch: 9,
    remainingWork: [1, 0, 0, 0],
    backlog: [0, 2, 0, 0],
    unconfirmed: 2,
    sinceLastJobS: 3,
    demands: [demand],
    machines: [machine],
  };
  const status: PeerMessage = {
    kind: 'status',
    member: 'a',
    sequence: 1,
    storeReachable: true,
    memberIncarnation: 4,
    partitions: [partition],
    misrouted: [{ partition: 'p0', machines: 3 }],
    sinceHeartbeatMs: 1.5,
    revision: 412,
  };
  const messages: PeerMessage[] = [
    {
      kind: 'pong',
      member: 'a',
      sequence: 7,
      storeReachable: false,
      extended: true,
      page: 1,
      pages: 2,
      cancelled: [{ job: 'job-000001', revision: 413 }],
    },
    { kind: 'move', machine: 'i-1', toPartition: 'p1', drain: true },
    { kind: 'retire', machine: 'i-1', reason: 'idle', force: false },
    { kind: 'handover', partition: 'p0', to: 'b' },
  ];
  const throughJson = (value: unknown): unknown => JSON.parse(JSON.stringify(value));
  // Guards against a field that stays in the schema after the code dropped it: that once suppressed every load report.
  for (const message of [status, ...messages])
    assert.deepEqual(throughJson(decodePeerMessage(encodePeerMessage(message))), throughJson(message));
  assert.equal(decodePeerMessage(Buffer.from('GET / HTTP/1.1')), null);
  // Frames truncated at any byte, which include those of an earlier version that end before the fields added since.
  for (const message of [status, ...messages]) {
    const frame = encodePeerMessage(message);
    for (let length = 0; length < frame.length; length++)
      assert.equal(
        decodePeerMessage(frame.subarray(0, length)),
        null,
        `${message.kind} truncated to ${length} bytes`,
      );
    assert.equal(decodePeerMessage(Buffer.concat([frame, Buffer.from([0])])), null, 'one byte too long');
  }
});
