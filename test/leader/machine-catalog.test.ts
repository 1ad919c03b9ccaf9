import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  MachineCatalog,
  type MachineCatalogDependencies,
} from '../../src/coordination/leader/machine-catalog';
import { machineTypesByName, type MachineType } from '../../src/protocol/cloud';
import { keys } from '../../src/protocol/keys';
import { type TransactionResult } from '../../src/storage/state-store-client';
import { LARGE_TYPE, SMALL_TYPE } from '../support/machine-types';

const TERM = 7;
const REVISION = 40;

interface Transaction {
  conditions: { key: string; revision: number }[];
  types: MachineType[];
}

interface CatalogCase {
  name: string;
  recorded: MachineType[];
  /** What the cloud lists at each of the successive reads. */
  reads: MachineType[][];
  leaderTerm: number;
  result?: TransactionResult;
  /** The names of the types that each transaction writes. */
  written: string[][];
  conditions?: Transaction['conditions'];
}

const dearer = { ...SMALL_TYPE, spotPrice: SMALL_TYPE.spotPrice * 1.3 };
const fenced = [
  { key: keys.catalog, revision: REVISION },
  { key: keys.leader, revision: TERM },
];

const cases: CatalogCase[] = [
  {
    name: 'any controller records the first types',
    ...{ recorded: [], reads: [[SMALL_TYPE]], leaderTerm: 0, written: [['small']] },
    conditions: [{ key: keys.catalog, revision: 0 }],
  },
  {
    // A type that was added while the controllers ran was known to the leader alone.
    name: 'the leader records a new type, on condition that it still leads and nobody has recorded types since',
    ...{
      recorded: [SMALL_TYPE],
      reads: [[dearer, LARGE_TYPE]],
      leaderTerm: TERM,
      written: [['small', 'large']],
    },
    conditions: fenced,
  },
  {
    name: 'a controller that does not lead records no further types',
    ...{ recorded: [SMALL_TYPE], reads: [[SMALL_TYPE, LARGE_TYPE]], leaderTerm: 0, written: [] },
  },
  {
    name: 'a change of prices is not recorded',
    ...{ recorded: [SMALL_TYPE], reads: [[dearer]], leaderTerm: TERM, written: [] },
  },
  {
    name: 'a type that the cloud offers no more stays recorded',
    ...{ recorded: [SMALL_TYPE, LARGE_TYPE], reads: [[SMALL_TYPE]], leaderTerm: TERM, written: [] },
  },
  {
    name: 'a changed type is recorded',
    ...{ recorded: [SMALL_TYPE], reads: [[{ ...SMALL_TYPE, zones: ['a'] }]], leaderTerm: TERM },
    written: [['small']],
    conditions: fenced,
  },
  {
    name: 'types that the state store rejects are sent again only once they have changed',
    ...{ recorded: [SMALL_TYPE], leaderTerm: TERM, result: { kind: 'rejected' } },
    reads: [
      [SMALL_TYPE, LARGE_TYPE],
      [dearer, LARGE_TYPE],
      [SMALL_TYPE, { ...LARGE_TYPE, cpus: 1 }],
    ],
    written: [
      ['small', 'large'],
      ['small', 'large'],
    ],
  },
];

/** Reads the catalog as often as the case says, and returns the transactions that were sent. */
async function transactionsOf({ recorded, reads, leaderTerm, result }: CatalogCase): Promise<Transaction[]> {
  const transactions: Transaction[] = [];
  const remaining = [...reads];
  const dependencies = {
    cloud: { tryAcquireCall: () => true, fetchCatalog: () => Promise.resolve(remaining.shift() ?? null) },
    replica: {
      machineTypes: machineTypesByName(recorded),
      machineTypesRevision: recorded.length === 0 ? 0 : REVISION,
    },
    stateStore: {
      transact: (conditions: Transaction['conditions'], [write]: [{ value: MachineType[] }]) => {
        transactions.push({ conditions, types: write.value });
        return Promise.resolve(result ?? { kind: 'applied', revision: REVISION + 1 });
      },
    },
  } as unknown as MachineCatalogDependencies;
  const catalog = new MachineCatalog(dependencies);
  for (let i = 0; i < reads.length; i++) {
    catalog.refresh(i * 60_000, leaderTerm);
    await new Promise((resolve) => setImmediate(resolve));
  }
  return transactions;
}

test('machine catalog', async (t) => {
  for (const catalogCase of cases) {
    await t.test(catalogCase.name, async () => {
      const transactions = await transactionsOf(catalogCase);
      assert.deepEqual(
        transactions.map(({ types }) => types.map(({ name }) => name)),
        catalogCase.written,
      );
      if (catalogCase.conditions) assert.deepEqual(transactions[0]?.conditions, catalogCase.conditions);
    });
  }
});
