/** Number of tokens that one owner may use for a machine, in increasing order. */
const TOKENS_PER_EPOCH = 1024;

/**
 * The fencing token of a machine's worker, which obeys no answer with a lower one. All tokens of an owner are above those of earlier owners.
 */
export class FencingToken {
  /** Whether the worker has shown the current token, which proves that answers reach it. */
  acknowledged = false;
  /** Difference between the current token and this owner's first one; less than `TOKENS_PER_EPOCH`. */
  private offset = 0;

  /** This owner's first token. `revision`: the larger of those of the records of the partition and the machine. */
  first(revision: number): number {
    return revision * TOKENS_PER_EPOCH;
  }

  /** The token to answer with; `requireNew` increases it. */
  current(revision: number): number {
    return this.first(revision) + this.offset;
  }

  /** Records that the worker has shown a token. Returns whether it is the current one. */
  acknowledge(token: number, revision: number): boolean {
    const isCurrent = token >= this.current(revision);
    this.acknowledged ||= isCurrent;
    return isCurrent;
  }

  /**
   * Requires the worker to show a new token, which proves that answers reach it. Until then no task is started, because the starts
   * would be lost. Once all `TOKENS_PER_EPOCH` tokens are used, the last one is required again.
   */
  requireNew(): void {
    this.acknowledged = false;
    if (this.offset < TOKENS_PER_EPOCH - 1) this.offset++;
  }
}
