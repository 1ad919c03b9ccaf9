import assert from 'node:assert/strict';
import { test } from 'node:test';
import { coefficientOfVariation, Trend } from '../src/index';

test('a trend is positive while a load grows and negative while it falls', () => {
  const trend = new Trend();
  for (let s = 0; s <= 60; s++) trend.observe(1000 + 50 * s, s * 1000);
  assert.ok(trend.changePerS > 40 && trend.changePerS <= 50);
  for (let s = 61; s <= 120; s++) trend.observe(4000 - 50 * (s - 60), s * 1000);
  assert.ok(trend.changePerS < -30);
});

test('the coefficient of variation is 0 for equal or no values, and grows with their difference', () => {
  assert.equal(coefficientOfVariation([3, 3, 3]), 0);
  assert.equal(coefficientOfVariation([]), 0);
  assert.ok(coefficientOfVariation([1, 5]) > coefficientOfVariation([2, 4]));
});
