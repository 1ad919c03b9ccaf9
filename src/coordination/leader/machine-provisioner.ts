import { type ProvisionRequest } from '../../protocol/cloud';
import { type MachineRecord } from '../../protocol/records';
import { type FleetAction } from '../fleet/fleet-snapshot';
import { kindKey, type MachineKind } from '../partition/placement';
import { type FleetHistory } from '../fleet/fleet-history';
import { type CloudClient, type ProvisionResult } from './cloud-client';
import { type MachineRegistry } from './machine-registry';

const MAX_MACHINES_PER_CALL = 50;
const MAX_CALLS_PER_KIND = 3;
/** How long a kind of machine is left out of planning after the cloud had too few of it. */
const CAPACITY_EXHAUSTED_MS = 12_000;

/** One call to the cloud for machines of one kind, and the partitions that they are for. */
export interface ProvisionCall {
  request: ProvisionRequest;
  /** One partition for each requested machine. */
  partitions: readonly string[];
}

export interface MachineProvisionerDependencies {
  cloud: CloudClient;
  registry: MachineRegistry;
  history: FleetHistory;
  /** Returns an id that no other request of any controller has. */
  nextRequestId: () => string;
  onResult: (call: ProvisionCall, result: ProvisionResult) => void;
}

/** Requests machines from the cloud and records what it provisions. */
export class MachineProvisioner {
  private readonly exhaustedUntil = new Map<string, number>();
  /** Kinds of which the cloud had too few when it was last asked for some. */
  private readonly refusedKinds = new Set<string>();

  constructor(private readonly deps: MachineProvisionerDependencies) {}

  /** Whether the cloud had too few machines of this kind within the last CAPACITY_EXHAUSTED_MS. */
  isExhausted(kind: MachineKind, now: number): boolean {
    return (this.exhaustedUntil.get(kindKey(kind)) ?? Number.NEGATIVE_INFINITY) > now;
  }

  /** Whether the cloud had too few machines of this kind when it was last asked for some. */
  wasRefused(kind: MachineKind): boolean {
    return this.refusedKinds.has(kindKey(kind));
  }

  /** Requests the machines of scale-out actions. Calls are limited, so machines of one kind share calls across partitions. */
  requestMachines(actions: readonly FleetAction[]): void {
    for (const [key, { kind, partitions }] of groupByKind(actions)) {
      // The cloud may have only a few machines of a kind that was exhausted before. A single call shows whether it has any.
      const maxCalls = this.exhaustedUntil.has(key) ? 1 : MAX_CALLS_PER_KIND;
      const count = Math.min(maxCalls * MAX_MACHINES_PER_CALL, partitions.length);
      for (let i = 0; i < count && this.deps.cloud.tryAcquireCall(); i += MAX_MACHINES_PER_CALL)
        this.call(kind, partitions.slice(i, i + MAX_MACHINES_PER_CALL));
    }
  }

  private call(kind: ProvisionRequest, partitions: readonly string[]): void {
    const { cloud, history, nextRequestId, onResult } = this.deps;
    for (const partition of partitions) history.adjustProvisionsInFlight(partition, kind, 1);
    const request = { ...kind, count: partitions.length };
    void cloud
      .provision(nextRequestId(), request)
      .then((result) => onResult({ request, partitions }, result));
  }

  /** Records the machines that a call provisioned. Until they are recorded, the requested machines count as being provisioned. */
  handleResult({ request, partitions }: ProvisionCall, result: ProvisionResult, now: number): void {
    const { registry, history } = this.deps;
    const provisioned = result.kind === 'provisioned' ? result.machines : [];
    if (result.kind !== 'unknown') this.recordCapacity(request, provisioned.length, now);
    const endProvisioning = (): void => {
      for (const partition of partitions) history.adjustProvisionsInFlight(partition, request, -1);
    };
    // The cloud's list may have shown some of the machines before the response arrived.
    const machines = provisioned.filter((id) => !registry.knows(id));
    if (machines.length === 0) return endProvisioning();
    for (const id of machines) history.getOrCreateHistory(id, now);
    const { type, zone, spot } = request;
    const records = machines.map((id, i): [string, MachineRecord] => [
      id,
      { partition: partitions[i % partitions.length] ?? '', phase: 'active', type, zone, spot },
    ]);
    void registry.record(records).then(endProvisioning);
  }

  private recordCapacity(request: ProvisionRequest, provisioned: number, now: number): void {
    const key = kindKey(request);
    this.refusedKinds.delete(key);
    if (provisioned >= request.count) return;
    this.refusedKinds.add(key);
    this.exhaustedUntil.set(key, now + CAPACITY_EXHAUSTED_MS);
  }
}

function groupByKind(
  actions: readonly FleetAction[],
): Map<string, { kind: ProvisionRequest; partitions: string[] }> {
  const groups = new Map<string, { kind: ProvisionRequest; partitions: string[] }>();
  for (const action of actions) {
    if (action.kind !== 'scale-out') continue;
    const key = kindKey(action.request);
    const group = groups.get(key) ?? { kind: action.request, partitions: [] };
    group.partitions.push(action.partition);
    groups.set(key, group);
  }
  return groups;
}
