import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ProcessHealth } from '../../src/transport/process-health';

test('the summary contains memory, garbage collections and event loop delay', () => {
  const health = new ProcessHealth();
  health.recordCollection(3);
  health.recordCollection(9);
  for (const lateMs of [-1, 40, 250, 5]) health.recordTimerDelay(lateMs);
  const { memory, collections, eventLoop } = health.summary();
  assert.deepEqual(collections, { count: 2, totalMs: 12, longestMs: 9 });
  assert.deepEqual(eventLoop, { lastDelayMs: 5, longestDelayMs: 250, heldUp: 1 });
  assert.ok(memory.residentMb > memory.heapMb && memory.heapMb > 0);
});
