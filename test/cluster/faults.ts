/** Faults that tests inject into a virtual cluster, and the selection of the nodes that they affect. */
import { VirtualCluster } from './virtual-cluster';
import { type FakeWorker } from '../standin/fake-worker';
import { ownedPartitions, type ControllerNode } from './controller-node';

/** The fields of a controller's status that faults and tests read. */
export interface ControllerStatus {
  leading: boolean;
  unservedTeams: string[];
  revision: number;
  store: { requests: number; writes: number };
  partitions: { reports: number; placementPasses: number; started: number }[];
}

/** Injects a fault into a running cluster. */
export type Fault = (cluster: VirtualCluster) => void;

function statusOf({ up, controller }: ControllerNode): ControllerStatus | undefined {
  return up ? (controller?.status() as ControllerStatus | undefined) : undefined;
}

/** The controller that leads, or the first controller if none does. */
export function leaderNode({ nodes }: VirtualCluster): ControllerNode {
  return (nodes.find((node) => statusOf(node)?.leading) ?? nodes[0]) as ControllerNode;
}

/** The first controller that owns a partition, or the first controller if none does. */
export function ownerNode({ nodes }: VirtualCluster): ControllerNode {
  return (nodes.find((node) => (statusOf(node)?.partitions.length ?? 0) > 0) ?? nodes[0]) as ControllerNode;
}

/** The index of the controller that leads; 0 if none does. */
export function leaderIndex(cluster: VirtualCluster): number {
  return cluster.nodes.indexOf(leaderNode(cluster));
}

/** The index of the first controller that owns this partition, or any if none is named; 0 if none does. */
export function ownerIndex(cluster: VirtualCluster, partition?: string): number {
  if (partition === undefined) return cluster.nodes.indexOf(ownerNode(cluster));
  return Math.max(
    0,
    cluster.nodes.findIndex((node) => ownedPartitions(node).includes(partition)),
  );
}

/** Runs an action after a delay in virtual milliseconds. */
export function schedule(cluster: VirtualCluster, ms: number, action: () => void): void {
  cluster.time.at(cluster.time.now + ms, action);
}

/** A random machine that is up; undefined if there is none. */
export function randomWorker(cluster: VirtualCluster): FakeWorker | undefined {
  const workers = [...cluster.cloud.workers.values()];
  return workers[cluster.randomInt(Math.max(1, workers.length))];
}

/** A random controller that owns a partition, or the first controller if none does. */
export function randomOwner(cluster: VirtualCluster): ControllerNode {
  const owners = cluster.nodes.filter(
    (n) => n.up && (n.controller?.status() as ControllerStatus).partitions.length > 0,
  );
  return (owners[cluster.randomInt(Math.max(1, owners.length))] ?? cluster.nodes[0]) as ControllerNode;
}

/** Makes the state store refuse the requests of a random partition owner for `ms` virtual milliseconds. */
export function refuseStoreToOwner(cluster: VirtualCluster, ms: number): void {
  const node = randomOwner(cluster);
  node.storeRefuses = true;
  schedule(cluster, ms, () => (node.storeRefuses = false));
}

/** Disconnects a random partition owner from state store and peers, but not from its workers, for `ms` virtual milliseconds. */
export function isolateOwner(cluster: VirtualCluster, ms: number): void {
  const node = randomOwner(cluster);
  node.isolated = true;
  schedule(cluster, ms, () => (node.isolated = false));
}

/**
 * Delays all heartbeats to a random partition owner beyond their timeout for `ms` virtual milliseconds, so that its machines
 * get no responses. All its other connections work.
 */
export function cutOwnerFromWorkers(cluster: VirtualCluster, ms: number): void {
  const node = randomOwner(cluster);
  node.cutFromWorkers = true;
  schedule(cluster, ms, () => (node.cutFromWorkers = false));
}

/** Makes about half of the machines hang for 9 s, and crashes all controllers, which restart after 1 s. */
export function crashAllWhileWorkersHang(cluster: VirtualCluster): void {
  for (const worker of cluster.cloud.workers.values()) {
    worker.hung = cluster.randomInt(2) === 0;
    schedule(cluster, 9000, () => (worker.hung = false));
  }
  cluster.nodes.forEach((_, i) => cluster.crash(i, 1000));
}

