import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import { type Clock } from '../transport/clock';
import { BACKLOG, serveReports } from '../transport/report-server';
import { HttpClient } from '../transport/http-client';
import { type Log } from '../transport/log';
import { listenForPeers, PeerLink } from '../transport/peer-link';
import { type Policy } from '../protocol/policy';
import { type Settings } from '../protocol/settings';
import { Controller } from './controller';
import { BODY_LIMIT, fastReports, gateway, REPORT_PATH, type GatewayDependencies } from './gateway';

const STORE_CONNECTIONS = 12;
const WATCH_CONNECTIONS = 2;
const CLOUD_CONNECTIONS = 6;

/** Puts a controller on the network. */
export function serve(settings: Settings, policy: Policy, clock: Clock, log: Log): void {
  const links = new Map<string, PeerLink>();
  const controller = new Controller(settings, policy, clock, log, {
    store: new HttpClient(settings.state, STORE_CONNECTIONS),
    watch: new HttpClient(settings.state, WATCH_CONNECTIONS),
    cloud: new HttpClient(settings.cloud, CLOUD_CONNECTIONS),
    toPeer: (member, bytes) => links.get(member)?.send(bytes),
    life: `${settings.member}-${randomUUID().slice(0, 8)}`,
  });
  const dependencies: GatewayDependencies = {
    runs: controller.runs,
    report: (report, reply) => controller.report(report, reply),
    ready: () => controller.ready(),
    status: () => controller.status(),
    log,
  };
  const general = createServer(gateway(dependencies));
  general.keepAliveTimeout = 120_000;
  general.requestTimeout = 0;
  const front = serveReports(REPORT_PATH, fastReports(dependencies), general, BODY_LIMIT);
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

function split(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
