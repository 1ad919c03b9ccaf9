import prand from 'pure-rand';

/** A seeded source of whole numbers: the same seed gives the same simulation. */
export class RandomSource {
  private readonly generator: prand.RandomGenerator;

  constructor(seed: number) {
    this.generator = prand.xoroshiro128plus(seed);
  }

  /** A whole number from 0 to `bound` - 1. */
  int(bound: number): number {
    return prand.unsafeUniformIntDistribution(0, bound - 1, this.generator);
  }
}
