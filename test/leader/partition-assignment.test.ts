import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PartitionAssignment } from '../../src/coordination/leader/partition-assignment';
import { PartitionLoads } from '../../src/coordination/leader/partition-loads';
import { LeaseExtensions } from '../../src/coordination/membership/lease-extension';
import { keys } from '../../src/protocol/keys';
import { type Settings, type Team } from '../../src/protocol/settings';
import { StoreFixture } from '../support/store-fixture';

const LIMITS = { valueKb: 4, txnOps: 12 };
const MEMBERS = ['controller-0', 'controller-1', 'controller-2'];
const TICK_MS = 250;
/** Longer than a transaction that gets no response is waited for, and than the longest delay in the cases. */
const ASSIGNMENT_MS = 15_000;

function team(name: string): Team {
  const cpus = 24;
  return { name, guaranteed: { cpus, accelerators: 0 }, limit: { cpus: 2 * cpus, accelerators: 0 } };
}

const TEAMS = ['a', 'b', 'c', 'd', 'e', 'f'].map(team);

/** A leader that assigns partitions, with its state store, and members whose session leases are held. */
class LeaderFixture extends StoreFixture {
  private term = 0;
  readonly incarnations = new Map<string, number>();

  constructor() {
    super(LIMITS);
  }

  async addMembers(): Promise<void> {
    for (const member of MEMBERS)
      this.incarnations.set(member, await this.put(keys.member(member), { member }));
    this.term = await this.put(keys.leader, { member: MEMBERS[0] });
  }

  /** Runs the assignment at each tick of a leader with these teams in its settings. */
  async assign(teams: Team[]): Promise<void> {
    const peers = MEMBERS.slice(1).map((member) => ({ member, address: '' }));
    const assignment = new PartitionAssignment({
      settings: { teams, peers, heartbeatIntervalMs: 2000 } as unknown as Settings,
      leader: MEMBERS[0] ?? '',
      stateStore: this.stateStore,
      replica: this.replica,
      log: this.log,
      extensions: new LeaseExtensions([], 0),
      loads: new PartitionLoads(),
      sendTo: () => undefined,
    });
    for (let ms = 0; ms < ASSIGNMENT_MS; ms += TICK_MS) {
      void assignment.assign(this.time.now, this.term, 0);
      await this.run(TICK_MS);
    }
  }

  /** The teams in the records of all partitions, each as often as it is recorded. */
  get recordedTeams(): string[] {
    return [...this.replica.partitions.values()].flatMap(({ record }) => record.teams).sort();
  }
}

const TEAM_NAMES = TEAMS.map(({ name }) => name);

// Guards against accepted jobs that no controller runs: after a single lost transaction, half of the teams belonged to no partition.
test('each team belongs to exactly one partition, whatever happens to the transactions that create them', async (t) => {
  const cases: { name: string; existing: Record<string, string[]>; lateMs: number[] }[] = [
    { name: 'no failure', existing: {}, lateMs: [] },
    { name: 'the response is lost', existing: {}, lateMs: [0] },
    { name: 'the transaction is applied late, after its repetition', existing: {}, lateMs: [4000] },
    { name: 'the first transaction is lost', existing: {}, lateMs: [3_600_000] },
    { name: 'two transactions are applied late', existing: {}, lateMs: [12_000, 4000] },
    { name: 'only the first record exists', existing: { p0: ['a', 'c', 'e'] }, lateMs: [] },
    { name: 'only the second record exists', existing: { p1: ['b', 'd', 'f'] }, lateMs: [] },
    { name: 'the repair is applied late', existing: { p0: ['a', 'c', 'e'] }, lateMs: [4000] },
  ];
  for (const { name, existing, lateMs } of cases) {
    await t.test(name, async () => {
      const fixture = new LeaderFixture();
      await fixture.addMembers();
      const [, owner = ''] = MEMBERS;
      for (const [id, teams] of Object.entries(existing))
        await fixture.put(keys.partition(id), { teams, owner, incarnation: fixture.incarnations.get(owner) });
      fixture.lateTransactionsMs.push(...lateMs);
      await fixture.assign(TEAMS);
      assert.deepEqual(fixture.recordedTeams, TEAM_NAMES);
      assert.equal(fixture.replica.partitions.size, 2);
      const owners = [...fixture.replica.partitions.values()].map(({ record }) => record.owner);
      assert.deepEqual(owners.sort(), MEMBERS.slice(1));
    });
  }
});

// Guards against accepted jobs that no controller runs: teams that were added to the settings belonged to no partition.
test('teams that are new in the settings are added to existing partitions', async (t) => {
  const cases: { name: string; owner: string | undefined; lateMs: number[] }[] = [
    { name: 'no failure', owner: MEMBERS[1], lateMs: [] },
    { name: 'the response is lost', owner: MEMBERS[1], lateMs: [0] },
    { name: 'the transaction is applied late, after its repetition', owner: MEMBERS[1], lateMs: [4000] },
    { name: 'the owner has ended', owner: 'ended', lateMs: [] },
  ];
  for (const { name, owner = '', lateMs } of cases) {
    await t.test(name, async () => {
      const fixture = new LeaderFixture();
      await fixture.addMembers();
      const incarnation = fixture.incarnations.get(owner) ?? 1;
      await fixture.put(keys.partition('p0'), { teams: ['a', 'b', 'c'], owner, incarnation });
      const other = MEMBERS[2] ?? '';
      const otherIncarnation = fixture.incarnations.get(other);
      await fixture.put(keys.partition('p1'), { teams: ['d'], owner: other, incarnation: otherIncarnation });
      fixture.lateTransactionsMs.push(...lateMs);
      await fixture.assign(TEAMS);
      assert.deepEqual(fixture.recordedTeams, TEAM_NAMES);
      assert.deepEqual(fixture.replica.partitions.get('p1')?.record.teams, ['d', 'e', 'f']);
    });
  }
});
