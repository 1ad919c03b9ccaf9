import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import fc from 'fast-check';
import { parseSubmission } from '../src/protocol/jobs';
import { decodePeerMessage, encodePeerMessage } from '../src/protocol/peer-codec';
import { type PeerMessage } from '../src/protocol/peers';
import { decodeRanges, encodeRanges } from '../src/protocol/task-ranges';
import { parseSettings, type ResourceQuota } from '../src/protocol/settings';
import { parseWatch } from '../src/protocol/store';
import { parseHeartbeat, heartbeatResponse } from '../src/protocol/workers';

const submission = {
  ...{ ref: 'job-000412', workload: 'train', crew: 'vision', shape: 'sweep', urgency: 'urgent', pieces: 16 },
  ...{ cpus: 8, accelerators: 1, memory_gb: 64, build: 'img-07', image_gb: 6.2, models: ['g8'], yard: null },
  ...{ together: true, apart: false, loaners: true, expected_s: 240, snapshot_every_s: 30, snapshot_s: 4 },
  due_s: 900,
};

test('submissions', async (t) => {
  const cases: [string, unknown, RegExp | null][] = [
    ['a full one', submission, null],
    ['unknown fields are ignored', { ...submission, extra: [1] }, null],
    ['what may be null may be left out', { ...submission, models: undefined, due_s: undefined }, null],
    ['not an object', [submission], /not a JSON object/],
    ['nothing', undefined, /not a JSON object/],
    ['a string', 'job-000412', /not a JSON object/],
    ['a missing field', { ...submission, cpus: undefined }, /^cpus: /],
    ['a negative amount', { ...submission, memory_gb: -1 }, /^memory_gb: /],
    ['a non-finite amount', { ...submission, cpus: Number.POSITIVE_INFINITY }, /^cpus: /],
    ['no tasks', { ...submission, pieces: 0 }, /^pieces: /],
    ['too many tasks', { ...submission, pieces: 100_001 }, /^pieces: /],
    ['half a task', { ...submission, pieces: 1.5 }, /^pieces: /],
    ['an id of another form', { ...submission, ref: 'task-1' }, /^ref: /],
    ['an id with a slash', { ...submission, ref: 'job-1/2' }, /^ref: /],
    ['an unknown urgency', { ...submission, urgency: 'asap' }, /^urgency: /],
    ['an unknown shape', { ...submission, shape: 'ring' }, /^shape: /],
    ['a text for a number', { ...submission, expected_s: '240' }, /^expected_s: /],
  ];
  for (const [name, body, reason] of cases) {
    await t.test(name, () => {
      const read = parseSubmission(body);
      assert.equal(read.ok, reason === null);
      if (!read.ok && reason) {
        assert.match(read.reason, reason);
        assert.ok(!read.reason.includes('\n'));
      }
    });
  }
});

test('reports and answers keep to the wire', () => {
  const report = {
    ...{ velodrome: 'i-000231', address: '10.1.0.232:9000', model: 'g8', yard: 'a', loaners: true },
    ...{ shift: 1, tick: 88, baton: 41, recall_s: null },
    pieces: [
      { piece: 'job-000412/3', try: 2, status: 'running' },
      { piece: 'job-000398/0', try: 1, status: 'ended', exit_reason: 'full' },
      { piece: 'job-000398/1', try: 1, status: 'ended', exit_reason: 'something new' },
    ],
  };
  const read = parseHeartbeat(report);
  assert.deepEqual(
    read?.tasks.map((t) => [t.ref, t.index, t.phase, t.exit]),
    [
      ['job-000412', 3, 'running', null],
      ['job-000398', 0, 'exited', 'no_room'],
      ['job-000398', 1, 'exited', 'other'],
    ],
  );
  for (const bad of [
    null,
    {},
    [],
    'report',
    { ...report, shift: 'x' },
    { ...report, tick: 1.5 },
    { ...report, baton: -1 },
    { ...report, velodrome: '' },
    { ...report, velodrome: 'x'.repeat(101) },
    { ...report, loaners: 1 },
    { ...report, recall_s: 'soon' },
    { ...report, pieces: {} },
    { ...report, pieces: [null] },
    { ...report, pieces: [{ piece: 'job-1/-1', try: 1, status: 'running' }] },
    { ...report, pieces: [{ piece: 'job-1/0', try: '1', status: 'running' }] },
    // A name that every object has: looked up in a plain one it was taken for a state.
    { ...report, pieces: [{ piece: 'job-1/0', try: 1, status: 'constructor' }] },
    { ...report, pieces: [{ piece: 'x', try: 1, status: 'running' }] },
  ]) {
    assert.equal(parseHeartbeat(bad), null);
  }
  const answer = heartbeatResponse(41, [
    { op: 'stop', ref: 'job-000377', index: 1, attempt: 1, gracePeriodS: 10 },
  ]);
  assert.deepEqual(answer, {
    baton: 41,
    orders: [{ order: 'kill', piece: 'job-000377/1', try: 1, wind_down_s: 10 }],
  });
});

