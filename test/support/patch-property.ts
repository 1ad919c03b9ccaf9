import assert from 'node:assert/strict';

/** Replaces an existing property and returns a function that restores it. */
export function patchProperty(target: object, key: string, descriptor: PropertyDescriptor): () => void {
  assert.ok(key in target, `property ${key} does not exist, so replacing it would have no effect`);
  const real = Object.getOwnPropertyDescriptor(target, key);
  Object.defineProperty(target, key, { ...descriptor, configurable: true });
  return () => {
    if (real) Object.defineProperty(target, key, real);
    else Reflect.deleteProperty(target, key);
  };
}
