/** Faults that tests inject into a virtual cluster, and how they find whom to hit. */
import { VirtualCluster } from './virtual-cluster';
import { type FakeWorker } from '../standin/fake-worker';
import { type ControllerNode } from './controller-node';

/** What the faults need to know of a controller's status. */
export interface ControllerStatus {
  leading: boolean;
  revision: number;
  store: { requests: number; writes: number };
  partitions: { reports: number; placementPasses: number; started: number }[];
}

/** Does something to a running cluster. */
export type Fault = (cluster: VirtualCluster) => void;

function statusOf({ up, controller }: ControllerNode): ControllerStatus | undefined {
  return up ? (controller?.status() as ControllerStatus | undefined) : undefined;
}

/** The controller that leads; the first one if none does. */
export function leaderNode({ nodes }: VirtualCluster): ControllerNode {
  return (nodes.find((node) => statusOf(node)?.leading) ?? nodes[0]) as ControllerNode;
}

/** The first controller that owns a partition; the first one if none does. */
export function ownerNode({ nodes }: VirtualCluster): ControllerNode {
  return (nodes.find((node) => (statusOf(node)?.partitions.length ?? 0) > 0) ?? nodes[0]) as ControllerNode;
}

/** The index of the controller that leads; 0 if none does. */
export function leaderIndex(cluster: VirtualCluster): number {
  return cluster.nodes.indexOf(leaderNode(cluster));
}

/** The index of the first controller that owns a partition; 0 if none does. */
export function ownerIndex(cluster: VirtualCluster): number {
  return cluster.nodes.indexOf(ownerNode(cluster));
}

/** Does something after so many virtual milliseconds. */
export function later(cluster: VirtualCluster, ms: number, action: () => void): void {
  cluster.time.at(cluster.time.now + ms, action);
}

/** Any of the machines that are up, if there is one. */
function randomWorker(cluster: VirtualCluster): FakeWorker | undefined {
  const workers = [...cluster.cloud.workers.values()];
  return workers[cluster.randomInt(Math.max(1, workers.length))];
}

/** A controller that owns a partition, if there is any. */
export function randomOwner(cluster: VirtualCluster): ControllerNode {
  const owners = cluster.nodes.filter(
    (n) => n.up && (n.controller?.status() as ControllerStatus).partitions.length > 0,
  );
  return (owners[cluster.randomInt(Math.max(1, owners.length))] ?? cluster.nodes[0]) as ControllerNode;
}

/** The state service refuses an owner of a partition alone. */
export function refuseStoreToOwner(cluster: VirtualCluster, ms: number): void {
  const node = randomOwner(cluster);
  node.storeRefuses = true;
  later(cluster, ms, () => (node.storeRefuses = false));
}

/** An owner of a partition is cut from the state service and its peers, but not from its workers. */
export function isolateOwner(cluster: VirtualCluster, ms: number): void {
  const node = randomOwner(cluster);
  node.isolated = true;
  later(cluster, ms, () => (node.isolated = false));
}

/** An owner of a partition does not hear its machines, nor they it, while all else works. */
export function cutOwnerFromWorkers(cluster: VirtualCluster, ms: number): void {
  const node = randomOwner(cluster);
  node.cutFromWorkers = true;
  later(cluster, ms, () => (node.cutFromWorkers = false));
}

/** Half of the machines hang while all controllers start anew. */
export function crashWhileSilent(cluster: VirtualCluster): void {
  for (const worker of cluster.cloud.workers.values()) {
    worker.hung = cluster.randomInt(2) === 0;
    later(cluster, 9000, () => (worker.hung = false));
  }
  cluster.nodes.forEach((_, i) => cluster.crash(i, 1000));
}

/** Another controller than those that own partitions ends, and is back before the outage or within it. */
export function crashNonOwner(cluster: VirtualCluster, ms: number): void {
  const i = cluster.nodes.findIndex(
    (n) => n.up && (n.controller?.status() as ControllerStatus).partitions.length === 0,
  );
  if (i >= 0) cluster.crash(i, ms);
}

