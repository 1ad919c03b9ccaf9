/** A map whose entries are dropped some time after they were set. Callers pass the time, in milliseconds of one clock. */
export class ExpiringMap<Key, Value> {
  /** In the order in which they were set. */
  private readonly entries = new Map<Key, { value: Value; setAt: number }>();

  /** `retentionMs`: an entry is dropped by the first `set` that comes this long after its own. */
  constructor(private readonly retentionMs: number) {}

  get size(): number {
    return this.entries.size;
  }

  has(key: Key): boolean {
    return this.entries.has(key);
  }

  get(key: Key): Value | undefined {
    return this.entries.get(key)?.value;
  }

  set(key: Key, value: Value, now: number): void {
    this.dropExpired(now);
    // Deleted first, so that the entry moves to the end of the map.
    this.entries.delete(key);
    this.entries.set(key, { value, setAt: now });
  }

  delete(key: Key): void {
    this.entries.delete(key);
  }

  private dropExpired(now: number): void {
    for (const [key, { setAt }] of this.entries) {
      if (now - setAt < this.retentionMs) return;
      this.entries.delete(key);
    }
  }
}