// A deletion carries no value. Read as malformed, every deletion was lost and the replica stood still.
test('a watch brings deletions', () => {
  const read = parseWatch({
    ledger_rev: 433,
    news: [
      { delete: 'c/d', stamp: 432 },
      { set: 'c/9', v: 1, stamp: 433 },
    ],
  });
  assert.deepEqual(read, {
    revision: 433,
    changes: [
      { key: 'c/d', deleted: true, revision: 432 },
      { key: 'c/9', value: 1, revision: 433 },
    ],
  });
});

test('peers understand each other, and nothing else', () => {
  const demand = {
    ...{
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
    },
  };
  const machine = {
    ...{
      machine: 'i-1',
      tasks: 1,
      freeCpus: 2,
      freeMemoryGb: 3,
      freeAccelerators: 0,
      idleMs: 0,
      sinceHeartbeatMs: 5,
    },
    ...{ quarantined: false, preemptionNotice: false, transferTarget: '', emptyInS: 4 },
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
    ...{
      kind: 'status',
      member: 'a',
      sequence: 1,
      storeOk: true,
      memberIncarnation: 4,
      partitions: [partition],
    },
    ...{ misrouted: [{ partition: 'p0', machines: 3 }], sinceHeartbeatMs: 1.5, revision: 412 },
  };
  const messages: PeerMessage[] = [
    {
      ...{ kind: 'pong', member: 'a', sequence: 7, storeOk: false, extended: true, page: 1, pages: 2 },
      cancelled: [{ job: 'job-000001', revision: 413 }],
    },
    { kind: 'move', machine: 'i-1', toPartition: 'p1', drain: true },
    { kind: 'retire', machine: 'i-1', reason: 'idle', force: false },
    { kind: 'handover', partition: 'p0', to: 'b' },
  ];
  const plain = (value: unknown): unknown => JSON.parse(JSON.stringify(value));
  // A field left in the schema after the code had dropped it once silenced every load report.
  for (const message of [status, ...messages])
    assert.deepEqual(plain(decodePeerMessage(encodePeerMessage(message))), plain(message));
  assert.equal(decodePeerMessage(Buffer.from('GET / HTTP/1.1')), null);
  // A frame cut short, at whatever byte, or of an earlier version, which ends before the fields that came since.
  for (const message of [status, ...messages]) {
    const whole = encodePeerMessage(message);
    for (let length = 0; length < whole.length; length++)
      assert.equal(decodePeerMessage(whole.subarray(0, length)), null, `${message.kind} cut at ${length}`);
    assert.equal(decodePeerMessage(Buffer.concat([whole, Buffer.from([0])])), null, 'too long');
  }
});

