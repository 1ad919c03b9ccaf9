/**
 * Preloaded into a controller under load. Records a CPU profile, memory, garbage collections and event loop delays, and
 * writes them on SIGTERM. Not part of the service.
 */
import { writeFileSync } from 'node:fs';
import { Session, type Profiler } from 'node:inspector';
import { join } from 'node:path';
import { monitorEventLoopDelay, PerformanceObserver } from 'node:perf_hooks';
import { writeHeapSnapshot } from 'node:v8';

const SAMPLING_INTERVAL_US = 1000;
const MEMORY_SAMPLE_INTERVAL_MS = 500;
const NS_PER_MS = 1_000_000;

/** The file that is written for a recorded controller in addition to its CPU profile. */
export interface Recording {
  cpuMs: number;
  wallMs: number;
  peakRssMb: number;
  collections: { count: number; totalMs: number; longestMs: number };
  loopDelayMs: { p50: number; p99: number; max: number };
  memory: { rssMb: number; heapUsedMb: number; externalMb: number }[];
}

const folder = process.env['LOAD_FOLDER'] ?? '.';
const name = process.env['LOAD_NAME'] ?? 'controller';
const startedAt = performance.now();
const session = new Session();
session.connect();
session.post('Profiler.enable');
session.post('Profiler.setSamplingInterval', { interval: SAMPLING_INTERVAL_US });
session.post('Profiler.start');

const loopDelay = monitorEventLoopDelay({ resolution: 20 });
loopDelay.enable();
const collections = { count: 0, totalMs: 0, longestMs: 0 };
new PerformanceObserver((list) => {
  for (const { duration } of list.getEntries()) {
    collections.count++;
    collections.totalMs += duration;
    collections.longestMs = Math.max(collections.longestMs, duration);
  }
}).observe({ entryTypes: ['gc'] });

const memory: Recording['memory'] = [];
const toMb = (bytes: number): number => Math.round(bytes / 1024 / 102.4) / 10;
setInterval(() => {
  const { rss, heapUsed, external } = process.memoryUsage();
  memory.push({ rssMb: toMb(rss), heapUsedMb: toMb(heapUsed), externalMb: toMb(external) });
}, MEMORY_SAMPLE_INTERVAL_MS).unref();

function writeRecording(profile: Profiler.Profile): void {
  const cpu = process.cpuUsage();
  const toMs = (ns: number): number => Math.round(ns / NS_PER_MS);
  const recording: Recording = {
    cpuMs: (cpu.user + cpu.system) / 1000,
    wallMs: performance.now() - startedAt,
    peakRssMb: toMb(process.resourceUsage().maxRSS * 1024),
    collections,
    loopDelayMs: {
      p50: toMs(loopDelay.percentile(50)),
      p99: toMs(loopDelay.percentile(99)),
      max: toMs(loopDelay.max),
    },
    memory,
  };
  writeFileSync(join(folder, `${name}.cpuprofile`), JSON.stringify(profile));
  writeFileSync(join(folder, `${name}.json`), JSON.stringify(recording));
  if (process.env['LOAD_HEAP'] === '1') writeHeapSnapshot(join(folder, `${name}.heapsnapshot`));
}

process.on('SIGTERM', () => {
  session.post('Profiler.stop', (error, result) => {
    if (!error) writeRecording(result.profile);
    process.exit();
  });
});
