import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateLimiter } from '../../src/transport/rate-limiter';

test('a limiter keeps to its rate, and keeps the reserve for urgent requests', () => {
  const limiter = new RateLimiter(10, 5);
  assert.equal(limiter.tryTake(0, 5), true);
  assert.equal(limiter.tryTake(0, 1), false);
  assert.equal(limiter.tryTake(100, 1), true);
  assert.equal(limiter.tryTake(400, 1, 3), false);
  assert.equal(limiter.tryTake(400, 1), true);
  limiter.drain(500);
  assert.equal(limiter.tryTake(500, 1), false);
});