test('progress survives being written as ranges; cut short it only forgets', () => {
  fc.assert(
    fc.property(
      fc.uint8Array({ max: 1, maxLength: 300 }),
      fc.integer({ min: 0, max: 2000 }),
      (bits, room) => {
        const text = encodeRanges(bits, (v) => v === 1, room);
        assert.ok(text.length <= room);
        const back = new Uint8Array(bits.length);
        for (const [from, to] of decodeRanges(text)) back.fill(1, from, to + 1);
        bits.forEach((bit, i) => assert.ok(back[i]! <= bit));
        if (room >= 2000) assert.deepEqual(back, bits);
      },
    ),
    { seed: 11 },
  );
});

const settings = {
  ...{
    member: 'velodrome-0',
    site: 'a',
    serve_on: '10.0.0.1:8080',
    cluster_listen: '10.0.0.1:8081',
    peers: [],
  },
  external: { cloud: '10.2.0.2:8443', state: '10.2.0.1:2379' },
  facts: {
    teams: [{ name: 't', cpus: 1, cpus_max: 2 }],
    workers: { report_s: 2, lease_s: 12, cancel_s: 37 },
    state: { rps: 150, write_rps: 25, value_kb: 4, txn_ops: 12 },
    cloud: { rps: 6, list_lag_s: 3 },
  },
};

test('settings: the first bad one is named', () => {
  assert.equal(parseSettings(JSON.stringify({ ...settings, later: 1 })).leaseMs, 12_000);
  const cases: [object, RegExp][] = [
    [{ ...settings, member: 7 }, /^member: /],
    [{ ...settings, serve_on: 'localhost' }, /^serve_on: .*IPv4/],
    [{ ...settings, facts: { ...settings.facts, teams: [] } }, /^facts\.teams: /],
    [{ ...settings, external: { cloud: '1.1.1.1:1' } }, /^external\.state: /],
  ];
  for (const [bad, reason] of cases)
    assert.throws(() => parseSettings(JSON.stringify(bad)), { message: reason });
  assert.throws(() => parseSettings('{'), { message: /^not JSON/ });
});

// Guests' jobs were refused with 422: their limit of 0 was taken for nothing allowed, where it says that there is none.
test('settings: what limits a team', () => {
  const cases: [object, ResourceQuota][] = [
    [
      { cpus: 1, cpus_max: 2, gpus: 0, gpus_max: 1 },
      { cpus: 2, accelerators: 1 },
    ],
    [
      { cpus: 1, cpus_max: 2 },
      { cpus: 2, accelerators: 0 },
    ],
    [
      { cpus: 0, cpus_max: 0 },
      { cpus: Infinity, accelerators: Infinity },
    ],
    [
      { cpus: 0, cpus_max: 8 },
      { cpus: 8, accelerators: 0 },
    ],
  ];
  for (const [team, limit] of cases) {
    const facts = { ...settings.facts, teams: [{ name: 't', ...team }] };
    assert.deepEqual(parseSettings(JSON.stringify({ ...settings, facts })).teams[0]?.limit, limit);
  }
});

test('the program answers for itself and refuses bad settings with code 2', () => {
  const folder = mkdtempSync(join(tmpdir(), 'heathbridge-'));
  const main = join(__dirname, '..', 'src', 'main.js');
  const run = (...args: string[]): ReturnType<typeof spawnSync> =>
    spawnSync(process.execPath, [main, ...args], { encoding: 'utf8' });
  try {
    const bad = join(folder, 'bad.json');
    writeFileSync(bad, JSON.stringify({ ...settings, facts: { ...settings.facts, cloud: { rps: 0 } } }));
    const refused = run('--config', bad);
    assert.equal(refused.status, 2);
    assert.match(String(refused.stderr), /bad\.json: facts\.cloud\.rps: /);
    assert.equal(String(refused.stderr).trim().split('\n').length, 1);
    assert.equal(run('--config', join(folder, 'none.json')).status, 2);
    assert.match(String(run('--version').stdout), /^\d+\.\d+\.\d+\n$/);
    assert.match(String(run('--help').stdout), /serve[^]*check[^]*submit[^]*status[^]*cancel/);
    assert.match(String(run('serve', '--help').stdout), /--config <file>/);
  } finally {
    rmSync(folder, { recursive: true });
  }
});
