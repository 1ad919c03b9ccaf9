import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Command, type HeartbeatTask } from '../../src/protocol/workers';
import { jobSpec } from '../support/job-spec';
import {
  REVISION_AFTER_EPOCH,
  type PartitionCase,
  PartitionHarness,
  startedTasks,
  taskInPhase,
} from '../support/partition-harness';

const cases: PartitionCase[] = [
  [
    'a failed task is retried after a delay, and a machine on which all tasks fail is quarantined',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 8 }));
      let now = 0;
      let commands = partition.heartbeat('m', now);
      assert.equal(commands.length, 4);
      commands = partition.heartbeat(
        'm',
        (now += 2000),
        commands.map((c) => taskInPhase(c, 'exited', 'error')),
      );
      assert.deepEqual(startedTasks(commands), []);
      assert.equal(partition.core.currentLoad(now).machines[0]?.quarantined, true);
      partition.addMachine('n', REVISION_AFTER_EPOCH);
      assert.equal(startedTasks(partition.heartbeat('n', (now += 2000))).length, 4);
    },
  ],
  [
    // Faulty jobs fail on every machine. Because of them, machines on which other jobs succeeded were deprovisioned.
    'a job that succeeds nowhere does not quarantine a machine on which other jobs succeed',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 1 }));
      const [good] = partition.heartbeat('m', 0);
      partition.heartbeat('m', 2000, [taskInPhase(good as Command, 'exited', 'done')]);
      partition.addJob(jobSpec('job-2', { tasks: 8 }));
      const failed = partition.heartbeat('m', 4000).filter((c) => c.op === 'start');
      assert.equal(failed.length, 4);
      const next = partition.heartbeat(
        'm',
        6000,
        failed.map((c) => taskInPhase(c, 'exited', 'error')),
      );
      assert.deepEqual(startedTasks(next), [], 'the job is not retried on this machine at once either');
      assert.equal(partition.core.currentLoad(6000).machines[0]?.quarantined, false);
      assert.deepEqual(failuresInStatus(partition, 6000), {
        quarantinedMachines: 0,
        avoidingJobs: 1,
        failingJobs: 0,
      });
      partition.addJob(jobSpec('job-3', { tasks: 2 }));
      assert.equal(startedTasks(partition.heartbeat('m', 8000)).length, 2);
    },
  ],
  [
    'a machine is quarantined if the tasks of a job fail on it and succeed elsewhere',
    (partition) => {
      partition.addMachine('good', REVISION_AFTER_EPOCH);
      partition.addMachine('bad', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 8 }), REVISION_AFTER_EPOCH);
      const first = partition.heartbeat('good', 0).filter((c) => c.op === 'start');
      const second = partition.heartbeat('bad', 0).filter((c) => c.op === 'start');
      partition.heartbeat(
        'bad',
        2000,
        second.map((c) => taskInPhase(c, 'exited', 'error')),
      );
      partition.heartbeat(
        'good',
        2000,
        first.map((c) => taskInPhase(c, 'exited', 'done')),
      );
      assert.deepEqual(
        partition.core.currentLoad(2000).machines.map((m) => m.quarantined),
        [false, true],
      );
    },
  ],
  [
    'a job that failed on three machines is retried with one task at a time after pauses, and no machines are requested for it',
    (partition) => {
      partition.addJob(jobSpec('job-1', { tasks: 30 }));
      let now = 0;
      for (const id of ['m', 'n', 'o']) {
        partition.addMachine(id, REVISION_AFTER_EPOCH);
        const failed = partition.heartbeat(id, now).filter((c) => c.op === 'start');
        partition.heartbeat(
          id,
          (now += 1000),
          failed.map((c) => taskInPhase(c, 'exited', 'error')),
        );
      }
      assert.equal(partition.core.currentLoad(now).machines.filter((m) => m.quarantined).length, 0);
      assert.deepEqual(partition.core.currentLoad(now).demands, [], 'no demand while the job is paused');
      partition.addJob(jobSpec('job-2', { tasks: 3 }));
      partition.addMachine('p', REVISION_AFTER_EPOCH);
      assert.equal(
        startedTasks(partition.heartbeat('p', now)).length,
        3,
        'another job gets the free resources',
      );
      let attempts = 0;
      for (const until = now + 60_000; now < until; now += 1000) {
        const retried = partition.heartbeat('p', now).filter((c) => c.op === 'start' && c.ref === 'job-1');
        assert.ok(retried.length <= 1);
        attempts += retried.length;
        if (retried[0]) partition.heartbeat('p', now + 500, [taskInPhase(retried[0], 'exited', 'error')]);
      }
      assert.ok(attempts >= 2 && attempts < 10, `${attempts} attempts in a minute`);
    },
  ],
  [
    // After failures on three faulty machines, only one task of a job was started at a time, although its long tasks ran on all
    // others.
    'a job that fails on a few machines and runs on most is not limited to one task',
    (partition) => {
      partition.addJob(jobSpec('job-1', { tasks: 40 }));
      const all = ['m', 'n', 'o', 'p', 'q', 'r', 's'];
      for (const id of all) partition.addMachine(id, REVISION_AFTER_EPOCH);
      const starts = new Map(
        all.map((id) => [id, partition.heartbeat(id, 0).filter((c) => c.op === 'start')]),
      );
      for (const id of ['m', 'n', 'o'])
        partition.heartbeat(
          id,
          1000,
          (starts.get(id) ?? []).map((c) => taskInPhase(c, 'exited', 'error')),
        );
      partition.addMachine('t', REVISION_AFTER_EPOCH);
      assert.equal(startedTasks(partition.heartbeat('t', 1500)).length, 4);
    },
    100,
  ],
  [
    // Guards against a job that is never started again where it failed three times, although the machine has recovered.
    'a job is tried again on a machine on which it failed three times, with one task at first',
    (partition) => {
      addProvenMachine(partition, 'm');
      partition.addJob(jobSpec('job-2', { tasks: 8 }));
      const failedAt = 5000;
      assert.deepEqual(startedTasks(failRound(partition, 'm', failedAt)), []);
      const waitedMs = firstStartAfter(partition, 'm', failedAt) - failedAt;
      assert.ok(waitedMs >= 5000 && waitedMs <= 20_000, `tried again after ${waitedMs} ms`);
    },
    100,
  ],
  [
    // Guards against an array whose long tasks run one after the other on a machine that has recovered.
    'an array is no longer limited to one task on a machine once a task runs for longer than those that failed',
    (partition) => {
      addProvenMachine(partition, 'm');
      partition.addJob(jobSpec('job-2', { tasks: 8 }));
      failRound(partition, 'm', 5000);
      let now = 5000;
      let trial: Command[] = [];
      while (trial.length === 0 && now < 60_000)
        trial = startCommands(partition.heartbeat('m', (now += 1000)));
      assert.equal(trial.length, 1, 'one task at first');
      const [first] = trial as [Command];
      const running = [taskInPhase(first, 'running')];
      assert.deepEqual(startedTasks(partition.heartbeat('m', now + 2000, running)), [], 'no second one yet');
      let started: string[] = [];
      for (const until = now + 40_000; now < until && started.length === 0; now += 1000) {
        partition.core.tick(now + 3000, 0);
        started = startedTasks(partition.heartbeat('m', now + 3000, running));
      }
      assert.equal(started.length, 3, 'the rest of the machine is used while the first task still runs');
    },
    100,
  ],
  [
    // Guards against a quarantine without an end: it used to end only by a success, and a quarantined machine is given no task.
    'a quarantine ends even if the machine is not returned to the cloud, and begins again if the machine still fails',
    (partition) => {
      partition.addMachine('m', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-1', { tasks: 8 }));
      failRound(partition, 'm', 1000);
      assert.equal(isQuarantined(partition, 1000), true);
      const triedAt = firstStartAfter(partition, 'm', 1000);
      assert.ok(triedAt >= 9000 && triedAt <= 30_000, `tried again at ${triedAt} ms`);
      assert.equal(isQuarantined(partition, triedAt), false);
      partition.heartbeat(
        'm',
        triedAt + 1000,
        [...partition.core.machines.get('m')!.tasks.values()].map(failedTask),
      );
      assert.equal(isQuarantined(partition, triedAt + 1000), true);
      assert.ok(firstStartAfter(partition, 'm', triedAt + 1000) - triedAt >= 8000);
    },
    100,
  ],
  [
    // Guards against an end of the pauses that lets a faulty job, or a job on a faulty machine, be started with every heartbeat.
    'neither a faulty job nor a faulty machine is tried often',
    (partition) => {
      addProvenMachine(partition, 'm');
      partition.addMachine('n', REVISION_AFTER_EPOCH);
      partition.addJob(jobSpec('job-2', { tasks: 100 }));
      const starts = { m: 0, n: 0 };
      const failing: Record<string, Command[]> = { m: [], n: [] };
      for (let now = 4000; now < 124_000; now += 1000) {
        for (const id of ['m', 'n'] as const) {
          const reported = (failing[id] ?? []).map(failedTask);
          failing[id] = startCommands(partition.heartbeat(id, now, reported));
          starts[id] += failing[id]?.length ?? 0;
        }
        partition.core.tick(now, 0);
      }
      assert.ok(starts.m <= 24 && starts.n <= 24, `${starts.m} and ${starts.n} starts in two minutes`);
      assert.ok(starts.m >= 6 && starts.n >= 6, 'both are still tried');
    },
    100,
  ],
  [
    // A faulty job was started again and again beside others, whose successes cleared its failures.
    'the successes of other jobs do not end the time for which a job avoids a machine',
    (partition) => {
      addProvenMachine(partition, 'm');
      partition.addJob(jobSpec('job-2', { tasks: 100 }));
      failRound(partition, 'm', 5000);
      partition.addJob(jobSpec('job-3', { tasks: 1 }));
      const [other] = startCommands(partition.heartbeat('m', 6000)) as [Command];
      assert.equal(other.ref, 'job-3');
      assert.deepEqual(
        startedTasks(partition.heartbeat('m', 8000, [taskInPhase(other, 'exited', 'done')])),
        [],
      );
    },
    100,
  ],
  [
    // Guards against an array that fails everywhere and is then started one task at a time, each of which runs for minutes.
    'a job that failed everywhere is started as others are once one of its tasks runs for longer than those that failed',
    (partition) => {
      const ids = ['m', 'n', 'o'];
      failEverywhere(partition, ids);
      const running = new Map<string, Command[]>(ids.map((id) => [id, []]));
      const runningCount = (): number => [...running.values()].reduce((sum, { length }) => sum + length, 0);
      let firstAt: number | undefined;
      for (let now = 2000; now < 90_000 && runningCount() < 12; now += 1000) {
        for (const id of ids) {
          const tasks = running.get(id) ?? [];
          const reported = tasks.map((task) => taskInPhase(task, 'running'));
          tasks.push(...startCommands(partition.heartbeat(id, now, reported)));
        }
        firstAt ??= runningCount() > 0 ? now : undefined;
        if (now < (firstAt ?? now) + 5000) assert.ok(runningCount() <= 1, 'one task at first');
        partition.core.tick(now, 0);
      }
      assert.equal(runningCount(), 12, 'all machines are full, although no task is done');
    },
    100,
  ],
  [
    // Guards against a cluster whose last machine is returned as idle while a job waits for its next attempt.
    'one machine is kept for a job that is retried after pauses, and the others count as idle',
    (partition) => {
      const ids = ['m', 'n', 'o'];
      failEverywhere(partition, ids);
      for (let now = 2000; now <= 8000; now += 1000) {
        for (const id of ids) partition.heartbeat(id, now);
        partition.core.tick(now, 0);
      }
      const idleMs = partition.core.currentLoad(8000).machines.map((machine) => machine.idleMs);
      assert.equal(idleMs.filter((ms) => ms === 0).length, 1, `idle for ${idleMs.join(', ')} ms`);
      assert.equal(idleMs.filter((ms) => ms >= 6000).length, 2, `idle for ${idleMs.join(', ')} ms`);
    },
    100,
  ],
];