/** Sets a fault on about half of the machines, and takes it back after so many milliseconds. */
export function setOnHalfOfWorkers(
  cluster: VirtualCluster,
  what: 'heartbeatsLost' | 'responsesLost' | 'hung',
  ms: number,
): void {
  for (const worker of cluster.cloud.workers.values()) {
    if (cluster.randomInt(2) === 0) continue;
    worker[what] = true;
    later(cluster, ms, () => (worker[what] = false));
  }
}

/** Single faults by name; days draw from them at random. */
export const faults: Record<string, Fault> = {
  crash: (cluster) => cluster.crash(cluster.randomInt(cluster.nodes.length), 3000 + cluster.randomInt(4000)),
  'crash and back at once': (cluster) => cluster.crash(cluster.randomInt(cluster.nodes.length), 150),
  'crash of all': (cluster) => cluster.nodes.forEach((_, i) => cluster.crash(i, 5000 + i * 200)),
  'state outage': (cluster) => cluster.store.startOutage(12_000 + cluster.randomInt(14_000)),
  'state refuses one': (cluster) => refuseStoreToOwner(cluster, 20_000 + cluster.randomInt(15_000)),
  'cut from workers': (cluster) => {
    const node = cluster.nodes[cluster.randomInt(cluster.nodes.length)];
    if (!node) return;
    node.cutFromWorkers = true;
    later(cluster, 15_000, () => (node.cutFromWorkers = false));
  },
  'machine hangs': (cluster) => {
    const worker = randomWorker(cluster);
    if (!worker) return;
    worker.hung = true;
    later(cluster, 4000 + cluster.randomInt(16_000), () => (worker.hung = false));
  },
  'machine hears nothing': (cluster) => {
    const worker = randomWorker(cluster);
    if (!worker) return;
    worker.responsesLost = true;
    later(cluster, 10_000 + cluster.randomInt(25_000), () => (worker.responsesLost = false));
  },
  'cut from the state service and peers': (cluster) =>
    isolateOwner(cluster, 8000 + cluster.randomInt(25_000)),
  'all back at once, some again in the election': (cluster) => {
    cluster.nodes.forEach((_, i) => {
      cluster.crash(i, 100 + cluster.randomInt(300));
      later(cluster, 400 + cluster.randomInt(900), () => cluster.crash(i, 100 + cluster.randomInt(300)));
    });
  },
  'controller stands still': (cluster) => {
    const node = cluster.nodes[cluster.randomInt(cluster.nodes.length)];
    if (node) node.pausedUntil = cluster.time.now + 6000 + cluster.randomInt(20_000);
  },
  'half of the machines die together': (cluster) => {
    for (const name of [...cluster.cloud.workers.keys()])
      if (cluster.randomInt(2) === 0) cluster.cloud.terminateMachine(name);
  },
  'machine taken': (cluster) => {
    const names = [...cluster.cloud.workers.keys()];
    const name = names[cluster.randomInt(Math.max(1, names.length))];
    if (name) cluster.cloud.terminateMachine(name);
  },
  'machine sick': (cluster) => {
    const worker = [...cluster.cloud.workers.values()][0];
    if (worker) worker.failsAllTasks = true;
  },
  'changes are carried out late': (cluster) => {
    cluster.network.delayOneWriteIn = 3;
    later(cluster, 10_000 + cluster.randomInt(10_000), () => (cluster.network.delayOneWriteIn = 0));
  },
  'users cancel what runs while a machine hangs': (cluster) => {
    const worker = randomWorker(cluster);
    if (worker) worker.hung = true;
    later(cluster, 3000 + cluster.randomInt(12_000), () => worker && (worker.hung = false));
    cluster.users.cancelRunningJobs(2);
  },
  'cloud down': (cluster) => {
    cluster.cloud.unavailable = true;
    later(cluster, 15_000, () => (cluster.cloud.unavailable = false));
  },
};
