// A job bound to one zone loses its machine. Another machine of that zone has room, so the job must go on there.
import { job, LIMA, main, now, sleep } from '../standin/deployment.mjs';

const WAIT_S = 90;
const OTHER = 'lima-norte';
const ZONE = 'callao';
const NOTICE_S = 12.5; // nominal 25 s; "may be half as long"
const LIMIT_CPUS = 48;
const runMs = new Map();
const site = { ...LIMA, bootMs: () => 1500 }; // "at times machines are up within a second or two"

function create(ms, fields) {
  const created = job({ expected_s: ms / 1000, ...fields });
  runMs.set(created.ref, ms);
  return created;
}

await main(
  import.meta.url,
  site,
  { runMs: (piece) => runMs.get(piece.split('/')[0]), machines: [] },
  async (d, trouble) => {
    await d.ready();
    const photos = { urgency: 'idle', snapshot_every_s: 30, snapshot_s: 3 };
    const long = create(180_000, { yard: OTHER, pieces: 2 });
    const filler = create(4000, { yard: OTHER, pieces: 2 });
    const bound = create(60_000, { yard: ZONE, pieces: 2, ...photos });
    const boundFiller = create(4000, { yard: ZONE, pieces: 2 });
    const neighbour = create(180_000, { yard: ZONE, pieces: 2 });
    const on = (ref) => d.cloud.workers().filter((w) => w.live().some((p) => p.job.ref === ref));
    const finished = ({ ref, pieces }) => Array.from({ length: pieces }, (_, i) => d.done.has(`${ref}/${i}`)).every(Boolean);
    await Promise.all([long, filler, bound, boundFiller].map((j) => d.submit(j)));
    while (![long, filler, bound, boundFiller].every(({ ref }) => on(ref).length > 0)) await sleep(50);
    await d.submit(neighbour);
    while (on(neighbour.ref).length === 0 || !finished(filler) || !finished(boundFiller)) await sleep(50);
    await sleep(2000);
    if (on(bound.ref)[0] === on(neighbour.ref)[0]) throw new Error('the two jobs share a machine');
    if (trouble) {
      const [machine] = on(bound.ref);
      machine.notice(NOTICE_S);
      await sleep(NOTICE_S * 1000);
      d.cloud.remove(machine.ref, 'taken back by the cloud');
    }
    const overAt = now();
    let since = null;
    let longest = 0;
    while (now() - overAt < (WAIT_S + 1) * 1000 && !finished(bound)) {
      await sleep(250);
      const fits = (w) => w.yard === ZONE && w.recallAt === null && !w.sick && w.free().cpus >= bound.cpus && w.free().memory_gb >= bound.memory_gb;
      const used = d.cloud.workers().flatMap((w) => w.live()).reduce((sum, p) => sum + p.job.cpus, 0);
      const waits = on(bound.ref).length === 0 && d.cloud.workers().some(fits) && used + bound.cpus <= LIMIT_CPUS;
      since = waits ? (since ?? now()) : null;
      if (since !== null) longest = Math.max(longest, now() - since);
    }
    await d.status(bound.ref);
    d.record('case', 'longest wait while a machine that fits has room', { seconds: longest / 1000 });
    return longest >= WAIT_S * 1000
      ? [`${bound.ref} was left waiting for ${(longest / 1000).toFixed(1)} s while a machine that fits had room and its team was under its limit`]
      : [];
  },
);
