import { type Clock } from '../../transport/clock';
import { type ReplicaView } from '../../storage/replica-view';
import { RequestPriority } from '../../storage/request-queue';
import { type StateStoreClient } from '../../storage/state-store-client';
import { keys } from '../../protocol/keys';
import { type MemberRecord } from '../../protocol/records';
import { type Membership } from '../membership/membership';

const REPLICA_CATCH_UP_TIMEOUT_MS = 2000;

export interface LeadershipDependencies {
  membership: Membership;
  stateStore: StateStoreClient;
  replica: ReplicaView;
  clock: Clock;
  /** Called once for each term, before any other action of that term. */
  onAcquired: (term: number) => void;
}

/**
 * Leader election through the leader record in the state store. At most one controller leads: the record is created only if
 * there is none, and it is bound to the session lease of its writer. The record's revision is the leader's term, on which its
 * assignments of partitions and its records of new machines are conditional.
 */
export class Leadership {
  /** Revision of the leader record that this controller last wrote; 0 if it has written none. */
  term = 0;
  /** Start of the current term, in milliseconds of the steady clock. */
  since = 0;
  private claiming = false;

  constructor(private readonly deps: LeadershipDependencies) {}

  /** Whether this controller leads, according to its session lease and its replica. */
  get held(): boolean {
    const { membership, replica } = this.deps;
    return this.term !== 0 && membership.mayAct() && replica.leader?.term === this.term;
  }

  /** Creates the leader record if there is none. */
  async claim(): Promise<void> {
    const { membership, stateStore, replica } = this.deps;
    if (this.claiming || !membership.mayAct() || !stateStore.replica.synced) return;
    if (replica.leader) return this.recognizeOwnClaim(replica.leader);
    this.claiming = true;
    const record: MemberRecord = { member: membership.name };
    const result = await stateStore.transact(
      [
        { key: keys.leader, revision: 0 },
        { key: keys.member(membership.name), revision: membership.memberIncarnation },
      ],
      [{ put: keys.leader, value: record, leaseId: membership.sessionLeaseId }],
      RequestPriority.Decision,
    );
    if (result.kind === 'applied') {
      this.acquire(result.revision);
      await stateStore.whenCaughtUp(result.revision, REPLICA_CATCH_UP_TIMEOUT_MS);
    }
    this.claiming = false;
  }

  /**
   * Starts the term of a claim by this controller that was applied although its response was lost. Without this, no controller
   * would lead for as long as this process lives. The claim was conditional on the current session lease, so a leader record
   * that names this member and is newer than its membership belongs to this process.
   */
  private recognizeOwnClaim(leader: { member: string; term: number }): void {
    const { membership } = this.deps;
    const isOwn = leader.member === membership.name && leader.term > membership.memberIncarnation;
    if (isOwn && leader.term !== this.term) this.acquire(leader.term);
  }

  private acquire(term: number): void {
    this.term = term;
    this.since = this.deps.clock.steady();
    this.deps.onAcquired(term);
  }
}
