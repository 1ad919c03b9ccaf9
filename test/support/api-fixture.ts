import { createServer, request, type Server } from 'node:http';
import { type AddressInfo, type Server as NetServer } from 'node:net';
import pino from 'pino';
import { createExpressApp, type ApiDependencies } from '../../src/coordination/requests/express-app';
import { type HeartbeatReply } from '../../src/coordination/requests/heartbeat-gateway';
import { MAX_BODY_BYTES } from '../../src/protocol/message-limits';
import { JobService } from '../../src/coordination/requests/job-service';
import { plainRoutes } from '../../src/coordination/requests/plain-routes';
import { type MachineType } from '../../src/protocol/cloud';
import { type Team } from '../../src/protocol/settings';
import { ReplicaView } from '../../src/storage/replica-view';
import { StateStoreClient } from '../../src/storage/state-store-client';
import { SubmissionBatcher } from '../../src/storage/submission-batcher';
import { type Clock } from '../../src/transport/clock';
import { Metrics } from '../../src/transport/metrics';
import { createRequestServer } from '../../src/transport/request-server';
import { flushPromises, VirtualTime } from '../standin/clock';
import { FakeStateStore } from '../standin/store';
import { SMALL_TYPE } from './machine-types';

export const SILENT_LOG = pino({ level: 'silent' });
const LIMIT = { cpus: 8, accelerators: 0 };
const VISION_TEAM: Team = { name: 'vision', guaranteed: LIMIT, limit: LIMIT };
const VIRTUAL_STEP_MS = 5;

/** A submission as users send it. */
export const SUBMISSION = {
  ref: 'job-000412',
  workload: 'w',
  crew: 'vision',
  shape: 'sweep',
  urgency: 'urgent',
  pieces: 16,
  cpus: 2,
  accelerators: 0,
  memory_gb: 4,
  build: 'img-07',
  image_gb: 6.2,
  models: null,
  yard: null,
  together: true,
  apart: false,
  loaners: true,
  expected_s: 240,
  snapshot_every_s: 30,
  snapshot_s: 4,
};

/** A heartbeat as workers send it. */
export const HEARTBEAT = {
  velodrome: 'i-1',
  address: '10.1.0.2:9000',
  model: 'g8',
  yard: 'a',
  loaners: true,
  shift: 1,
  tick: 1,
  baton: 0,
  recall_s: null,
  pieces: [],
};

/** The only machine type that the API knows by default: the small type, in zone `a` only. */
export const ONE_ZONE_TYPE: MachineType = { ...SMALL_TYPE, zones: ['a'] };

/** Creates a job service for the team `vision` that uses this client of the state store. */
export function createJobService(
  stateStore: StateStoreClient,
  clock: Clock,
  machineTypes: () => readonly MachineType[],
): JobService {
  const replica = new ReplicaView(stateStore.replica, SILENT_LOG);
  const batcher = new SubmissionBatcher(
    { stateStore, replica, clock },
    { valueBytes: 4096, txnOps: 12, processIncarnation: 'a-1' },
  );
  const teams = new Map([[VISION_TEAM.name, VISION_TEAM]]);
  const typesByName = (): ReadonlyMap<string, MachineType> =>
    new Map(machineTypes().map((type) => [type.name, type]));
  return new JobService({
    stateStore,
    replica,
    batcher,
    clock,
    teams,
    machineTypes: typesByName,
    metrics: new Metrics(),
  });
}

/** A response as a user or worker receives it. */
export interface ReceivedResponse {
  status: number;
  body: Record<string, unknown>;
  retryAfter: string | undefined;
}

/** The API over a fake state store, whose virtual time advances only while a request waits for its response. */
export class ApiFixture {
  /** Whether the state store refuses all requests. */
  storeRefuses = false;
  /** The machine types that the API knows; empty if it knows none yet. */
  machineTypes: MachineType[] = [ONE_ZONE_TYPE];
  /** The reply to every heartbeat. */
  heartbeatReply: HeartbeatReply = { kind: 'busy' };
  /** The body of the response to `GET /status`. */
  statusBody: object = {};
  port = 0;
  private readonly time = new VirtualTime();
  private readonly store = new FakeStateStore(this.time);
  private expressServer: Server | null = null;
  private requestServer: NetServer | null = null;

  async start(): Promise<void> {
    const dependencies = await this.dependencies();
    const expressServer = createServer(createExpressApp(dependencies));
    this.expressServer = expressServer;
    this.requestServer = createRequestServer({
      fallbackServer: () => Promise.resolve(expressServer),
      maxBodyBytes: MAX_BODY_BYTES,
      route: plainRoutes(dependencies),
    });
    this.port = await listen(this.requestServer);
  }

  private async dependencies(): Promise<ApiDependencies> {
    const transport = {
      call: (method: string, path: string, body: unknown) =>
        this.store.request(method, path, body, () => this.storeRefuses),
    };
    const clock = this.time.clock(() => true);
    const stateStore = new StateStoreClient(
      { transport, watchTransport: transport, clock, log: SILENT_LOG },
      { requestRate: 1e6, writeRate: 1e6, controllers: 1 },
    );
    const partition = { teams: [VISION_TEAM.name], owner: 'velodrome-0', incarnation: 1 };
    const transaction = { if: [], apply: [{ set: 'hb/part/p0', v: partition }] };
    await this.store.request('POST', '/multi', transaction, () => false);
    void stateStore.followChanges();
    return {
      jobService: createJobService(stateStore, clock, () => this.machineTypes),
      log: SILENT_LOG,
      receiveHeartbeat: (_, respond) => respond(this.heartbeatReply),
      ready: () => this.machineTypes.length > 0,
      status: () => this.statusBody,
    };
  }

  close(): void {
    this.requestServer?.close();
    this.expressServer?.closeAllConnections();
    this.expressServer?.close();
  }

  /** Serves the Express application alone, without the plain routes in front of it; returns its port. */
  serveExpressApp(): Promise<number> {
    return listen(this.expressServer as Server);
  }

  /** Sends a request and advances virtual time until it is answered. */
  async request(method: string, path: string, body?: string, port = this.port): Promise<ReceivedResponse> {
    let pending = true;
    const response = send(method, path, body, port).finally(() => (pending = false));
    while (pending) {
      await this.time.run(this.time.now + VIRTUAL_STEP_MS);
      await flushPromises();
    }
    return response;
  }
}

async function listen(server: NetServer): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

function send(
  method: string,
  path: string,
  body: string | undefined,
  port: number,
): Promise<ReceivedResponse> {
  return new Promise((resolve, reject) => {
    const outgoing = request({ host: '127.0.0.1', port, method, path, agent: false }, (incoming) => {
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
