// An array of small tasks on a large machine: what a controller tells the worker in one answer, and what the worker can report.
import { runCase, sleep, trouble } from '../standin-2/cluster.mjs';

const MAX_BYTES = 64 * 1024;

await runCase(
  {
    folder: import.meta.dirname,
    capacity: { 'camion/callao/true': 1 },
  },
  async (cluster) => {
    for (let i = 0; i < 3; i++) cluster.startNode(i);
    if (!(await cluster.until(() => cluster.ready(0), 20))) return cluster.finish(2, 'no controller is ready');
    let longest = 0;
    let refused = 0;
    cluster.onReportAnswered = (worker, node, body, res) => {
      const line = Math.max(0, ...(res?.text ?? '').split('\n').map((text) => Buffer.byteLength(text)));
      const bytes = Buffer.byteLength(JSON.stringify(body));
      longest = Math.max(longest, line);
      if (line > MAX_BYTES || bytes > MAX_BYTES || res?.status === 400)
        cluster.log(`${worker.name}: report of ${body.pieces.length} tasks, ${bytes} bytes, answered ${res?.status} by velodrome-${node} with ${res?.body?.orders?.length ?? 0} orders in a line of ${line} bytes`);
      if (res?.status === 400) refused++;
    };
    // With trouble, 4,000 tasks that take a fiftieth of a CPU each; else as many CPUs in larger tasks.
    const pieces = trouble ? 4000 : 80;
    const size = trouble ? { cpus: 0.02, memory_gb: 0.1 } : { cpus: 1, memory_gb: 5 };
    const res = await cluster.submit({ ref: 'job-000001', workload: 'quote-pings', pieces, ...size }, 0, 20, 8);
    if (res?.status !== 201) return cluster.finish(2, 'the job was not accepted');
    const other = await cluster.submit({ ref: 'job-000002', workload: 'pick-plan', crew: 'almacen-02', pieces: 3, cpus: 2 }, 0, 20, 5);
    if (other?.status !== 201) return cluster.finish(2, 'the other job was not accepted');
    const done = await cluster.done('job-000001', 100);
    const otherDone = (await cluster.ask('job-000002', 0))?.body?.status === 'done';
    if (longest > MAX_BYTES) cluster.violate(`a response to a worker has a line of ${longest} bytes, more than ${MAX_BYTES}`);
    if (!done) cluster.violate(`an accepted job must run: job-000001 is not done after 100 s; ${refused} reports answered 400; the other job done: ${otherDone}`);
    await sleep(200);
    cluster.finish();
  },
);
