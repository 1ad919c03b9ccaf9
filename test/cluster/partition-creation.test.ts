import assert from 'node:assert/strict';
import { test } from 'node:test';
import { keys } from '../../src/protocol/keys';
import { type TransactionBody } from '../standin/transaction-limits';
import { DEFAULT_OPTIONS, TEAMS, type JobParameters, type TeamSettings } from './cluster-options';
import { leaderIndex, type ControllerStatus } from './faults';
import { jobParameters } from './job-parameters';
import { VirtualCluster } from './virtual-cluster';

const RESTART_MS = 6000;
const SUBMITTED_AT = 8000;
const CANCELLED_AT = 12_000;
/** PROTOCOL, "POST /v2/runs/{id}/cancel": a cancellation is repeated for up to 60 s. */
const CANCELLATION_MS = 60_000;
/** No job is left waiting for 90 s while a machine that fits has room. */
const MAX_WAIT_MS = 90_000;
/** A controller is back and serves its partition before the next one is restarted. */
const ROLL_RESTART_MS = 1000;
const ROLL_INTERVAL_MS = 10_000;
const LONG_RUN_MS = 20_000;
const SEEDS = [1, 2, 3];
const PARTITION_PREFIX = keys.partition('');

function writesPartition({ apply }: TransactionBody): boolean {
  return apply.some((change) => 'set' in change && change.set.startsWith(PARTITION_PREFIX));
}

function urgentJob(team: string, runMs: number): JobParameters {
  return jobParameters({ team, priority: 'urgent', runMs, expectedS: runMs / 1000 });
}

/** Submits a job of each team that is to run, and one of each team that its user cancels. */
function submitJobsOfAllTeams(cluster: VirtualCluster): void {
  cluster.users.faultsEndAt = SUBMITTED_AT;
  for (const [n, { name }] of TEAMS.entries()) {
    const cancelled = TEAMS.length + n;
    cluster.time.at(SUBMITTED_AT, () => {
      cluster.users.submitJob(n, urgentJob(name, 5000));
      cluster.users.submitJob(cancelled, urgentJob(name, 300_000));
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
        if (ended || !writesPartition(transaction)) return;
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

/** Restarts the controllers one after the other, with the teams that the settings have now. */
async function restartInTurn(cluster: VirtualCluster): Promise<void> {
  for (let index = 0; index < cluster.nodes.length; index++) {
    cluster.crash(index, ROLL_RESTART_MS);
    await cluster.runUntil(cluster.time.now + ROLL_INTERVAL_MS);
  }
}

// Guards against accepted jobs that no controller runs: teams that were added to the settings of a cluster belonged to no partition.
test('teams are added to the settings: their jobs run, and those of the other teams go on', async (t) => {
  const cases = [
    { name: 'all partitions exist', initialTeams: TEAMS.slice(0, 2) },
    { name: 'a single team has the only partition', initialTeams: TEAMS.slice(0, 1) },
  ];
  for (const { name, initialTeams } of cases) {
    for (const seed of SEEDS) {
      await t.test(`${name}, seed ${seed}`, async () => {
        let teams: readonly TeamSettings[] = initialTeams;
        const cluster = new VirtualCluster(seed, { ...DEFAULT_OPTIONS, teamsInSettings: () => teams });
        const submit = (n: number, team: string): void =>
          cluster.users.submitJob(n, urgentJob(team, LONG_RUN_MS));
        for (const [n, team] of initialTeams.entries())
          cluster.time.at(SUBMITTED_AT, () => submit(n, team.name));
        await cluster.runUntil(SUBMITTED_AT + 5000);
        teams = TEAMS;
        await restartInTurn(cluster);
        for (const [n, team] of TEAMS.entries()) submit(TEAMS.length + n, team.name);
        await cluster.runUntil(cluster.time.now + MAX_WAIT_MS);
        assert.deepEqual(cluster.rules.violations, []);
        assert.deepEqual(cluster.jobs.unfinished(), []);
        assert.equal(cluster.expiredLeases, 0, 'leases that expired on machines with tasks');
        for (const { controller } of cluster.nodes)
          assert.deepEqual((controller?.status() as ControllerStatus).unservedTeams, []);
      });
    }
  }
});
