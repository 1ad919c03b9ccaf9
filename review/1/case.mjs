// The first leader crashes while it sets up the work of a new cluster. Afterwards the jobs of all teams must run.
import { job, LIMA, main, now, sleep } from '../standin/deployment.mjs';

const BACK_MS = 6000; // "back about 6 s after an end"
const SLOW_ANSWER_MS = 300; // "Responses typically take under 10 ms, and now and then a few hundred"
const CRASH_AFTER_MS = 100;
const WAIT_S = 90;
const CANCEL_FROM_S = 30;
const CANCEL_S = 60;
const LIMIT_CPUS = 48;
const LONG_MS = 200_000;
const runMs = new Map();
const site = {
  ...LIMA,
  teams: Array.from({ length: 6 }, (_, i) => ({ name: `almacen-0${i}`, cpus: 24, cpus_max: LIMIT_CPUS, gpus: 0, gpus_max: 0 })),
  bootMs: () => 12_000, // 0.6 times 20 s
};

/** The first transaction that records which controller serves which teams is answered slowly; then its sender crashes. */
function before(d, trouble) {
  let seen = false;
  d.store.answerDelay = (controller, body) => {
    if (seen || !body.apply.some((op) => op.set?.startsWith('hb/part/'))) return 0;
    seen = true;
    d.record('store', 'answers a transaction slowly', { controller, paths: body.apply.map((op) => op.set) });
    if (trouble) setTimeout(() => void d.restart(controller, BACK_MS), CRASH_AFTER_MS);
    return SLOW_ANSWER_MS;
  };
}

await main(
  import.meta.url,
  site,
  {
    runMs: (piece) => runMs.get(piece.split('/')[0]),
    machines: LIMA.zones.map((yard) => ({ model: 'mototaxi', yard, loaners: false })),
    before,
  },
  async (d, trouble) => {
    if (trouble) await sleep(BACK_MS);
    await d.ready();
    // One long job for each team: a machine with room is there whichever teams are served.
    const create = (crew, ms, pieces) => {
      const created = job({ crew, workload: 'pick-plan', urgency: 'urgent', pieces, expected_s: ms / 1000 });
      runMs.set(created.ref, ms);
      return created;
    };
    const long = site.teams.map(({ name }) => create(name, LONG_MS, 1));
    const short = site.teams.map(({ name }) => create(name, 8000, 2));
    const answers = new Map(await Promise.all([...long, ...short].map(async (j) => [j.ref, await d.submit(j)])));
    const open = new Map(short.filter((j) => [200, 201].includes(answers.get(j.ref)?.status)).map((j) => [j.ref, j]));
    const live = () => d.cloud.workers().flatMap((w) => w.live());
    const since = new Map();
    const longest = new Map();
    const begunAt = now();
    let cancelled;
    while (open.size > 0 && now() - begunAt < (WAIT_S + 3) * 1000) {
      await sleep(250);
      for (const [ref, j] of open) {
        if ([0, 1].every((i) => d.done.has(`${ref}/${i}`))) open.delete(ref);
        const used = live().filter((p) => p.job.crew === j.crew).reduce((sum, p) => sum + p.job.cpus, 0);
        const room = d.cloud.workers().some((w) => w.free().cpus >= j.cpus && w.free().memory_gb >= j.memory_gb);
        const waits = room && used + j.cpus <= LIMIT_CPUS && !live().some((p) => p.job.ref === ref);
        if (!waits) since.delete(ref);
        else if (!since.has(ref)) since.set(ref, now());
        if (waits) longest.set(ref, Math.max(longest.get(ref) ?? 0, now() - since.get(ref)));
      }
      // A user calls off a job that does not run.
      if (now() - begunAt > CANCEL_FROM_S * 1000 && open.size > 0 && cancelled === undefined) {
        const [ref] = open.keys();
        open.delete(ref);
        cancelled = d.cancel(ref, CANCEL_S * 1000).then((answer) => ({ ref, answer }));
      }
    }
    for (const ref of open.keys()) await d.status(ref);
    const broken = [...open.values()]
      .filter((j) => (longest.get(j.ref) ?? 0) >= WAIT_S * 1000)
      .map((j) => `${j.ref} of ${j.crew} was accepted and left waiting for ${(longest.get(j.ref) / 1000).toFixed(1)} s while a machine that fits had room`);
    const call = await cancelled;
    if (call && call.answer === null) broken.push(`the cancellation of ${call.ref} was not answered within ${CANCEL_S} s`);
    return broken;
  },
);
