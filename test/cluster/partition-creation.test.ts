import assert from 'node:assert/strict';
import { test } from 'node:test';
import { keys } from '../../src/protocol/keys';
import { type TransactionBody } from '../standin/transaction-limits';
import { TEAMS, type JobParameters } from './cluster-options';
import { leaderIndex, type ControllerStatus } from './faults';
import { VirtualCluster } from './virtual-cluster';

const RESTART_MS = 6000;
const SUBMITTED_AT = 8000;
const CANCELLED_AT = 12_000;
/** PROTOCOL, "POST /v2/runs/{id}/cancel": a cancellation is repeated for up to 60 s. */
const CANCELLATION_MS = 60_000;
/** No job is left waiting for 90 s while a machine that fits has room. */
const MAX_WAIT_MS = 90_000;
const SEEDS = [1, 2, 3];
const PARTITION_PREFIX = keys.partition('');

/** Number of partition records that a transaction writes. */
function partitionWrites({ apply }: TransactionBody): number {
  return apply.filter((change) => 'set' in change && change.set.startsWith(PARTITION_PREFIX)).length;
}

function jobOf(team: string, runMs: number): JobParameters {
  return {
    ...{ team, tasks: 2, cpus: 1, priority: 'urgent', runMs, expectedS: runMs / 1000 },
    ...{ checkpointIntervalS: 0, checkpointDurationS: 0, image: 'img-0', imageGb: 1 },
  };
}

/** Submits a job of each team that is to run, and one of each team that its user cancels. */
function submitJobsOfAllTeams(cluster: VirtualCluster): void {
  for (const [n, { name }] of TEAMS.entries()) {
    const cancelled = TEAMS.length + n;
    cluster.time.at(SUBMITTED_AT, () => {
      cluster.users.submitJob(n, jobOf(name, 5000));
      cluster.users.submitJob(cancelled, jobOf(name, 300_000));
    });
    cluster.time.at(CANCELLED_AT, () => cluster.users.cancelJob(cancelled));
  }
}

/** Checks that the jobs of all teams have run and that all cancellations were answered, each within its time. */
async function assertAllTeamsServed(cluster: VirtualCluster): Promise<void> {
  await cluster.runUntil(SUBMITTED_AT + MAX_WAIT_MS);
  assert.deepEqual(cluster.rules.violations, []);
  const cancelled = cluster.jobs.list.filter(({ cancelRequested }) => cancelRequested);
  const toRun = cluster.jobs.list.filter(({ cancelRequested }) => !cancelRequested);
  assert.equal(toRun.length, TEAMS.length);
  const waiting = toRun.flatMap((job) => cluster.jobs.incompleteTasks(job));
  assert.deepEqual(waiting, [], 'tasks that were left waiting');
  for (const { ref, team, cancelledAt } of cancelled) {
    const answeredAt = cancelledAt ?? Number.POSITIVE_INFINITY;
    assert.ok(answeredAt <= CANCELLED_AT + CANCELLATION_MS, `cancellation of ${ref} of ${team}`);
  }
  for (const { controller } of cluster.nodes)
    assert.deepEqual((controller?.status() as ControllerStatus).unservedTeams, []);
}

// Guards against accepted jobs that no controller runs: the first leader ended after its first partition record, and the teams of the
// other partition were never served.
test('the first leader ends once it has written a partition record: the jobs of all teams run', async (t) => {
  for (const seed of SEEDS) {
    await t.test(`seed ${seed}`, async () => {
      const cluster = new VirtualCluster(seed);
      let ended = false;
      cluster.store.onApplied = (transaction) => {
        if (ended || partitionWrites(transaction) === 0) return;
        ended = true;
        cluster.crash(leaderIndex(cluster), RESTART_MS);
      };
      submitJobsOfAllTeams(cluster);
      await assertAllTeamsServed(cluster);
      assert.ok(ended, 'the leader was ended');
    });
  }
});

// Guards against the same failure in a cluster whose state store was left with one of the two records by an earlier version.
test('the state store holds only one of two partition records: the other one is created', async (t) => {
  for (const seed of SEEDS) {
    await t.test(`seed ${seed}`, async () => {
      const cluster = new VirtualCluster(seed);
      const record = { teams: [TEAMS[0]?.name], owner: 'velodrome-1', incarnation: 0 };
      const transaction = { if: [], apply: [{ set: keys.partition('p0'), v: record }] };
      await cluster.store.request('POST', '/multi', transaction, () => false);
      submitJobsOfAllTeams(cluster);
      await assertAllTeamsServed(cluster);
    });
  }
});
