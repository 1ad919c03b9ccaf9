import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type JobParameters, type VirtualClusterOptions } from './cluster-options';
import { jobParameters } from './job-parameters';
import { VirtualCluster } from './virtual-cluster';

const SIMULATION_MS = 160_000;
/** Runs until the end. */
const LONG_RUN_MS = 400_000;
const FILLED_AT = 3000;
const SUBMITTED_AT = 9000;

/** The jobs that must be done, and those that use all CPUs of the machines until the end. */
interface Scenario {
  job: Partial<JobParameters>;
  fillers?: Partial<JobParameters>[];
  options?: Partial<VirtualClusterOptions>;
}

const ONE_MACHINE = { maxMachines: 1, initialMachines: [{ type: 'small', count: 1 }] };
const NO_MACHINE = { initialMachines: [] };
const FILLER = { tasks: 4, runMs: LONG_RUN_MS, expectedS: 100 };

const scenarios: Record<string, Scenario> = {
  'the cluster has no machine': { job: { cpus: 0 }, options: NO_MACHINE },
  'the tasks are expected to take no time either': { job: { cpus: 0, expectedS: 0 }, options: NO_MACHINE },
  'the CPUs of the only machine are in use': { job: { cpus: 0 }, fillers: [FILLER], options: ONE_MACHINE },
  'an array beside a machine whose CPUs are in use': {
    job: { cpus: 0, tasks: 40, runMs: 3000 },
    fillers: [FILLER],
    options: ONE_MACHINE,
  },
};

// Guards against jobs that are accepted and never run because their tasks take no CPUs: the work that they were expected to be was 0,
// and a machine without free CPUs was given no tasks.
test('a job whose tasks take no CPUs is run', async (t) => {
  for (const [name, { job, fillers = [], options }] of Object.entries(scenarios)) {
    for (const seed of [1, 2]) {
      await t.test(`${name}, seed ${seed}`, async () => {
        const cluster = new VirtualCluster(seed, {
          controllers: 2,
          maxMachines: 4,
          teamLimitFactor: 1,
          ...options,
        });
        cluster.users.faultsEndAt = SUBMITTED_AT;
        for (const [n, filler] of fillers.entries())
          cluster.time.at(FILLED_AT, () => cluster.users.submitJob(900 + n, jobParameters(filler)));
        cluster.time.at(SUBMITTED_AT, () => cluster.users.submitJob(1, jobParameters(job)));
        await cluster.runUntil(SIMULATION_MS);
        assert.deepEqual(cluster.rules.violations, []);
        assert.equal(cluster.jobs.byRef('job-000001')?.terminalStatus, 'done');
      });
    }
  }
});
