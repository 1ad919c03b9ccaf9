import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  HeartbeatHandler,
  type HeartbeatHandlerDependencies,
} from '../../src/coordination/partition/heartbeat-handler';
import { FailureStreak } from '../../src/coordination/partition/failure-streak';
import { PartitionJob } from '../../src/coordination/partition/job';
import { MachineState } from '../../src/coordination/partition/machine';
import { Membership } from '../../src/coordination/membership/membership';
import { PartitionCore } from '../../src/coordination/partition/partition-core';
import { PlacementPlan, type MachineRoom } from '../../src/coordination/partition/placement-plan';
import { HeartbeatCapacity } from '../../src/coordination/partition/heartbeat-capacity';
import { takeResources } from '../../src/coordination/partition/resources';
import { StartWatermarkPlan } from '../../src/coordination/partition/start-watermarks';
import { LeaseExtensions } from '../../src/coordination/membership/lease-extension';
import { type JobProgress } from '../../src/protocol/records';
import { ReplicaView } from '../../src/storage/replica-view';
import { VirtualCluster } from './virtual-cluster';
import { schedule, crashAllWhileWorkersHang, isolateOwner, refuseStoreToOwner, type Fault } from './faults';
import {
  runHangingWatch,
  runLargeMachineLoss,
  runTinyTasks,
  runOutageAfterRefusal,
  runWithRepeatedFault,
  runZoneBoundLoss,
} from './directed-days';
import { runLateHeartbeatsAtTakeover } from './late-messages';
import { runMachineRecovery } from './machine-recovery';
import { patchProperty } from '../support/patch-property';

/**
 * Each simulation must violate a rule once its guard is removed. Otherwise simulations without violations would not show that
 * the guards work.
 */
