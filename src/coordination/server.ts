import type { Server } from 'node:http';
import { type Clock } from '../transport/clock';
import { BACKLOG, servePlainRequests } from '../transport/request-server';
import { HttpClient } from '../transport/http-client';
import { type Log } from '../transport/log';
import { ProcessHealth } from '../transport/process-health';
import { listenForPeers, PeerLink } from '../transport/peer-link';
import { type Policy } from '../protocol/policy';
import { type Settings } from '../protocol/settings';
import { type Balancing } from './balancing';
import { Controller } from './controller';
import type { GatewayDependencies } from './gateway';
import { plainRoutes } from './plain-routes';
import { BODY_LIMIT } from './report-gateway';

const STORE_CONNECTIONS = 12;
const WATCH_CONNECTIONS = 2;
const CLOUD_CONNECTIONS = 6;
const HEALTH_AFTER_MS = 20_000;
const KEEP_ALIVE_MS = 120_000;
const LIFE_CHANCES = 2 ** 40;

/** Puts a controller on the network. */
export function serve(
  settings: Settings,
  policy: Policy,
  clock: Clock,
  log: Log,
  balancing: Balancing | null,
): void {
  const links = new Map<string, PeerLink>();
  const controller = new Controller(settings, policy, clock, log, {
    store: new HttpClient(settings.state, STORE_CONNECTIONS),
    watch: new HttpClient(settings.state, WATCH_CONNECTIONS),
    cloud: new HttpClient(settings.cloud, CLOUD_CONNECTIONS),
    toPeer: (member, bytes) => links.get(member)?.send(bytes),
    life: lifeName(settings.member, clock),
    balancing,
  });
  const health = new ProcessHealth();
  clock.after(HEALTH_AFTER_MS, () => health.watch(clock));
  const dependencies: GatewayDependencies = {
    runs: controller.runs,
    report: (report, reply) => controller.report(report, reply),
    ready: () => controller.ready(),
    status: () => ({ ...controller.status(), process: health.summary() }),
    log,
  };
  const front = servePlainRequests({
    route: plainRoutes(dependencies),
    general: once(() => loadGeneralServer(dependencies)),
    maxBody: BODY_LIMIT,
  });
  front.on('error', (error) => log.error({ error }, 'cannot listen'));
  const users = split(settings.listen);
  front.listen(users.port, users.host, BACKLOG);
  const peers = split(settings.peerListen);
  listenForPeers(
    peers.host,
    peers.port,
    (bytes, answer) => controller.fromPeer(bytes, answer),
    (error) => log.error({ error }, 'cannot listen for peers'),
  );
  for (const { member, address } of settings.peers) {
    links.set(member, new PeerLink(address, clock, (bytes) => controller.fromPeer(bytes, () => undefined)));
  }
  controller.start();
}

/** Express and the HTTP server below it: loaded when the first request comes that is not plain, for that takes a while. */
async function loadGeneralServer(dependencies: GatewayDependencies): Promise<Server> {
  const [{ createServer }, { gateway }] = await Promise.all([import('node:http'), import('./gateway')]);
  const server = createServer(gateway(dependencies));
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.requestTimeout = 0;
  return server;
}

function once<T>(make: () => Promise<T>): () => Promise<T> {
  let made: Promise<T> | null = null;
  return () => (made ??= make());
}

/** A name that no other life of any controller has: by the time of day, and chance should two begin in the same moment. */
function lifeName(member: string, clock: Clock): string {
  const chance = Math.floor(Math.random() * LIFE_CHANCES).toString(36);
  return `${member}-${clock.today().getTime().toString(36)}${chance}`;
}

function split(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
