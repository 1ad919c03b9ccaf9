import assert from 'node:assert/strict';

/** Replaces a property that exists; returns the function that restores it. */
export function patchProperty(target: object, key: string, descriptor: PropertyDescriptor): () => void {
  assert.ok(key in target, `${key} is no member any more: the guard would not be taken away`);
  const real = Object.getOwnPropertyDescriptor(target, key);
  Object.defineProperty(target, key, { ...descriptor, configurable: true });
  return () => {
    if (real) Object.defineProperty(target, key, real);
    else Reflect.deleteProperty(target, key);
  };
}
