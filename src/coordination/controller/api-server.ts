/** The network side of a controller: the port for users and workers, the port for peers, and the links to peers. */
import type { Server } from 'node:http';
import { parseAddress } from '../../transport/address';
import { type Clock } from '../../transport/clock';
import { MAX_PENDING_CONNECTIONS, createRequestServer } from '../../transport/request-server';
import { HttpClient } from '../../transport/http-client';
import { type Log } from '../../transport/log';
import { ProcessHealth } from '../../transport/process-health';
import { listenForPeers, PeerLink } from '../../transport/peer-link';
import { MAX_BODY_BYTES } from '../../protocol/message-limits';
import { type Policy } from '../../protocol/policy';
import { type Settings } from '../../protocol/settings';
import { type LoadBalancing } from '../balancing/balancing';
import { Controller } from './controller';
import type { ApiDependencies } from '../requests/express-app';
import { plainRoutes } from '../requests/plain-routes';

const STORE_CONNECTION_COUNT = 12;
const WATCH_CONNECTION_COUNT = 2;
const CLOUD_CONNECTION_COUNT = 6;
/** How long after startup the monitoring of the process's health begins. */
const HEALTH_MONITORING_DELAY_MS = 20_000;
const KEEP_ALIVE_TIMEOUT_MS = 120_000;
const RANDOM_SUFFIX_RANGE = 2 ** 40;

export interface ControllerServerOptions {
  settings: Settings;
  policy: Policy;
  clock: Clock;
  log: Log;
  /** Null if load balancing is off; load is then balanced only by task placement and fleet planning. */
  balancing: LoadBalancing | null;
}

/** Starts a controller and its servers, which run as long as the process. A port that is in use is logged as an error. */
export function serve({ settings, policy, clock, log, balancing }: ControllerServerOptions): void {
  const peerLinks = new Map<string, PeerLink>();
  const controller = new Controller(settings, policy, clock, log, {
    storeTransport: new HttpClient(settings.stateStoreAddress, STORE_CONNECTION_COUNT),
    watchTransport: new HttpClient(settings.stateStoreAddress, WATCH_CONNECTION_COUNT),
    cloudTransport: new HttpClient(settings.cloudAddress, CLOUD_CONNECTION_COUNT),
    sendToPeer: (member, bytes) => peerLinks.get(member)?.send(bytes),
    processIncarnation: createProcessIncarnation(settings.member, clock),
    balancing,
  });
  const health = new ProcessHealth();
  clock.schedule(HEALTH_MONITORING_DELAY_MS, () => health.startMonitoring(clock));
  const dependencies: ApiDependencies = {
    jobService: controller.jobService,
    receiveHeartbeat: (heartbeat, reply) => controller.receiveHeartbeat(heartbeat, reply),
    ready: () => controller.ready(),
    status: () => ({ ...controller.status(), process: health.summary() }),
    log,
  };
  const requestServer = createRequestServer({
    route: plainRoutes(dependencies),
    fallbackServer: memoize(() => loadExpressServer(dependencies)),
    maxBodyBytes: MAX_BODY_BYTES,
  });
  requestServer.on('error', (error) => log.error({ error }, 'cannot listen for requests'));
  const apiAddress = parseAddress(settings.listenAddress);
  requestServer.listen(apiAddress.port, apiAddress.host, MAX_PENDING_CONNECTIONS);
  const peerAddress = parseAddress(settings.peerListenAddress);
  listenForPeers({
    ...peerAddress,
    onFrame: (bytes, answer) => controller.receiveFrame(bytes, answer),
    onError: (error) => log.error({ error }, 'cannot listen for peers'),
  });
  for (const { member, address } of settings.peers) {
    peerLinks.set(
      member,
      new PeerLink(address, clock, (bytes) => controller.receiveFrame(bytes, () => undefined)),
    );
  }
  controller.start();
}

/** Called only when a request has no plain route, because loading Express and the HTTP server of Node.js delays startup. */
async function loadExpressServer(dependencies: ApiDependencies): Promise<Server> {
  const [{ createServer }, { createExpressApp }] = await Promise.all([
    import('node:http'),
    import('../requests/express-app'),
  ]);
  const server = createServer(createExpressApp(dependencies));
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  server.requestTimeout = 0;
  return server;
}

function memoize<T>(make: () => Promise<T>): () => Promise<T> {
  let result: Promise<T> | null = null;
  return () => (result ??= make());
}

/**
 * Returns a name that no other process of any controller ever has. It contains the wall-clock time, and a random suffix
 * in case two processes start in the same millisecond.
 */
function createProcessIncarnation(member: string, clock: Clock): string {
  const randomSuffix = Math.floor(Math.random() * RANDOM_SUFFIX_RANGE).toString(36);
  return `${member}-${clock.wallClock().getTime().toString(36)}${randomSuffix}`;
}
