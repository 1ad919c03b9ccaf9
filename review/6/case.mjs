// The machine of a partition fails every task that it starts for a while and then recovers; a job was submitted in between.
import { DALA_VELO, runCase, sleep, trouble } from '../standin-2/cluster.mjs';

/** The longest that the pages let a job wait, once the troubles are over, while a machine that fits has room. */
const MAX_WAIT_S = 90;
const seconds = () => performance.now() / 1000;

await runCase(
  {
    folder: import.meta.dirname,
    deployment: DALA_VELO,
    capacity: { 'tulpar/almaty-dc/true': 9, 'tulpar/astana-dc/true': 11, 'tulpar/almaty-dc/false': 3 },
  },
  async (cluster) => {
    for (let i = 0; i < 3; i++) cluster.startNode(i);
    if (!(await cluster.until(() => cluster.ready(0), 20))) return cluster.finish(2, 'no controller is ready');
    const job = (ref) => ({ ref, workload: 'rebalance-plan', crew: 'scooter-unit', urgency: 'urgent', pieces: 1, cpus: 1, memory_gb: 1.2 });
    await cluster.submit(job('job-000001'), 0, 20, 2);
    if (!(await cluster.done('job-000001', 30))) return cluster.finish(2, 'the first job is not done');
    const machines = () => [...cluster.cloud.machines.values()].flatMap(({ worker }) => (worker?.up ? [worker] : []));
    const setFailing = (failing) => {
      for (const worker of machines()) {
        worker.failing = failing;
        cluster.log(`${worker.name}: ${failing ? 'fails every task that it starts from now on' : 'starts tasks as it should again'}`);
      }
    };
    if (machines().length === 0) return cluster.finish(2, 'no machine');
    if (trouble) setFailing(true);
    // The trouble lasts until the job has failed three times, which is well below the 55 to 90 s of the deployment's days.
    let errors = 0;
    cluster.onTaskOff = (why) => void (errors += why === 'error' ? 1 : 0);
    const res = await cluster.submit(job('job-000002'), 0, 20, 5);
    if (res?.status !== 201) return cluster.finish(2, 'the job was not accepted');
    if (trouble) await cluster.until(() => errors === 3, 18);
    else await sleep(8000);
    if (trouble) setFailing(false);
    const overAt = seconds();
    let roomSince = null;
    let waited = 0;
    const isOver = async () => {
      const room = machines().some((worker) => worker.model.cpus - worker.used('cpus') >= 1);
      roomSince = room ? (roomSince ?? seconds()) : null;
      waited = roomSince === null ? 0 : seconds() - Math.max(overAt, roomSince);
      return (await cluster.ask('job-000002', 0))?.body?.status === 'done' || waited > MAX_WAIT_S;
    };
    await cluster.until(isOver, 114 - seconds(), 1000);
    cluster.log(`job-000002 has waited for ${waited.toFixed(1)} s since the trouble was over, while a machine that fits had room`);
    if (waited > MAX_WAIT_S) cluster.violate(`job-000002 is accepted and waits for ${MAX_WAIT_S} s after the trouble while a machine that fits has room and its team is under its limit`);
    cluster.finish();
  },
);
