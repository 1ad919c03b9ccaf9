import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PartitionJob } from '../../src/coordination/partition/job';
import { MachineState } from '../../src/coordination/partition/machine';
import { Membership } from '../../src/coordination/membership/membership';
import { PartitionCore } from '../../src/coordination/partition/partition-core';
import { LeaseExtensions } from '../../src/coordination/membership/lease-extension';
import { type JobProgress } from '../../src/protocol/records';
import { ReplicaView } from '../../src/storage/replica-view';
import { VirtualCluster } from './virtual-cluster';
import { later, crashWhileSilent, isolateOwner, refuseStoreToOwner, type Fault } from './faults';
import { directedDay, hangingWatchDay, outageAfterRefusalDay } from './directed-days';
import { patchProperty } from '../support/patch-property';

/** Each guard taken away must break a rule on such a day, or the days above would prove nothing. */
const removedGuards: {
  name: string;
  apply: () => () => void;
  fault: Fault;
  breaks: RegExp;
  day?: (seed: number, fault: Fault) => Promise<VirtualCluster>;
}[] = [
  {
    name: 'an extension says nothing of what its giver knows to be cancelled',
    apply: () => patchProperty(ReplicaView.prototype, 'cancelledSince', { value: () => [] }),
    fault: () => undefined,
    breaks: /ran_cancelled/,
    day: outageAfterRefusalDay,
  },
  {
    name: 'an owner answers workers without knowing what was cancelled',
    apply: () => {
      const blind = function (this: Membership): boolean {
        return this.alive();
      };
      return patchProperty(Membership.prototype, 'mayRenewLeases', { value: blind });
    },
    fault: () => undefined,
    breaks: /ran_cancelled/,
    day: hangingWatchDay,
  },
  {
    name: 'new work starts while machines taken over have not seen the new token',
    apply: () => patchProperty(PartitionCore.prototype, 'unconfirmedCount', { get: () => 0 }),
    fault: crashWhileSilent,
    breaks: /ran_twice|quota/,
  },
  {
    name: "a silent machine's tasks count as gone before its lease has run out",
    apply: () => {
      const real = Object.getOwnPropertyDescriptor(
        MachineState.prototype,
        'expireLease',
      ) as PropertyDescriptor;
      const eager = function (this: MachineState, now: number): unknown {
        return (real.value as MachineState['expireLease']).call(this, now, 3000);
      };
      return patchProperty(MachineState.prototype, 'expireLease', { value: eager });
    },
    fault: (cluster) => {
      for (const worker of cluster.cloud.workers.values()) {
        worker.hung = cluster.randomInt(2) === 0;
        later(cluster, 9000, () => (worker.hung = false));
      }
    },
    breaks: /ran_twice|quota/,
  },
  {
    name: 'a controller acts after its session lease has ended',
    apply: () => patchProperty(Membership.prototype, 'alive', { value: () => true }),
    fault: (cluster) => refuseStoreToOwner(cluster, 40_000),
    breaks: /ran_twice|quota|ran_cancelled/,
  },
  {
    name: 'tasks that an earlier owner may have started are started again before all machines have spoken',
    apply: () => {
      const real = PartitionJob.prototype.startableTasks;
      const eager = function (this: PartitionJob, n: number, _settled: boolean, now: number): number[] {
        return real.call(this, n, true, now);
      };
      return patchProperty(PartitionJob.prototype, 'startableTasks', { value: eager });
    },
    fault: crashWhileSilent,
    breaks: /ran_twice/,
  },
  {
    name: 'the next owner is not told how far tasks may have been started',
    apply: () => {
      const real = ReplicaView.prototype.progressOf;
      const forgetful = function (this: ReplicaView, ref: string): JobProgress | null {
        const progress = real.call(this, ref);
        return progress && { ...progress, startWatermark: 0 };
      };
      return patchProperty(ReplicaView.prototype, 'progressOf', { value: forgetful });
    },
    fault: crashWhileSilent,
    breaks: /ran_twice/,
  },
  {
    name: 'the next owner is not told which machines may have tasks on them',
    apply: () =>
      patchProperty(ReplicaView.prototype, 'assignedMachinesInPartition', { value: () => new Set() }),
    fault: crashWhileSilent,
    breaks: /ran_twice/,
  },
  {
    name: 'a controller cut from the state service and peers goes on answering its workers',
    // The bound on what it may not know would stop it as well, so both are taken away.
    apply: () => {
      const restores = [
        patchProperty(Membership.prototype, 'alive', { value: () => true }),
        patchProperty(Membership.prototype, 'mayRenewLeases', { value: () => true }),
      ];
      return () => restores.forEach((restore) => restore());
    },
    fault: (cluster) => isolateOwner(cluster, 40_000),
    breaks: /ran_twice|quota|ran_cancelled/,
  },
  {
    name: 'an extension is given though the store answers',
    apply: () => {
      const real = Object.getOwnPropertyDescriptor(LeaseExtensions.prototype, 'grant') as PropertyDescriptor;
      const loose = function (
        this: LeaseExtensions,
        member: string,
        _seen: boolean,
        _ok: boolean,
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
      return patchProperty(LeaseExtensions.prototype, 'grant', { value: loose });
    },
    fault: (cluster) => refuseStoreToOwner(cluster, 40_000),
    breaks: /ran_twice|quota|ran_cancelled/,
  },
];

test('the days notice a missing guard', async (t) => {
  for (const { name, apply, fault, breaks, day: played = directedDay } of removedGuards) {
    await t.test(name, async () => {
      const whole = await played(1, fault);
      assert.deepEqual(whole.rules.violations, [], 'with the guard in place');
      const restore = apply();
      try {
        const found: string[] = [];
        for (let seed = 1; seed <= 8 && !found.some((b) => breaks.test(b)); seed++) {
          found.push(...(await played(seed, fault)).rules.violations);
        }
        assert.ok(
          found.some((b) => breaks.test(b)),
          `nothing noticed: ${found.join('; ')}`,
        );
      } finally {
        restore();
      }
    });
  }
});
