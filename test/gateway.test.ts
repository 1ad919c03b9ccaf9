import assert from 'node:assert/strict';
import { createServer, request, type Server } from 'node:http';
import { createConnection, type AddressInfo, type Server as NetServer } from 'node:net';
import { after, before, test } from 'node:test';
import fc from 'fast-check';
import pino from 'pino';
import { createExpressApp, type ApiDependencies } from '../src/coordination/requests/express-app';
import { plainRoutes } from '../src/coordination/requests/plain-routes';
import { MAX_BODY_BYTES, type HeartbeatReply } from '../src/coordination/requests/heartbeat-gateway';
import { Metrics } from '../src/transport/metrics';
import { servePlainRequests } from '../src/transport/request-server';
import { JobService } from '../src/coordination/requests/job-service';
import { ReplicaView } from '../src/storage/replica-view';
import { SubmissionBatcher } from '../src/storage/submission-batcher';
import { StateStoreClient } from '../src/storage/state-store-client';
import { type MachineType } from '../src/protocol/cloud';
import { type Clock } from '../src/transport/clock';
import { type Team } from '../src/protocol/settings';
import { settle, VirtualTime } from './standin/clock';
import { FakeStateStore } from './standin/store';

const log = pino({ level: 'silent' });
const submission = {
  ...{ ref: 'job-000412', workload: 'w', crew: 'vision', shape: 'sweep', urgency: 'urgent', pieces: 16 },
  ...{ cpus: 2, accelerators: 0, memory_gb: 4, build: 'img-07', image_gb: 6.2, models: null, yard: null },
  ...{ together: true, apart: false, loaners: true, expected_s: 240, snapshot_every_s: 30, snapshot_s: 4 },
};
const heartbeat = {
  ...{ velodrome: 'i-1', address: '10.1.0.2:9000', model: 'g8', yard: 'a', loaners: true },
  ...{ shift: 1, tick: 1, baton: 0, recall_s: null, pieces: [] },
};
const type: MachineType = {
  ...{ name: 'small', cpus: 4, accelerators: 0, memoryGb: 16, cacheGb: 50, fetchGbPerS: 1 },
  ...{ price: 0.2, spotPrice: 0.08, bootS: 20, zones: ['a'] },
};

function jobServiceOver(
  ledger: StateStoreClient,
  clock: Clock,
  teams: ReadonlyMap<string, Team>,
  types: () => ReadonlyMap<string, MachineType>,
): JobService {
  const replica = new ReplicaView(ledger.replica, log);
  const batcher = new SubmissionBatcher(
    { stateStore: ledger, replica, clock },
    {
      valueBytes: 4096,
      txnOps: 12,
      processIncarnation: 'a-1',
    },
  );
  return new JobService({
    stateStore: ledger,
    replica,
    batcher,
    clock,
    teams,
    machineTypes: types,
    metrics: new Metrics(),
  });
}

/** The routes over a stand-in store; its time passes only while somebody waits for an answer. */
const time = new VirtualTime();
const store = new FakeStateStore(time);
let storeRefuses = false;
let types: MachineType[] = [type];
let reply: HeartbeatReply = { kind: 'busy' };
let server: NetServer;
let general: Server;
let port = 0;

before(async () => {
  const call = (method: string, path: string, body: unknown): ReturnType<FakeStateStore['request']> =>
    store.request(method, path, body, () => storeRefuses);
  const clock = time.clock(() => true);
  const ledger = new StateStoreClient(
    { transport: { call }, watchTransport: { call }, clock, log },
    {
      requestRate: 1e6,
      writeRate: 1e6,
      controllers: 1,
    },
  );
  const limit = { cpus: 8, accelerators: 0 };
  const teams = new Map([['vision', { name: 'vision', guaranteed: limit, limit }]]);
  const jobService = jobServiceOver(ledger, clock, teams, () => new Map(types.map((t) => [t.name, t])));
  const partition = { teams: ['vision'], owner: 'velodrome-0', incarnation: 1 };
  await store.request(
    'POST',
    '/multi',
    { if: [], apply: [{ set: 'hb/part/p0', v: partition }] },
    () => false,
  );
  void ledger.follow();
  const dependencies: ApiDependencies = {
    jobService,
    log,
    receiveHeartbeat: (_, tell) => tell(reply),
    ready: () => types.length > 0,
    status: () => ({}),
  };
  general = createServer(createExpressApp(dependencies));
  const options = { generalServer: () => Promise.resolve(general), maxBodyBytes: MAX_BODY_BYTES };
  server = servePlainRequests({ ...options, route: plainRoutes(dependencies) });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  port = (server.address() as AddressInfo).port;
});