/** Crashes the first controller that is up and owns no partition, if any, and restarts it after `ms` virtual milliseconds. */
export function crashNonOwner(cluster: VirtualCluster, ms: number): void {
  const i = cluster.nodes.findIndex(
    (n) => n.up && (n.controller?.status() as ControllerStatus).partitions.length === 0,
  );
  if (i >= 0) cluster.crash(i, ms);
}

/** Sets a fault on about half of the machines and clears it after `ms` virtual milliseconds. */
export function injectIntoHalfOfWorkers(
  cluster: VirtualCluster,
  fault: 'heartbeatsLost' | 'responsesLost' | 'hung',
  ms: number,
): void {
  for (const worker of cluster.cloud.workers.values()) {
    if (cluster.randomInt(2) === 0) continue;
    worker[fault] = true;
    schedule(cluster, ms, () => (worker[fault] = false));
  }
}

/** Single faults by name; simulations draw from them at random. */
export const faults: Record<string, Fault> = {
  crash: (cluster) => cluster.crash(cluster.randomInt(cluster.nodes.length), 3000 + cluster.randomInt(4000)),
  'crash with immediate restart': (cluster) => cluster.crash(cluster.randomInt(cluster.nodes.length), 150),
  'crash of all controllers': (cluster) => cluster.nodes.forEach((_, i) => cluster.crash(i, 5000 + i * 200)),
  'state store outage': (cluster) => cluster.store.startOutage(12_000 + cluster.randomInt(14_000)),
  'state store refuses an owner': (cluster) =>
    refuseStoreToOwner(cluster, 20_000 + cluster.randomInt(15_000)),
  'controller disconnected from its workers': (cluster) => {
    const node = cluster.nodes[cluster.randomInt(cluster.nodes.length)];
    if (!node) return;
    node.cutFromWorkers = true;
    schedule(cluster, 15_000, () => (node.cutFromWorkers = false));
  },
  'machine hangs': (cluster) => {
    const worker = randomWorker(cluster);
    if (!worker) return;
    worker.hung = true;
    schedule(cluster, 4000 + cluster.randomInt(16_000), () => (worker.hung = false));
  },
  'responses to a machine are lost': (cluster) => {
    const worker = randomWorker(cluster);
    if (!worker) return;
    worker.responsesLost = true;
    schedule(cluster, 10_000 + cluster.randomInt(25_000), () => (worker.responsesLost = false));
  },
  'owner disconnected from state store and peers': (cluster) =>
    isolateOwner(cluster, 8000 + cluster.randomInt(25_000)),
  'all controllers restart at once and again during the election': (cluster) => {
    cluster.nodes.forEach((_, i) => {
      cluster.crash(i, 100 + cluster.randomInt(300));
      schedule(cluster, 400 + cluster.randomInt(900), () => cluster.crash(i, 100 + cluster.randomInt(300)));
    });
  },
  'controller paused': (cluster) => {
    const node = cluster.nodes[cluster.randomInt(cluster.nodes.length)];
    if (node) node.pausedUntil = cluster.time.now + 6000 + cluster.randomInt(20_000);
  },
  'half of the machines terminated': (cluster) => {
    for (const name of [...cluster.cloud.workers.keys()])
      if (cluster.randomInt(2) === 0) cluster.cloud.terminateMachine(name);
  },
  'machine terminated': (cluster) => {
    const names = [...cluster.cloud.workers.keys()];
    const name = names[cluster.randomInt(Math.max(1, names.length))];
    if (name) cluster.cloud.terminateMachine(name);
  },
  'machine fails all its tasks': (cluster) => {
    const worker = [...cluster.cloud.workers.values()][0];
    if (worker) worker.failsAllTasks = true;
  },
  'writes applied late': (cluster) => {
    cluster.network.delayOneWriteIn = 3;
    schedule(cluster, 10_000 + cluster.randomInt(10_000), () => (cluster.network.delayOneWriteIn = 0));
  },
  'running jobs cancelled while a machine hangs': (cluster) => {
    const worker = randomWorker(cluster);
    if (worker) worker.hung = true;
    schedule(cluster, 3000 + cluster.randomInt(12_000), () => worker && (worker.hung = false));
    cluster.users.cancelRunningJobs(2);
  },
  'cloud unavailable': (cluster) => {
    cluster.cloud.unavailable = true;
    schedule(cluster, 15_000, () => (cluster.cloud.unavailable = false));
  },
};