/** Adds a machine on which a job has been done by 2 s. */
function addProvenMachine(partition: PartitionHarness, id: string): void {
  partition.addMachine(id, REVISION_AFTER_EPOCH);
  partition.addJob(jobSpec('job-1', { tasks: 1 }));
  const [good] = partition.heartbeat(id, 0) as [Command];
  partition.heartbeat(id, 2000, [taskInPhase(good, 'exited', 'done')]);
}

/** Adds these machines, and a job whose tasks fail on each of them at 1 s. */
function failEverywhere(partition: PartitionHarness, ids: readonly string[]): void {
  partition.addJob(jobSpec('job-1', { tasks: 30 }));
  for (const id of ids) {
    partition.addMachine(id, REVISION_AFTER_EPOCH);
    failRound(partition, id, 1000);
  }
}

/** Starts as many tasks on a machine as it takes, and has them all fail 1 s later, at `failedAt`. Returns the commands of that answer. */
function failRound(partition: PartitionHarness, id: string, failedAt: number): Command[] {
  const failed = startCommands(partition.heartbeat(id, failedAt - 1000));
  return partition.heartbeat(id, failedAt, failed.map(failedTask));
}

function startCommands(commands: readonly Command[]): Command[] {
  return commands.filter(({ op }) => op === 'start');
}

function failedTask(task: Pick<Command, 'ref' | 'index' | 'attempt'>): HeartbeatTask {
  return { ref: task.ref, index: task.index, attempt: task.attempt, phase: 'exited', exit: 'error' };
}

/** The time of the first heartbeat of an empty machine after `from` in whose answer a task is started; it must be a single one. */
function firstStartAfter(partition: PartitionHarness, id: string, from: number): number {
  for (let now = from + 1000; now < from + 90_000; now += 1000) {
    partition.core.tick(now, 0);
    const started = startedTasks(partition.heartbeat(id, now));
    assert.ok(started.length <= 1, 'one task at first');
    if (started.length === 1) return now;
  }
  return Number.POSITIVE_INFINITY;
}

function isQuarantined(partition: PartitionHarness, now: number): boolean | undefined {
  return partition.core.currentLoad(now).machines[0]?.quarantined;
}

/** What the partition's status shows of machines and jobs that are held back because of failures. */
function failuresInStatus(partition: PartitionHarness, now: number): unknown {
  return (partition.core.statusSummary(now) as { failures: unknown }).failures;
}

test('partition: failing tasks', async (t) => {
  for (const [name, run, limit] of cases) await t.test(name, () => run(new PartitionHarness(limit)));
});