after(() => server.close());

interface ReceivedResponse {
  status: number;
  body: Record<string, unknown>;
  retryAfter: string | undefined;
}

async function ask(method: string, path: string, body?: string, to = port): Promise<ReceivedResponse> {
  let waiting = true;
  const got = send(method, path, body, to).finally(() => (waiting = false));
  while (waiting) {
    await time.run(time.now + 5);
    await settle();
  }
  return got;
}

function send(method: string, path: string, body: string | undefined, to: number): Promise<ReceivedResponse> {
  return new Promise((resolve, reject) => {
    const outgoing = request({ host: '127.0.0.1', port: to, method, path, agent: false }, (incoming) => {
      let text = '';
      incoming.on('data', (chunk: Buffer) => (text += chunk.toString()));
      incoming.on('end', () =>
        resolve({
          status: incoming.statusCode ?? 0,
          body: JSON.parse(text) as Record<string, unknown>,
          retryAfter: incoming.headers['retry-after'],
        }),
      );
    });
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}

const post = (change: object): [string, string, string] => [
  'POST',
  '/v2/runs',
  JSON.stringify({ ...submission, ...change }),
];

const linked = (
  ref: string,
  pipeline: string,
  job: string,
  type = 'begin_on_commit',
): [string, string, string] => post({ ref, pipeline: { ref: pipeline, after: [{ job, type }] } });
const many = ['small', ...Array.from({ length: 500 }, (_, i) => `type-${i}`)];

test('what users and workers are answered', async (t) => {
  const cases: [string, [string, string, string?], number, RegExp | null, (() => void)?][] = [
    ['not JSON', ['POST', '/v2/runs', '{'], 400, /error/],
    ['no body', ['POST', '/v2/runs', ''], 400, /error/],
    ['not an object', ['POST', '/v2/runs', '"job"'], 400, /not a JSON object/],
    ['over 64 KiB', post({ build: 'x'.repeat(70_000) }), 400, /large/],
    ['a negative amount', post({ cpus: -1 }), 400, /cpus/],
    ['an unknown team', post({ crew: 'nobody' }), 422, /unknown team nobody/],
    ['a task that fits nowhere', post({ memory_gb: 64 }), 422, /no allowed machine type/],
    ["a task over its team's limit", post({ cpus: 9 }), 422, /limit/],
    ['machine types not known yet', post({}), 503, /machine types/, () => (types = [])],
    ['a job nobody submitted', ['GET', '/v2/runs/job-000412'], 404, /no such job/, () => (types = [type])],
    ['a job of no form', ['GET', '/v2/runs/x'], 404, /no such job/],
    ['the store is closed', post({}), 503, /durable/, () => (storeRefuses = true)],
    ['asked while it is', ['GET', '/v2/runs/job-000412'], 503, /no answer yet/],
    ['accepted', post({}), 201, /queued/, () => (storeRefuses = false)],
    ['submitted again', post({}), 200, /queued/],
    ['known for ever, whatever its team looks like by now', post({ crew: 'gone' }), 200, /queued/],
    ['asked', ['GET', '/v2/runs/job-000412'], 200, /queued/],
    ['cancelled', ['POST', '/v2/runs/job-000412/cancel'], 200, /aborted/],
    ['cancelled again', ['POST', '/v2/runs/job-000412/cancel'], 200, /aborted/],
    ['submitted after that', post({}), 200, /aborted/],
    ['an edge of an unknown type', linked('job-5', 'p', 'job-10', 'maybe'), 400, /type/],
    ['an edge to a job nobody knows', linked('job-5', 'p', 'job-10'), 422, /job-10 is not known/],
    ['an edge to itself', linked('job-5', 'p', 'job-5'), 422, /hangs on itself/],
    ['the first of a pipeline', post({ ref: 'job-10', pipeline: { ref: 'p' } }), 201, /queued/],
    ['one that waits for it', linked('job-11', 'p', 'job-10'), 201, /queued/],
    ['that submitted again', linked('job-11', 'p', 'job-10'), 200, /"state":"waiting"/],
    ['that asked', ['GET', '/v2/runs/job-11'], 200, /"ref":"p","state":"waiting","because":"job-10"/],
    ['an edge into another pipeline', linked('job-12', 'q', 'job-10'), 422, /not of this pipeline/],
    ['what it waits for cancelled', ['POST', '/v2/runs/job-10/cancel'], 200, /"aborted"/],
    [
      'then it waits for ever, and its pipeline has failed',
      ['GET', '/v2/runs/job-11'],
      200,
      /queued.*"failed":true/,
    ],
    ['a description too large to be kept', post({ ref: 'job-6', models: many }), 400, /too large/],
    ['cancelling a job nobody submitted', ['POST', '/v2/runs/job-9/cancel'], 404, /no such job/],
    ['a malformed report', ['POST', '/hello', '{}'], 400, /report/],
    ['a report when nothing can be said', ['POST', '/hello', JSON.stringify(heartbeat)], 503, null],
    [
      'a report of a machine of another controller',
      ['POST', '/hello', JSON.stringify(heartbeat)],
      421,
      /"dispatcher":"velodrome-2"/,
      () => (reply = { kind: 'redirect', owner: 'velodrome-2' }),
    ],
    [
      'a report of our machine',
      ['POST', '/hello', JSON.stringify(heartbeat)],
      200,
      /"baton":7,"orders":\[\{"order":"start","piece":"job-1\/2","try":3\}\]/,
      () =>
        (reply = {
          kind: 'answer',
          token: 7,
          commands: [{ op: 'start', ref: 'job-1', index: 2, attempt: 3 }],
        }),
    ],
    ['health', ['GET', '/ready'], 200, null],
    ['an unknown path', ['GET', '/other'], 404, /no such path/],
  ];
  for (const [name, [method, path, body], status, shown, prepare] of cases) {
    await t.test(name, async () => {
      prepare?.();
      const got = await ask(method, path, body);
      assert.equal(got.status, status, JSON.stringify(got.body));
      if (shown) assert.match(JSON.stringify(got.body), shown);
      if (status === 503 && path.startsWith('/v2')) assert.equal(got.retryAfter, '1');
    });
  }
});

test('submissions and questions beyond what can wait for the store are shed at once', async () => {
  const never = { call: () => new Promise<never>(() => undefined) };
  const clock = time.clock(() => true);
  const ledger = new StateStoreClient(
    { transport: never, watchTransport: never, clock, log },
    {
      requestRate: 1e6,
      writeRate: 1e6,
      controllers: 1,
    },
  );
  const limit = { cpus: 8, accelerators: 0 };
  const teams = new Map([['vision', { name: 'vision', guaranteed: limit, limit }]]);
  const runs = jobServiceOver(ledger, clock, teams, () => new Map([['small', type]]));
  for (let n = 0; n < 300; n++) void runs.submit({ ...submission, ref: `job-${n}` });
  const answer = await runs.submit({ ...submission, ref: 'job-1000' });
  assert.equal(answer.status, 429);
  assert.ok((answer.retryAfterS ?? 0) >= 1);
  // Users ask many times as often on some days; what waits too long is answered after they have given up.
  for (let n = 0; n < 400; n++) void runs.status(`job-${n}`);
  const asked = await runs.status('job-1000');
  assert.equal(asked.status, 429);
  assert.ok((asked.retryAfterS ?? 0) >= 1);
  assert.equal(runs.counters.shed, 2);
});

/** Sends these pieces one after the other and gives back all that comes. */
function sendRaw(pieces: string[]): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = createConnection(port, '127.0.0.1');
    let heard = '';
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => (heard += chunk.toString()));
    socket.on('close', () => resolve(heard));
    socket.on('error', reject);
    const next = (): void => {
      const piece = pieces.shift();
      if (piece !== undefined) socket.write(piece, () => setImmediate(next));
    };
    next();
  });
}

