import assert from 'node:assert/strict';
import { test } from 'node:test';
import { capacityFor, partitionWorkload, RuntimeEstimator, totalWork } from '../src/index';
import { job, ModelPartition, resourcesFor, task } from './model';

test('work is summed by machine, team and priority, and capacity shows the loss to fragmentation', () => {
  const north = job('a', { priority: 1, expectedS: 100 });
  const south = job('b', { team: 'south', priority: 3 });
  const partition = new ModelPartition([
    {
      id: 'm0',
      cpus: 4,
      images: [],
      tasks: [task(north, 0, { elapsedS: 0 }), task(south, 0, { phase: 'fetching' })],
    },
    { id: 'm1', cpus: 4, images: [], tasks: [task(south, 1)] },
  ]);
  partition.pending.push({ spec: south, taskCount: 3, pendingS: 1, withinGuarantee: false });
  const workload = partitionWorkload(partition, new RuntimeEstimator(), 4);
  assert.equal(workload.freeCpus, 5);
  assert.ok((workload.total.running[1] ?? 0) > 50);
  assert.ok(totalWork(workload.byTeam.get('south')?.queued ?? []) > 600);
  assert.equal(totalWork(workload.byMachine.get('m1')?.queued ?? []), 0);
  assert.deepEqual(capacityFor(resourcesFor(4), partition.machines()), {
    taskCount: 0,
    defragmentedTaskCount: 1,
  });
});
