// A team is at its limit on a machine that can't be asked when the controller that acts for it ends; a late copy of an old report of
// that machine reaches the other controllers as a new one begins.
import { request, runCase, sleep, trouble } from '../standin-2/cluster.mjs';

await runCase(
  {
    folder: import.meta.dirname,
    capacity: { 'camion/lima-norte/true': 1, 'camion/callao/true': 1 },
  },
  async (cluster) => {
    for (let i = 0; i < 3; i++) cluster.startNode(i);
    if (!(await cluster.until(() => cluster.ready(0), 20))) return cluster.finish(2, 'no controller is ready');
    const partition = () => cluster.state.keys.get('hb/part/p0');
    if (!(await cluster.until(() => partition() !== undefined, 20))) return cluster.finish(2, 'no partition');
    // Three teams for which the same controller acts.
    const [first, second, third] = partition().v.teams;
    const report = new Map();
    cluster.onReport = (worker, node, body) => {
      if (body.pieces.filter(({ piece, status }) => piece.startsWith('job-000001/') && status === 'running').length === 48) report.set(worker, body);
    };
    await cluster.submit({ ref: 'job-000002', crew: third, pieces: 20, yard: 'callao' }, 0, 20, 200);
    await cluster.submit({ ref: 'job-000001', crew: first, pieces: 48, yard: 'lima-norte' }, 0, 20, 10);
    if (!(await cluster.done('job-000001', 50))) return cluster.finish(2, 'the first job is not done');
    const [muted, oldReport] = [...report][0] ?? [];
    if (!muted?.up) return cluster.finish(2, 'the machine was not kept');
    await cluster.submit({ ref: 'job-000003', crew: second, pieces: 48, yard: 'lima-norte' }, 0, 20, 200);
    const running = () => [...cluster.on].filter(([piece, worker]) => piece.startsWith('job-000003/') && worker === muted).length;
    if (!(await cluster.until(() => running() === 48, 25))) return cluster.finish(2, `the team is not at its limit: ${running()} tasks`);
    await sleep(4000);
    const ownerBefore = partition().v.owner;
    const owner = cluster.nodes.findIndex(({ member }) => member === ownerBefore);
    const others = [0, 1, 2].filter((i) => i !== owner);
    if (trouble) {
      cluster.log(`network: ${muted.name} reaches no controller any more`);
      muted.mute = true;
      await cluster.killNode(owner);
      if (!(await cluster.until(() => partition().v.owner !== ownerBefore, 12, 10))) return cluster.finish(2, 'no new owner');
      cluster.log(`state service: ${partition().v.owner} acts for ${partition().v.teams.join(' ')}`);
      // LATE=0 leaves out the late copy, to see what the other two troubles do alone.
      for (const delay of process.env.LATE === '0' ? [] : [50, 150, 300]) {
        await sleep(delay);
        for (const i of others) {
          const res = await request(cluster.nodes[i].port, 'POST', '/hello', oldReport, { timeoutMs: 4000 });
          cluster.log(`network: late copy of report (shift ${oldReport.shift}, tick ${oldReport.tick}) of ${muted.name} arrives at ${cluster.nodes[i].member}: ${res?.status ?? 'no response'}, ${res?.body?.orders?.length ?? 0} orders`);
        }
      }
    }
    await cluster.submit({ ref: 'job-000004', crew: second, pieces: 44, yard: 'callao' }, others[0], 5, 30);
    // Until after the end of the lease of the machine.
    await sleep(14_000);
    cluster.finish();
  },
);