const removedGuards: {
  name: string;
  removeGuard: () => () => void;
  fault: Fault;
  expectedViolation: RegExp;
  run?: (seed: number, fault: Fault) => Promise<VirtualCluster>;
}[] = [
  {
    name: 'a lease extension omits the cancellations that its granter knows',
    removeGuard: () => patchProperty(ReplicaView.prototype, 'cancelledSince', { value: () => [] }),
    fault: () => undefined,
    expectedViolation: /ran_cancelled/,
    run: runOutageAfterRefusal,
  },
  {
    name: 'an owner answers workers without knowing recent cancellations',
    removeGuard: () => {
      const mayRenewWhileMayAct = function (this: Membership): boolean {
        return this.mayAct();
      };
      return patchProperty(Membership.prototype, 'mayRenewLeases', { value: mayRenewWhileMayAct });
    },
    fault: () => undefined,
    expectedViolation: /ran_cancelled/,
    run: runHangingWatch,
  },
  {
    name: 'new tasks start while machines taken over have not seen the new token',
    removeGuard: () => patchProperty(PartitionCore.prototype, 'unconfirmedCount', { get: () => 0 }),
    fault: crashAllWhileWorkersHang,
    expectedViolation: /ran_twice|quota/,
  },
  {
    name: 'the tasks of a silent machine count as gone before its lease has expired',
    removeGuard: () => {
      const real = Object.getOwnPropertyDescriptor(
        MachineState.prototype,
        'expireLease',
      ) as PropertyDescriptor;
      const expireEarly = function (this: MachineState, now: number): unknown {
        return (real.value as MachineState['expireLease']).call(this, now, 3000);
      };
      return patchProperty(MachineState.prototype, 'expireLease', { value: expireEarly });
    },
    fault: (cluster) => {
      for (const worker of cluster.cloud.workers.values()) {
        worker.hung = cluster.randomInt(2) === 0;
        schedule(cluster, 9000, () => (worker.hung = false));
      }
    },
    expectedViolation: /ran_twice|quota/,
  },
  {
    name: 'a controller acts after its session lease has expired',
    removeGuard: () => patchProperty(Membership.prototype, 'mayAct', { value: () => true }),
    fault: (cluster) => refuseStoreToOwner(cluster, 40_000),
    expectedViolation: /ran_twice|quota|ran_cancelled/,
  },
  {
    name: 'tasks that an earlier owner may have started are started again before all machines are confirmed',
    removeGuard: () => {
      const real = PartitionJob.prototype.startableTasks;
      const ignoreUnconfirmed = function (
        this: PartitionJob,
        n: number,
        _allConfirmed: boolean,
        now: number,
      ): number[] {
        return real.call(this, n, true, now);
      };
      return patchProperty(PartitionJob.prototype, 'startableTasks', { value: ignoreUnconfirmed });
    },
    fault: crashAllWhileWorkersHang,
    expectedViolation: /ran_twice/,
  },
  {
    name: 'the next owner does not learn the start watermarks of jobs',
    removeGuard: () => {
      const real = ReplicaView.prototype.progressOf;
      const withoutWatermark = function (this: ReplicaView, ref: string): JobProgress | null {
        const progress = real.call(this, ref);
        return progress && { ...progress, startWatermark: 0 };
      };
      return patchProperty(ReplicaView.prototype, 'progressOf', { value: withoutWatermark });
    },
    fault: crashAllWhileWorkersHang,
    expectedViolation: /ran_twice/,
  },
  {
    name: 'the next owner does not learn which machines may have tasks',
    removeGuard: () =>
      patchProperty(ReplicaView.prototype, 'assignedMachinesInPartition', { value: () => new Set() }),
    fault: crashAllWhileWorkersHang,
    expectedViolation: /ran_twice/,
  },
  {
    name: 'a controller disconnected from the state store and peers keeps answering its workers',
    // The bound on the staleness of its data would stop it as well, so both guards are removed.
    removeGuard: () => {
      const restores = [
        patchProperty(Membership.prototype, 'mayAct', { value: () => true }),
        patchProperty(Membership.prototype, 'mayRenewLeases', { value: () => true }),
      ];
      return () => restores.forEach((restore) => restore());
    },
    fault: (cluster) => isolateOwner(cluster, 40_000),
    expectedViolation: /ran_twice|quota|ran_cancelled/,
  },
  {
    name: 'every lease extension is granted, even while the state store responds, and delays no takeover',
    removeGuard: () => {
      const real = Object.getOwnPropertyDescriptor(LeaseExtensions.prototype, 'grant') as PropertyDescriptor;
      const alwaysGrant = function (
        this: LeaseExtensions,
        member: string,
        _memberKnown: boolean,
        _storeReachable: boolean,
        now: number,
      ): unknown {
        (real.value as LeaseExtensions['grant']).call(this, member, true, false, Number.NEGATIVE_INFINITY);
        return (real.value as LeaseExtensions['grant']).call(
          new LeaseExtensions([], 0),
          member,
          true,
          false,
          now,
        );
      };
      return patchProperty(LeaseExtensions.prototype, 'grant', { value: alwaysGrant });
    },
    fault: (cluster) => refuseStoreToOwner(cluster, 40_000),
    expectedViolation: /ran_twice|quota|ran_cancelled/,
  },
  {
    name: 'free resources count for pending tasks that may not run there when machines are passed over',
    removeGuard: () => {
      const placeAnywhere = (
        planned: { room: MachineRoom; used: boolean },
        job: PartitionJob,
        n: number,
      ): number => {
        planned.used = true;
        return takeResources(planned.room.free, job.spec, n);
      };
      return patchProperty(PlacementPlan.prototype, 'placeOn', { value: placeAnywhere });
    },
    fault: () => undefined,
    expectedViolation: /left_waiting/,
    run: runZoneBoundLoss,
  },
  {
    name: 'start watermarks are shared out although a job that takes its share can be placed nowhere',
    removeGuard: () =>
      patchProperty(StartWatermarkPlan.prototype, 'raiseBlockedJobs', { value: () => undefined }),
    fault: () => undefined,
    expectedViolation: /left_waiting/,
    run: runLargeMachineLoss,
  },
  {
    name: 'an owner reserves quota only for what an unconfirmed heartbeat shows as free',
    removeGuard: () => {
      const reserveFree = function (
        this: { deps: HeartbeatHandlerDependencies },
        machine: MachineState,
      ): void {
        const { machines, unconfirmedMachines, markConfirmed } = this.deps;
        if (machine.confirmed) markConfirmed(machine.id);
        else unconfirmedMachines.set(machine.id, machines.freeOn(machine));
      };
      return patchProperty(HeartbeatHandler.prototype, 'updateConfirmation', { value: reserveFree });
    },
    fault: () => undefined,
    expectedViolation: /quota/,
    run: runLateHeartbeatsAtTakeover,
  },
  {
    name: 'a machine is given more tasks than its worker can report',
    removeGuard: () =>
      patchProperty(HeartbeatCapacity.prototype, 'freeBytes', { get: () => Number.MAX_SAFE_INTEGER }),
    fault: () => undefined,
    expectedViolation: /answer_line/,
    run: runTinyTasks,
  },
  {
    name: 'the time for which failures keep work from a machine does not end',
    removeGuard: () => {
      const add = function (this: FailureStreak): void {
        this.count++;
        this.lastAt = Number.POSITIVE_INFINITY;
      };
      return patchProperty(FailureStreak.prototype, 'add', { value: add });
    },
    fault: () => undefined,
    expectedViolation: /left_waiting/,
    run: (seed) => runMachineRecovery(seed, { jobs: [{ tasks: 1 }], failingMs: 10_000, machines: 1 }),
  },
  {
    name: 'only the success of a task shows that a machine has recovered',
    removeGuard: () => patchProperty(FailureStreak.prototype, 'isOutlivedBy', { value: () => false }),
    fault: () => undefined,
    expectedViolation: /left_waiting/,
    run: (seed) =>
      runMachineRecovery(seed, {
        jobs: [{ tasks: 4, runMs: 100_000 }],
        failingMs: 70_000,
        machines: 1,
      }),
  },
];

test('removing a guard leads to the expected violation', async (t) => {
  for (const { name, removeGuard, fault, expectedViolation, run = runWithRepeatedFault } of removedGuards) {
    await t.test(name, async () => {
      const withGuard = await run(1, fault);
      assert.deepEqual(withGuard.rules.violations, [], 'with the guard in place');
      const restore = removeGuard();
      try {
        const violations: string[] = [];
        for (
          let seed = 1;
          seed <= 8 && !violations.some((violation) => expectedViolation.test(violation));
          seed++
        ) {
          violations.push(...(await run(seed, fault)).rules.violations);
        }
        assert.ok(
          violations.some((violation) => expectedViolation.test(violation)),
          `expected violation not found: ${violations.join('; ')}`,
        );
      } finally {
        restore();
      }
    });
  }
});