test('reports are read straight from the socket, anything else by the general server', async (t) => {
  const body = JSON.stringify(heartbeat);
  const head = (fields = '', path = '/hello', length = body.length): string =>
    `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n${fields}\r\n`;
  const close = 'Connection: close\r\n';
  const chunked = `POST /hello HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n${close}\r\n`;
  const asked = 'GET /ready HTTP/1.1\r\nHost: a\r\n';
  const cases: [string, string[], RegExp][] = [
    ['at once', [head(close) + body], /^HTTP\/1.1 200 OK[^]*"baton":7/],
    [
      'in pieces',
      [head(close).slice(0, 9), head(close).slice(9) + body.slice(0, 5), body.slice(5)],
      /"baton":7/,
    ],
    [
      'one after the other',
      [head() + body, head(close) + body],
      /"baton":7[^]*HTTP\/1.1 200 OK[^]*"baton":7/,
    ],
    ['not JSON', [head(close, '/hello', 3) + '{{{'], /^HTTP\/1.1 400 /],
    ['chunked', [`${chunked}${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`], /200 OK[^]*"baton":7/],
    ['another path after a report', [head() + body, `${asked}${close}\r\n`], /"baton":7[^]*200 OK[^]*\{\}/],
    ['another method first', [`${asked}${close}\r\n`], /^HTTP\/1.1 200 OK/],
    ['too large', [head(close, '/hello', 70_000) + 'x'.repeat(70_000)], /^HTTP\/1.1 400 [^]*large/],
    ['no HTTP at all', ['hello?\r\n\r\n'], /^HTTP\/1.1 400 /],
  ];
  for (const [name, pieces, expected] of cases) {
    await t.test(name, async () => assert.match(await sendRaw(pieces), expected));
  }
});

// A faster answer must not be another one: whatever is asked, the plain routes and express say the same.
test('plain routes answer as the general gateway does', async () => {
  const alone = general.listen(0, '127.0.0.1');
  await new Promise<void>((resolve) => alone.once('listening', resolve));
  const generalPort = (alone.address() as AddressInfo).port;
  const known = { ...submission, ref: 'job-777' };
  assert.equal((await ask('POST', '/v2/runs', JSON.stringify(known))).status, 201);
  // From now on nothing that is asked changes anything.
  assert.equal((await ask('POST', '/v2/runs/job-777/cancel')).status, 200);
  const field = fc.constantFrom(...Object.keys(submission));
  const changed = fc
    .tuple(field, fc.oneof(fc.jsonValue(), fc.constantFrom(1e300, -1, 2 ** 63, 'x'.repeat(300))))
    .map(([name, value]) => JSON.stringify({ ...known, [name]: value }));
  const reordered = fc
    .shuffledSubarray(Object.entries(known), { minLength: Object.keys(known).length })
    .map((entries) => JSON.stringify(Object.fromEntries(entries)));
  const doubled = field.map((name) => `{"${name}":null,${JSON.stringify(known).slice(1)}`);
  const cut = fc.nat(JSON.stringify(known).length).map((n) => JSON.stringify(known).slice(0, n));
  const body = fc.oneof(changed, reordered, doubled, cut, fc.json(), fc.constantFrom('', '\ufeff{}', ' {} '));
  const paths = [
    '/v2/runs',
    '/v2/runs/job-777',
    '/v2/runs/job-888',
    '/v2/runs/job-777/cancel/',
    '/v2/runs/x',
  ];
  const odd = [
    '/v2/runs/',
    '/V2/runs/job-777',
    '/v2/runs/job%2d777',
    '/v2/runs/job-777?a=b',
    '/v2/runs/job-888/cancel',
  ];
  const path = fc.constantFrom(...paths, ...odd, '/ready', '/hello', '/hello/', '/nothing');
  try {
    await fc.assert(
      fc.asyncProperty(fc.constantFrom('GET', 'POST'), path, body, async (method, to, text) => {
        const content = method === 'POST' ? text : undefined;
        const plain = await ask(method, to, content);
        assert.deepEqual(plain, await ask(method, to, content, generalPort));
      }),
      { numRuns: 150 },
    );
  } finally {
    alone.closeAllConnections();
    alone.close();
  }
});
